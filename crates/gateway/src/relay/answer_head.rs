//! Checks the head of an engine's response: success, a statement that the request did not run, or a failure.

use super::Relay;
use super::attempt_end::{AttemptEnd, failed};
use crate::prelude::*;

/// The limit on the body of a rejection, which is read to the end so that its connection can be reused.
const MAX_REJECTION_BYTES: usize = 1 << 16;
const REJECTION_READ_TIMEOUT: Duration = Duration::from_millis(200);

/// An engine's successful response, whose body is not read yet.
pub(super) struct OpenResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) head: AnswerHead,
    pub(super) connection: PersistentConnection,
    pub(super) address: String,
    pub(super) weights: WeightsEdition,
    pub(super) reservation: EngineReservation,
}

impl Relay {
    /// Returns the response if its head shows success, and otherwise how the attempt ended.
    pub(super) async fn check_head(
        &mut self,
        chosen: Chosen,
        reservation: EngineReservation,
        connection: PersistentConnection,
        response: Response<Incoming>,
    ) -> Result<OpenResponse, AttemptEnd> {
        let (parts, body) = response.into_parts();
        let head = self.protocol.read_answer(parts.status, &parts.headers);
        let engine = &chosen.engine;
        if let Some(load) = head.load {
            self.scheduler.tell(SchedulerCommand::RecordLoad { engine: engine.clone(), load });
        }
        let is_of_another = head.attempt.as_ref().is_some_and(|named| *named != self.planned.head.attempt);
        if is_of_another {
            return Err(self.mismatched_response(engine, "the response names another attempt"));
        }
        if head.is_not_executed || head.is_misdirected {
            self.record_rejection(engine, &head, parts.status);
            let _ = read_whole(body, MAX_REJECTION_BYTES, REJECTION_READ_TIMEOUT).await;
            self.pool.release(&chosen.address, connection, &head, boot_now());
            return Err(failed(Failure::NotRun));
        }
        if head.attempt.is_none() {
            return Err(self.mismatched_response(engine, "the response names no attempt"));
        }
        let (status, headers) = (parts.status, parts.headers);
        let (address, weights) = (chosen.address, chosen.weights);
        let answer = OpenResponse { status, headers, body, head, connection, address, weights, reservation };
        if status.is_success() {
            return Ok(answer);
        }
        Err(self.failed_response(chosen.engine, answer).await)
    }

    /// A response that does not belong to this attempt; the request may have run nevertheless.
    fn mismatched_response(&mut self, engine: &EngineName, reason: &str) -> AttemptEnd {
        self.record_fault(engine, FaultKind::Broken, reason);
        failed(Failure::Uncertain)
    }

    /// The engine stated that it has not run the request: it is full, or not the one selected.
    fn record_rejection(&mut self, engine: &EngineName, head: &AnswerHead, status: StatusCode) {
        self.tried.push(engine.clone());
        if head.is_misdirected {
            self.record_fault(engine, FaultKind::Refused, "the request reached another engine or other weights");
        } else {
            self.scheduler.tell(SchedulerCommand::RecordFull { engine: engine.clone() });
            event!(debug, "attempt_turned_away", engine = engine, status = status.as_u16());
        }
    }

    /// The engine responded with an error status; the response is kept, in case no other attempt follows.
    async fn failed_response(&mut self, engine: EngineName, answer: OpenResponse) -> AttemptEnd {
        event!(debug, "attempt_failed", engine = engine, status = answer.status.as_u16());
        if answer.status.is_server_error() {
            self.scheduler.tell(SchedulerCommand::RecordFault { engine: engine.clone(), kind: FaultKind::Failed });
        }
        self.tried.push(engine);
        let answer = self.read_buffered_response(answer).await.ok();
        AttemptEnd::Failed { failure: Failure::Uncertain, answer }
    }
}
