//! Counting an engine's silence against it, also where the attempt is given up by somebody else.

use super::Relay;
use crate::prelude::*;

/// An answer is long due after so many times its target, and not before this.
const OVERDUE_FACTOR: u64 = 3;
const MIN_OVERDUE_TIME: Span = Span::millis(1500);

/// Counts an engine's silence against it: an attempt that is given up, by whomever, long after its answer
/// was due.
pub(super) struct OverdueWatch {
    table: TableHandle,
    engine: EngineName,
    due: Instant,
    is_over: bool,
}

impl OverdueWatch {
    /// Begins with an attempt; its route says when an answer is due.
    pub(super) fn begin(relay: &Relay, engine: &EngineName) -> OverdueWatch {
        let patience = relay.planned.route.spec.target.times(OVERDUE_FACTOR).max(MIN_OVERDUE_TIME);
        let (table, engine) = (relay.table.clone(), engine.clone());
        OverdueWatch { table, engine, due: boot_now() + patience, is_over: false }
    }

    /// The engine has answered.
    pub(super) fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for OverdueWatch {
    fn drop(&mut self) {
        if !self.is_over && boot_now() >= self.due {
            let (engine, kind) = (self.engine.clone(), FaultKind::Failed);
            self.table.tell(TableCommand::Failed { engine, kind });
        }
    }
}
