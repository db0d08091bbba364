//! Requests for adapters while a tenant's binding alternates between two adapters and engines name adapters of other
//! tenants in their answers.

use crate::prelude::*;

/// The first tenant's binding alternates between its usual adapter and this one.
const SECOND_ADAPTER: &str = "etcher";
/// Seeds a separate generator for rebindings and foreign answers, so that they do not change the other random draws.
const FOREIGN_RNG_SALT: u64 = 0xf0e1_6e00;

/// Returns an adapter of a tenant other than the one whose adapter an attempt runs on.
pub(crate) fn foreign_to(adapter: Option<&AdapterId>) -> AdapterId {
    let is_second = adapter.is_some_and(|adapter| adapter.name.as_str() == ADAPTER_TENANTS[1].1);
    AdapterId::new(if is_second { ADAPTER_TENANTS[0].1 } else { ADAPTER_TENANTS[1].1 }, 1)
}

impl World {
    /// Schedules random rebindings and foreign answers until the faults end.
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

    /// An operator binds the first tenant to the one of its two adapters that is not bound now.
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
        self.submit_patch(keeper, patch, ChangeKind::Other);
    }
}
