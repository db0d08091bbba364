//! What ends or limits running work: time limits, withdrawn keys, lost leases and lost routers.

use crate::prelude::*;

const WORK_CHECK_INTERVAL: Span = Span::millis(100);

impl World {
    /// Ends a router's runs whose time limit has passed, whose key was withdrawn or whose lease was lost too long
    /// ago.
    pub fn check_work(&mut self, node: usize) {
        if self.nodes[node].frozen_until > self.now {
            return;
        }
        let local_now = self.nodes[node].clock.read(self.now);
        let Some(router) = self.nodes[node].router.as_mut() else { return };
        let router_id = router.id;
        router.runs.retain(|_, run| !run.held.as_ref().is_some_and(|held| held.is_over(local_now)));
        let mut ended = Vec::new();
        for (number, run) in router.runs.iter().filter(|(_, run)| !run.machine.is_done()) {
            let (key_hash, tenant) = (&run.request.key_hash, &run.request.tenant);
            if let Err(refusal) = may_continue(&router.snapshot, router.lease_until, key_hash, tenant, local_now) {
                ended.push((*number, AttemptInput::WorkStopped(refusal)));
            } else if local_now >= run.limit {
                ended.push((*number, AttemptInput::LimitPassed));
            }
        }
        for (number, input) in ended {
            self.drive(node, router_id, number, input);
        }
        self.extend_allowances(node, local_now);
    }

    /// Extends the time limits of long-running attempts at their engines as far as the lease allows.
    pub(crate) fn extend_allowances(&mut self, node: usize, local_now: Instant) {
        let Some(router) = self.nodes[node].router.as_mut() else { return };
        let mut allowed = Vec::new();
        for run in router.runs.values_mut() {
            let Some(attempt) = run.attempt.as_mut().filter(|attempt| attempt.arrives_at.is_some()) else { continue };
            if let Some(more) = attempt.allowance.more(router.lease_until, run.limit, local_now) {
                attempt.allowance = more;
                allowed.push((attempt.engine, attempt.name.clone(), more.left(local_now)));
            }
        }
        for (engine, attempt, span) in allowed {
            let delay = self.net.delay(&mut self.rng);
            self.schedule_after(delay, SimEvent::ExtendLimit { engine, attempt, span });
        }
    }

    pub fn check_work_periodically(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation == incarnation {
            self.check_work(node);
            self.schedule_after(WORK_CHECK_INTERVAL, SimEvent::CheckWork { node, incarnation });
        }
    }

    /// Ends a router and its runs. Engines notice at once, or not at all if the whole machine is lost.
    pub fn drop_runs(&mut self, node: usize, with_machine: bool) {
        let Some(router) = self.nodes[node].router.take() else { return };
        for run in router.runs.into_values() {
            if !run.machine.is_done() {
                self.send_to_caller(&run, CallerMessage::Lost);
            }
            let Some(attempt) = run.attempt.filter(|_| !with_machine) else { continue };
            if let Some(arrives_at) = attempt.arrives_at {
                let closed = SimEvent::AttemptClosed { engine: attempt.engine, attempt: attempt.name };
                self.schedule_at(arrives_at.max(self.now + Span::millis(3)), closed);
            }
        }
    }
}
