//! The relay's reports to the scheduler about an engine: the end of a prefill, or a failure.

use super::Relay;
use crate::prelude::*;

/// A response that begins this long after its weights were given up is logged.
const LATE_START: Span = Span::seconds(1);

impl Relay {
    /// Reports that the engine has finished the prefill, and so caches the prompt's parts.
    pub(super) fn record_prefill(&self, reservation: &mut EngineReservation, weights: WeightsEdition) {
        self.log_late_start(reservation, weights);
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

    /// Logs a response that begins on weights that this router has not used for a while.
    fn log_late_start(&self, reservation: &EngineReservation, weights: WeightsEdition) {
        let Some(model) = &self.planned.head.model else { return };
        let given_up = self.shared.snapshot().time_since_given_up(model, weights, boot_now());
        let Some(given_up) = given_up.filter(|given_up| *given_up >= LATE_START) else { return };
        self.shared.counts.late_starts.fetch_add(1, Ordering::Relaxed);
        event!(
            warn,
            "late_start",
            attempt = self.planned.head.attempt,
            engine = reservation.engine,
            weights = weights,
            given_up_ms = given_up.as_millis(),
            waited_ms = reservation.age().as_millis()
        );
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
