//! Periodic samples of every router and active tail for the record.

use crate::prelude::*;

impl World {
    /// Records the state of every router and checks that at most one tail is active.
    pub fn record_samples(&mut self) {
        let at = self.millis();
        for node in &self.nodes {
            let Some(router) = node.router.as_ref().filter(|_| node.frozen_until <= self.now) else { continue };
            let leased = node.clock.read(self.now) < router.lease_until;
            let edition = router.snapshot.state.edition.0;
            self.record.events.push(EventLine::Sample {
                at,
                router: router.id.to_string(),
                edition,
                leased,
                attempts: router.attempts,
                retries: router.retries,
            });
        }
        let active_tails: Vec<usize> = (0..self.keepers.len())
            .filter(|number| {
                let keeper = &self.keepers[*number];
                let is_awake = keeper.frozen_until <= self.now;
                let local_now = keeper.clock.read(self.now);
                is_awake
                    && keeper.coordinator.as_ref().is_some_and(|coordinator| coordinator.tail_is_active(local_now))
            })
            .collect();
        if active_tails.len() > 1 {
            self.extra_violations.push(format!("rule 8: several active tails at {at}: {active_tails:?}"));
        }
        if let Some(tail) = active_tails.first()
            && let Some(coordinator) = &self.keepers[*tail].coordinator
        {
            let (edition, last_settled) = (coordinator.state().edition, coordinator.state().last_request());
            if let Some(request) = last_settled {
                self.check_committed(edition, request, &format!("tail k{tail}"));
            }
        }
    }
}
