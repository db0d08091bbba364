//! Engines that are to be closed for new weights, which takes their adapters from them: one that holds a
//! warm copy of an adapter waits until enough others hold it that the loss of one more leaves it warm.

use crate::prelude::*;

/// After so long one other copy is enough.
const PATIENT_SPAN: Span = Span::seconds(8);
/// An engine is held back no longer than this: by then the weights it has are given up, and nothing runs on it.
const LONGEST_WAIT: Span = Span::seconds(16);
/// An engine that was not asked about for so long does not wait any more.
const FORGOTTEN_AFTER: Span = Span::seconds(3);
/// So many other copies are enough; fewer are where there were not so many to begin with.
const ENOUGH_COPIES: usize = 2;
/// How long a closing that was let go counts, until it shows in the state.
const CLOSING_SPAN: Span = Span::seconds(3);

/// Which closings were let go, and which wait.
#[derive(Clone, Debug, Default)]
pub struct ClosingGuard {
    closing: BTreeMap<EngineName, Instant>,
    /// Since when each waits, and when it was asked about last.
    waiting: BTreeMap<EngineName, (Instant, Instant)>,
}

impl ClosingGuard {
    /// Whether an engine may be closed now.
    pub fn may_close(
        &mut self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, SeenEngine>,
        engine: &EngineName,
        now: Instant,
    ) -> bool {
        self.closing.retain(|_, since| now.since(*since) < CLOSING_SPAN);
        self.waiting.retain(|_, (_, asked)| now.since(*asked) < FORGOTTEN_AFTER);
        let (since, asked) = self.waiting.entry(engine.clone()).or_insert((now, now));
        *asked = now;
        let waited = now.since(*since);
        let enough = if waited < PATIENT_SPAN { ENOUGH_COPIES } else { 1 };
        let copies = state.adapters.copies_at(engine).iter();
        let mut in_use = copies.filter(|copy| copy.is_warm() && state.is_in_force(&copy.adapter));
        let is_replaced = in_use.all(|copy| {
            let held_before = state.adapters.warm_engines(&copy.adapter).count();
            self.count_elsewhere(state, seen, engine, &copy.adapter, now) >= held_before.min(enough)
        });
        if !is_replaced && waited < LONGEST_WAIT {
            return false;
        }
        self.waiting.remove(engine);
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
            listed.role == own.role && is_heard && serves(state, other, listed) && !self.closing.contains_key(*other)
        });
        staying.count()
    }
}
