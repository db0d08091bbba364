//! The head of an engine's answer, and the judgement on it: good, a statement that nothing ran, or a
//! failure of the engine's own.

use super::Relay;
use super::attempt_end::{AttemptEnd, failed};
use crate::prelude::*;

/// The body of an answer that is turned away: read on so far, so that its connection can be kept.
const MOST_TURNED_AWAY_BYTES: usize = 1 << 16;
const TURNED_AWAY_LIMIT: Duration = Duration::from_millis(200);

/// An engine's good answer; its body is still on its way.
pub(super) struct OpenAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) head: AnswerHead,
    pub(super) connection: PersistentConnection,
    pub(super) address: String,
    pub(super) weights: WeightsEdition,
    pub(super) seat: EngineSeat,
}

impl Relay {
    /// Judges an answer's head: good, a statement that nothing ran, or a failure of the engine's own.
    pub(super) async fn judge(
        &mut self,
        chosen: Chosen,
        seat: EngineSeat,
        connection: PersistentConnection,
        response: Response<Incoming>,
    ) -> Result<OpenAnswer, AttemptEnd> {
        let (parts, body) = response.into_parts();
        let head = self.protocol.read_answer(parts.status, &parts.headers);
        let engine = &chosen.engine;
        if let Some(load) = head.load {
            self.table.tell(TableCommand::Load { engine: engine.clone(), load });
        }
        let is_of_another = head.attempt.as_ref().is_some_and(|named| *named != self.planned.head.attempt);
        if is_of_another {
            return Err(self.wrong_answer(engine, "an answer to another attempt"));
        }
        if head.is_not_executed || head.is_misdirected {
            self.note_turned_away(engine, &head, parts.status);
            let _ = read_whole(body, MOST_TURNED_AWAY_BYTES, TURNED_AWAY_LIMIT).await;
            self.pool.keep(&chosen.address, connection, &head, boot_now());
            return Err(failed(Failure::NotRun));
        }
        if head.attempt.is_none() {
            return Err(self.wrong_answer(engine, "an answer that names no attempt"));
        }
        let (status, headers) = (parts.status, parts.headers);
        let (address, weights) = (chosen.address, chosen.weights);
        let answer = OpenAnswer { status, headers, body, head, connection, address, weights, seat };
        if status.is_success() {
            return Ok(answer);
        }
        Err(self.failed_answer(chosen.engine, answer).await)
    }

    /// An answer that cannot be this attempt's; the request may have run all the same.
    fn wrong_answer(&mut self, engine: &EngineName, reason: &str) -> AttemptEnd {
        self.note_fault(engine, FaultKind::Broken, reason);
        failed(Failure::Uncertain)
    }

    /// The engine says that it has not run the request: it is full, or not the one that was meant.
    fn note_turned_away(&mut self, engine: &EngineName, head: &AnswerHead, status: StatusCode) {
        self.tried.push(engine.clone());
        if head.is_misdirected {
            self.note_fault(engine, FaultKind::Refused, "another engine or other weights");
        } else {
            self.table.tell(TableCommand::Full { engine: engine.clone() });
            event!(debug, "attempt_turned_away", engine = engine, status = status.as_u16());
        }
    }

    /// The engine ran the request and failed; its answer is kept, in case no other attempt follows.
    async fn failed_answer(&mut self, engine: EngineName, answer: OpenAnswer) -> AttemptEnd {
        event!(debug, "attempt_failed", engine = engine, status = answer.status.as_u16());
        if answer.status.is_server_error() {
            self.table.tell(TableCommand::Failed { engine: engine.clone(), kind: FaultKind::Failed });
        }
        self.tried.push(engine);
        let answer = self.read_whole_answer(answer).await.ok();
        AttemptEnd::Failed { failure: Failure::Uncertain, answer }
    }
}
