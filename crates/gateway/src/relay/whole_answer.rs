//! Answers that are no streams: each is read to its end before any of it is passed on.

use super::Relay;
use super::answer_head::OpenAnswer;
use super::attempt_end::{AttemptEnd, failed};
use crate::prelude::*;

const MOST_ANSWER_BYTES: usize = 64 << 20;

impl Relay {
    /// An answer that is no stream: it is read to its end before any of it is passed on.
    pub(super) async fn whole_answer(&mut self, is_further: bool) -> Result<WebResponse, AttemptEnd> {
        let mut answer = self.attempt(is_further, self.planned.head.last_event).await?;
        self.note_read(&mut answer.seat, answer.weights);
        let answered = self.read_whole_answer(answer).await?;
        self.shared.counts.whole.fetch_add(1, Ordering::Relaxed);
        Ok(answered)
    }

    /// Reads an answer's body within the request's time, and keeps the connection.
    pub(super) async fn read_whole_answer(&mut self, answer: OpenAnswer) -> Result<WebResponse, AttemptEnd> {
        let OpenAnswer { status, headers, body, head, connection, address, seat, .. } = answer;
        let time_left = self.planned.deadline.since(boot_now()).as_duration();
        match read_whole(body, MOST_ANSWER_BYTES, time_left).await {
            Ok(bytes) => {
                self.pool.keep(&address, connection, &head, boot_now());
                let mut answered = bytes_response(status, "application/octet-stream", bytes);
                *answered.headers_mut() = end_to_end(&headers);
                Ok(answered)
            }
            Err(BodyFault::TooSlow) => Err(AttemptEnd::OutOfTime { is_sent: true }),
            Err(fault) => {
                self.note_fault(&seat.engine, FaultKind::Broken, &format!("{fault:?}"));
                Err(failed(Failure::Uncertain))
            }
        }
    }
}
