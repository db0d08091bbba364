//! What a relay tells the table about an engine: that it has read a prompt, or how it failed.

use super::Relay;
use crate::prelude::*;

impl Relay {
    /// The engine has read the prompt, so it keeps the parts now.
    pub(super) fn note_read(&self, seat: &mut EngineSeat, weights: WeightsEdition) {
        let parts = self.planned.named_parts(&self.shared.snapshot(), weights);
        let unread_tokens = seat.begin_answer();
        self.table.tell(TableCommand::Sent {
            engine: seat.engine.clone(),
            parts,
            unread_tokens,
            service: self.planned.service.clone(),
            waited: seat.age(),
        });
    }

    /// An attempt failed at an engine, which is not tried again for this request.
    pub(super) fn note_fault(&mut self, engine: &EngineName, kind: FaultKind, reason: &str) {
        event!(debug, "attempt_fault", engine = engine, kind = format!("{kind:?}"), reason = reason);
        self.tried.push(engine.clone());
        self.table.tell(TableCommand::Failed { engine: engine.clone(), kind });
    }

    /// An engine could not be connected: it is silent, or it refuses.
    pub(super) fn note_unreachable(&mut self, engine: &EngineName, reason: &str) {
        let is_silent = reason.contains("limit passed");
        let kind = if is_silent { FaultKind::Unreachable } else { FaultKind::Refused };
        self.note_fault(engine, kind, reason);
    }
}
