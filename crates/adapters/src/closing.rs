//! Engines that are to be closed for new weights, which takes their adapters from them, or drained: one that
//! holds a warm copy of an adapter waits until enough others hold it that the loss of one more leaves it warm.
//! Copies that no router may use, as their engine's weights are given up, neither wait nor count.

use crate::prelude::*;

/// After so long one other copy is enough.
const PATIENT_SPAN: Span = Span::seconds(8);
/// An engine is held back no longer than this: by then the weights it has are given up, and nothing runs on it.
const LONGEST_WAIT: Span = Span::seconds(16);
/// An engine that was not asked about for so long does not wait any more.
const FORGOTTEN_AFTER: Span = Span::seconds(3);
/// So many other copies are enough; fewer are where there were not so many to begin with.
const ENOUGH_COPIES: usize = 2;
/// A copy on old weights counts for others only if routers may use it for so much longer.
const STAYS_AT_LEAST: Span = Span::seconds(3);
/// How long a closing that was let go counts, until it shows in the state.
const CLOSING_SPAN: Span = Span::seconds(3);

/// Which closings were let go, and which wait.
#[derive(Clone, Debug, Default)]
pub struct ClosingGuard {
    /// Which weights gave way, and when.
    pub old_weights: OldWeights,
    closing: BTreeMap<EngineName, Instant>,
    waiting: BTreeMap<EngineName, Waiting>,
}

/// An engine that is held back.
#[derive(Clone, Debug)]
struct Waiting {
    since: Instant,
    /// When it was asked about last.
    asked: Instant,
    /// How many engines served each adapter when it was asked about first, itself included.
    held_before: BTreeMap<AdapterId, usize>,
}

impl Waiting {
    fn from(now: Instant) -> Waiting {
        Waiting { since: now, asked: now, held_before: BTreeMap::new() }
    }
}

impl ClosingGuard {
    /// Whether an engine may be closed or drained now.
    pub fn may_close(
        &mut self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, SeenEngine>,
        engine: &EngineName,
        now: Instant,
    ) -> bool {
        self.old_weights.follow(state, now);
        self.closing.retain(|_, since| now.since(*since) < CLOSING_SPAN);
        self.waiting.retain(|_, waiting| now.since(waiting.asked) < FORGOTTEN_AFTER);
        let mut waiting = self.waiting.remove(engine).unwrap_or_else(|| Waiting::from(now));
        waiting.asked = now;
        let waited = now.since(waiting.since);
        let enough = if waited < PATIENT_SPAN { ENOUGH_COPIES } else { 1 };
        let copies = state.adapters.copies_at(engine).iter();
        let mut in_use = copies.filter(|copy| copy.is_warm() && state.is_active_revision(&copy.adapter));
        let is_replaced = in_use.all(|copy| {
            let elsewhere = self.count_elsewhere(state, seen, engine, &copy.adapter, now);
            let held_before = *waiting.held_before.entry(copy.adapter.clone()).or_insert(elsewhere + 1);
            elsewhere >= held_before.min(enough)
        });
        let is_in_use = self.is_usable(state, engine, now) && is_serving(state, engine);
        if is_in_use && !is_replaced && waited < LONGEST_WAIT {
            self.waiting.insert(engine.clone(), waiting);
            return false;
        }
        self.closing.insert(engine.clone(), now);
        true
    }

    /// How many other engines of the same role serve the adapter, and stay.
    fn count_elsewhere(
        &self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, SeenEngine>,
        engine: &EngineName,
        adapter: &AdapterId,
        now: Instant,
    ) -> usize {
        let Some(own) = state.listing.engines.get(engine) else { return ENOUGH_COPIES };
        let others = state.adapters.warm_engines(adapter).filter(|other| *other != engine);
        let staying = others.filter(|other| {
            let Some(listed) = state.listing.engines.get(*other) else { return false };
            let told = seen.get(*other).filter(|told| now.since(told.at) < SILENT_AFTER);
            let is_heard = told.is_some_and(|told| told.holds(adapter));
            let stays = serves(state, other, listed) && self.is_usable(state, other, now + STAYS_AT_LEAST);
            listed.role == own.role && is_heard && stays && !self.closing.contains_key(*other)
        });
        staying.count()
    }

    /// Whether a plan's next step may be taken now: a drain waits as a closing does.
    pub fn may_do_step(
        &mut self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, SeenEngine>,
        plan: Edition,
        now: Instant,
    ) -> bool {
        match state.plans.get(&plan).and_then(Plan::next_step) {
            Some(Step::Drain { engine }) => self.may_close(state, seen, engine, now),
            _ => true,
        }
    }

    /// Whether an engine's weights are not given up by a moment.
    fn is_usable(&self, state: &FleetState, engine: &EngineName, moment: Instant) -> bool {
        let Some(listed) = state.listing.engines.get(engine) else { return false };
        self.old_weights.is_usable(state, engine, &listed.model, moment)
    }
}

fn is_serving(state: &FleetState, engine: &EngineName) -> bool {
    state.listing.engines.get(engine).is_some_and(|listed| serves(state, engine, listed))
}
