//! What a relay tells the table about an engine: that it has read a prompt, or how it failed.

use super::Relay;
use crate::prelude::*;

impl Relay {
    /// The engine has read the prompt, so it keeps the parts now.
    pub(super) fn record_prefill(&self, reservation: &mut EngineReservation, weights: WeightsEdition) {
        let parts = self.planned.named_parts(&self.shared.sight(), weights);
        let pending_prefill_tokens = reservation.begin_response();
        self.table.tell(TableCommand::ResponseBegan {
            engine: reservation.engine.clone(),
            parts,
            pending_prefill_tokens,
            service: self.planned.service.clone(),
            waited: reservation.age(),
        });
    }

    /// An attempt failed at an engine, which is not tried again for this request.
    pub(super) fn record_fault(&mut self, engine: &EngineName, kind: FaultKind, reason: &str) {
        event!(debug, "attempt_fault", engine = engine, kind = format!("{kind:?}"), reason = reason);
        self.tried.push(engine.clone());
        self.table.tell(TableCommand::Failed { engine: engine.clone(), kind });
    }

    /// An engine could not be connected: it is silent, or it refuses.
    pub(super) fn record_unreachable(&mut self, engine: &EngineName, reason: &str) {
        let is_timeout = reason.contains("limit passed");
        let kind = if is_timeout { FaultKind::Unreachable } else { FaultKind::Refused };
        self.record_fault(engine, kind, reason);
    }
}
