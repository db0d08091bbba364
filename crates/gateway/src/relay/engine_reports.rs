//! The relay's reports to the scheduler about an engine: the end of a prefill, or a failure.

use super::Relay;
use crate::prelude::*;

impl Relay {
    /// Reports that the engine has finished the prefill, and so caches the prompt's parts.
    pub(super) fn record_prefill(&self, reservation: &mut EngineReservation, weights: WeightsEdition) {
        let parts = self.planned.named_parts(&self.shared.snapshot(), weights);
        let pending_prefill_tokens = reservation.begin_response();
        self.scheduler.tell(SchedulerCommand::ResponseBegan {
            engine: reservation.engine.clone(),
            parts,
            pending_prefill_tokens,
            service: self.planned.service.clone(),
            waited: reservation.age(),
        });
    }

    /// Reports a failed attempt; the engine is recorded as tried.
    pub(super) fn record_fault(&mut self, engine: &EngineName, kind: FaultKind, reason: &str) {
        event!(debug, "attempt_fault", engine = engine, kind = format!("{kind:?}"), reason = reason);
        self.tried.push(engine.clone());
        self.scheduler.tell(SchedulerCommand::RecordFault { engine: engine.clone(), kind });
    }

    /// Reports that the connection to an engine timed out or was refused.
    pub(super) fn record_unreachable(&mut self, engine: &EngineName, reason: &str) {
        let is_timeout = reason.contains("limit passed");
        let kind = if is_timeout { FaultKind::Unreachable } else { FaultKind::Refused };
        self.record_fault(engine, kind, reason);
    }
}
