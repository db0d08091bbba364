//! Reports an engine that does not respond, even if the caller gives up the attempt first.

use super::Relay;
use crate::prelude::*;

/// A response is overdue after this many times its route's target, but not before `MIN_OVERDUE_TIME`.
const OVERDUE_FACTOR: u64 = 3;
const MIN_OVERDUE_TIME: Span = Span::millis(1500);

/// Reports a failure of the engine when dropped after the response is overdue, whoever gave the attempt up.
pub(super) struct OverdueWatch {
    scheduler: SchedulerHandle,
    engine: EngineName,
    due: Instant,
    is_over: bool,
}

impl OverdueWatch {
    /// Starts with an attempt; the route's target determines when the response is overdue.
    pub(super) fn begin(relay: &Relay, engine: &EngineName) -> OverdueWatch {
        let patience = relay.planned.route.spec.target.times(OVERDUE_FACTOR).max(MIN_OVERDUE_TIME);
        let (scheduler, engine) = (relay.scheduler.clone(), engine.clone());
        OverdueWatch { scheduler, engine, due: boot_now() + patience, is_over: false }
    }

    /// Ends the watch, as the engine has responded.
    pub(super) fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for OverdueWatch {
    fn drop(&mut self) {
        if !self.is_over && boot_now() >= self.due {
            let (engine, kind) = (self.engine.clone(), FaultKind::Failed);
            self.scheduler.tell(SchedulerCommand::RecordFault { engine, kind });
        }
    }
}
