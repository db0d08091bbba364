//! Engines that are to be closed for new weights, which takes their adapters from them: one that holds the
//! last warm copy of an adapter waits until another engine holds it.

use crate::prelude::*;

/// An engine is held back no longer than this: the weights it has are given up soon after.
const LONGEST_WAIT: Span = Span::seconds(8);
/// How long a closing that was let go counts, until it shows in the state.
const CLOSING_SPAN: Span = Span::seconds(3);

/// Which closings were let go, and which wait.
#[derive(Clone, Debug, Default)]
pub struct ClosingGuard {
    closing: BTreeMap<EngineName, Instant>,
    waiting: BTreeMap<EngineName, Instant>,
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
        self.waiting.retain(|name, _| state.listing.engines.contains_key(name));
        let copies = state.adapters.copies_at(engine).iter();
        let mut in_use = copies.filter(|copy| copy.is_warm() && state.is_in_force(&copy.adapter));
        let is_replaced = in_use.all(|copy| self.is_elsewhere(state, seen, engine, &copy.adapter, now));
        let since = *self.waiting.entry(engine.clone()).or_insert(now);
        if !is_replaced && now.since(since) < LONGEST_WAIT {
            return false;
        }
        self.waiting.remove(engine);
        self.closing.insert(engine.clone(), now);
        true
    }

    /// Whether another engine of the same role serves the adapter, and stays.
    fn is_elsewhere(
        &self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, SeenEngine>,
        engine: &EngineName,
        adapter: &AdapterId,
        now: Instant,
    ) -> bool {
        let Some(own) = state.listing.engines.get(engine) else { return true };
        let mut others = state.adapters.warm_engines(adapter).filter(|other| *other != engine);
        others.any(|other| {
            let Some(listed) = state.listing.engines.get(other) else { return false };
            let is_heard =
                seen.get(other).is_some_and(|told| now.since(told.at) < SILENT_AFTER && told.holds(adapter));
            listed.role == own.role && is_heard && serves(state, other, listed) && !self.closing.contains_key(other)
        })
    }
}
