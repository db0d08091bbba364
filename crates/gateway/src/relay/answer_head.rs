//! The head of an engine's answer, and the judgement on it: good, a statement that nothing ran, or a
//! failure of the engine's own.

use super::Relay;
use super::attempt_end::{AttemptEnd, failed};
use crate::prelude::*;

/// The body of an answer that is turned away: read on so far, so that its connection can be kept.
const MAX_REJECTION_BYTES: usize = 1 << 16;
const REJECTION_READ_TIMEOUT: Duration = Duration::from_millis(200);

/// An engine's good answer; its body is still on its way.
pub(super) struct OpenResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) head: AnswerHead,
    pub(super) connection: KeptConnection,
    pub(super) address: String,
    pub(super) weights: WeightsEdition,
    pub(super) reservation: EngineReservation,
}

impl Relay {
    /// Judges an answer's head: good, a statement that nothing ran, or a failure of the engine's own.
    pub(super) async fn check_head(
        &mut self,
        chosen: Chosen,
        reservation: EngineReservation,
        connection: KeptConnection,
        response: Response<Incoming>,
    ) -> Result<OpenResponse, AttemptEnd> {
        let (parts, body) = response.into_parts();
        let head = self.protocol.read_answer(parts.status, &parts.headers);
        let engine = &chosen.engine;
        if let Some(load) = head.load {
            self.table.tell(TableCommand::Load { engine: engine.clone(), load });
        }
        let is_of_another = head.attempt.as_ref().is_some_and(|named| *named != self.planned.head.attempt);
        if is_of_another {
            return Err(self.mismatched_response(engine, "an answer to another attempt"));
        }
        if head.is_not_executed || head.is_misdirected {
            self.record_rejection(engine, &head, parts.status);
            let _ = read_whole(body, MAX_REJECTION_BYTES, REJECTION_READ_TIMEOUT).await;
            self.pool.release(&chosen.address, connection, &head, boot_now());
            return Err(failed(Failure::NotRun));
        }
        if head.attempt.is_none() {
            return Err(self.mismatched_response(engine, "an answer that names no attempt"));
        }
        let (status, headers) = (parts.status, parts.headers);
        let (address, weights) = (chosen.address, chosen.weights);
        let answer = OpenResponse { status, headers, body, head, connection, address, weights, reservation };
        if status.is_success() {
            return Ok(answer);
        }
        Err(self.failed_response(chosen.engine, answer).await)
    }

    /// An answer that cannot be this attempt's; the request may have run all the same.
    fn mismatched_response(&mut self, engine: &EngineName, reason: &str) -> AttemptEnd {
        self.record_fault(engine, FaultKind::Broken, reason);
        failed(Failure::Uncertain)
    }

    /// The engine says that it has not run the request: it is full, or not the one that was meant.
    fn record_rejection(&mut self, engine: &EngineName, head: &AnswerHead, status: StatusCode) {
        self.tried.push(engine.clone());
        if head.is_misdirected {
            self.record_fault(engine, FaultKind::Refused, "another engine or other weights");
        } else {
            self.table.tell(TableCommand::Full { engine: engine.clone() });
            event!(debug, "attempt_turned_away", engine = engine, status = status.as_u16());
        }
    }

    /// The engine ran the request and failed; its answer is kept, in case no other attempt follows.
    async fn failed_response(&mut self, engine: EngineName, answer: OpenResponse) -> AttemptEnd {
        event!(debug, "attempt_failed", engine = engine, status = answer.status.as_u16());
        if answer.status.is_server_error() {
            self.table.tell(TableCommand::Failed { engine: engine.clone(), kind: FaultKind::Failed });
        }
        self.tried.push(engine);
        let answer = self.read_buffered_response(answer).await.ok();
        AttemptEnd::Failed { failure: Failure::Uncertain, answer }
    }
}
