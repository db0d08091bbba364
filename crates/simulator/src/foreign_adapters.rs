//! Requests on adapters while a tenant is bound to one and the other of its adapters, and engines name adapters
//! of other tenants in their answers.

use crate::prelude::*;

/// What the first tenant is bound to in turn with its usual adapter.
const SECOND_ADAPTER: &str = "etcher";
/// Moves of the binding and foreign answers are drawn apart from all else.
const FOREIGN_RNG_SALT: u64 = 0xf0e1_6e00;

/// An adapter that is not the one an attempt runs on, and not of the same tenant.
pub(crate) fn foreign_to(adapter: Option<&AdapterId>) -> AdapterId {
    let is_second = adapter.is_some_and(|adapter| adapter.name.as_str() == ADAPTER_TENANTS[1].1);
    AdapterId::new(if is_second { ADAPTER_TENANTS[0].1 } else { ADAPTER_TENANTS[1].1 }, 1)
}

impl World {
    /// Draws when the binding moves, and when engines name foreign adapters, until the trouble ends.
    pub(crate) fn schedule_foreign(&mut self, seed: u64, faults_end: Instant) {
        let mut rng = SeededRng::new(seed ^ FOREIGN_RNG_SALT);
        let mut rebound_at = self.now;
        while rebound_at < faults_end {
            rebound_at = rebound_at + Span::millis(rng.between(200, 1200));
            self.schedule_at(rebound_at, SimEvent::RebindAdapter);
        }
        let mut named_at = self.now;
        while named_at < faults_end {
            named_at = named_at + Span::millis(rng.between(500, 4000));
            let engine = rng.below(ENGINES as u64) as usize;
            let span = Span::millis(rng.between(300, 1500));
            self.schedule_at(named_at, SimEvent::ServeForeignAdapter { engine, span });
        }
    }

    /// An operator binds the first tenant to the one of its two adapters that it is not bound to now.
    pub(crate) fn rebind(&mut self) {
        if self.faults_over {
            return;
        }
        let (tenant, first) = ADAPTER_TENANTS[0];
        let states = self.keepers.iter().filter_map(|keeper| keeper.coordinator.as_ref()).map(Coordinator::state);
        let Some(newest) = states.max_by_key(|state| state.edition) else { return };
        let bound = newest.desired.adapter_of(&tenant.into(), &MODEL.into());
        let next = if bound.is_some_and(|bound| bound.as_str() == first) { SECOND_ADAPTER } else { first };
        let patch = format!(
            r#"{{"adapters":{{"{SECOND_ADAPTER}":{{"model":"{MODEL}","owners":["{tenant}"]}}}},
                "tenants":{{"{tenant}":{{"adapters":["{next}"]}}}}}}"#
        );
        let keeper = self.rng.below(KEEPERS as u64) as usize;
        self.change(keeper, patch, ChangeKind::Other);
    }
}
