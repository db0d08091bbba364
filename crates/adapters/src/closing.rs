//! Delays the closing of engines for new weights, which unloads their adapters, and their draining: an engine with
//! a warm copy of an adapter waits until enough others hold it that the loss of one more leaves it warm. Copies
//! that routers no longer use, because their engine's weights are too old, neither wait nor count.

use crate::prelude::*;

/// After this wait one other copy is enough.
const FULL_REPLACEMENT_WAIT: Span = Span::seconds(8);
/// The longest an engine is held back: by then its old weights are no longer used, and nothing runs on it.
const MAX_WAIT: Span = Span::seconds(16);
/// A wait is dropped if the engine was not asked about for this long.
const FORGOTTEN_AFTER: Span = Span::seconds(3);
/// How many other copies are enough, or as many as there were in the beginning if that was fewer.
const ENOUGH_COPIES: usize = 2;
/// A copy on old weights counts as a replacement only if routers may use it for this much longer.
const MIN_REMAINING_USE: Span = Span::seconds(3);
/// How long a permitted closing is remembered until it shows in the fleet state.
const CLOSING_SPAN: Span = Span::seconds(3);

/// Decides which engines may be closed or drained, and remembers which are closing or waiting.
#[derive(Clone, Debug, Default)]
pub struct ClosingGuard {
    /// The recently superseded weights.
    pub old_weights: OldWeights,
    closing: BTreeMap<EngineName, Instant>,
    waiting: BTreeMap<EngineName, Waiting>,
}

/// An engine that is held back.
#[derive(Clone, Debug)]
struct Waiting {
    since: Instant,
    /// When it was last asked about.
    last_asked: Instant,
    /// How many engines, this one included, served each adapter when it was first asked about.
    held_before: BTreeMap<AdapterId, usize>,
}

impl Waiting {
    fn from(now: Instant) -> Waiting {
        Waiting { since: now, last_asked: now, held_before: BTreeMap::new() }
    }
}

impl ClosingGuard {
    /// Whether an engine may be closed or drained now.
    pub fn may_close(
        &mut self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, AdapterReport>,
        engine: &EngineName,
        now: Instant,
    ) -> bool {
        self.old_weights.follow(state, now);
        self.closing.retain(|_, since| now.since(*since) < CLOSING_SPAN);
        self.waiting.retain(|_, waiting| now.since(waiting.last_asked) < FORGOTTEN_AFTER);
        let mut waiting = self.waiting.remove(engine).unwrap_or_else(|| Waiting::from(now));
        waiting.last_asked = now;
        let waited = now.since(waiting.since);
        let enough = if waited < FULL_REPLACEMENT_WAIT { ENOUGH_COPIES } else { 1 };
        let copies = state.adapters.copies_at(engine).iter();
        let mut in_use = copies.filter(|copy| copy.is_warm() && state.is_active_revision(&copy.adapter));
        let is_replaced = in_use.all(|copy| {
            let elsewhere = self.count_elsewhere(state, seen, engine, &copy.adapter, now);
            let held_before = *waiting.held_before.entry(copy.adapter.clone()).or_insert(elsewhere + 1);
            elsewhere >= held_before.min(enough)
        });
        let is_in_use = self.is_usable(state, engine, now) && is_serving(state, engine);
        if is_in_use && !is_replaced && waited < MAX_WAIT {
            self.waiting.insert(engine.clone(), waiting);
            return false;
        }
        self.closing.insert(engine.clone(), now);
        true
    }

    /// How many other engines of the same role serve the adapter and will go on doing so.
    fn count_elsewhere(
        &self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, AdapterReport>,
        engine: &EngineName,
        adapter: &AdapterId,
        now: Instant,
    ) -> usize {
        let Some(own) = state.listing.engines.get(engine) else { return ENOUGH_COPIES };
        let others = state.adapters.warm_engines(adapter).filter(|other| *other != engine);
        let staying = others.filter(|other| {
            let Some(listed) = state.listing.engines.get(*other) else { return false };
            let report = seen.get(*other).filter(|report| now.since(report.at) < SILENT_AFTER);
            let is_reported = report.is_some_and(|report| report.holds(adapter));
            let stays = serves(state, other, listed) && self.is_usable(state, other, now + MIN_REMAINING_USE);
            listed.role == own.role && is_reported && stays && !self.closing.contains_key(*other)
        });
        staying.count()
    }

    /// Whether a plan's next step may be carried out now; a drain waits as a closing does.
    pub fn may_do_step(
        &mut self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, AdapterReport>,
        plan: Edition,
        now: Instant,
    ) -> bool {
        match state.plans.get(&plan).and_then(Plan::next_step) {
            Some(Step::Drain { engine }) => self.may_close(state, seen, engine, now),
            _ => true,
        }
    }

    /// Whether routers may still use an engine's weights at `moment`.
    fn is_usable(&self, state: &FleetState, engine: &EngineName, moment: Instant) -> bool {
        let Some(listed) = state.listing.engines.get(engine) else { return false };
        self.old_weights.is_usable(state, engine, &listed.model, moment)
    }
}

fn is_serving(state: &FleetState, engine: &EngineName) -> bool {
    state.listing.engines.get(engine).is_some_and(|listed| serves(state, engine, listed))
}
