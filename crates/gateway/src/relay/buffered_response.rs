//! Responses that are not streams: each is read to the end before any of it is forwarded.

use super::Relay;
use super::answer_head::OpenResponse;
use super::attempt_end::{AttemptEnd, failed};
use crate::prelude::*;

const MAX_RESPONSE_BYTES: usize = 64 << 20;

impl Relay {
    /// Makes an attempt and reads its whole response.
    pub(super) async fn buffered_response(&mut self, is_retry: bool) -> Result<WebResponse, AttemptEnd> {
        let mut answer = self.attempt(is_retry, self.planned.head.last_event).await?;
        self.record_prefill(&mut answer.reservation, answer.weights);
        let response = self.read_buffered_response(answer).await?;
        self.shared.counts.whole.fetch_add(1, Ordering::Relaxed);
        Ok(response)
    }

    /// Reads a response's body within the request's time limit, and returns the connection to the pool.
    pub(super) async fn read_buffered_response(&mut self, answer: OpenResponse) -> Result<WebResponse, AttemptEnd> {
        let OpenResponse { status, headers, body, head, connection, address, reservation, .. } = answer;
        let time_left = self.planned.deadline.since(boot_now()).as_duration();
        match read_within_budget(body, MAX_RESPONSE_BYTES, time_left, &self.planned.client).await {
            Ok(bytes) => {
                self.pool.release(&address, connection, &head, boot_now());
                let mut response = bytes_response(status, "application/octet-stream", bytes);
                *response.headers_mut() = end_to_end(&headers);
                response.extensions_mut().insert(CountedBody);
                Ok(response)
            }
            Err(BodyFault::NoRoom) => Err(AttemptEnd::NoRoom),
            Err(BodyFault::TooSlow) => Err(AttemptEnd::TimedOut { is_sent: true }),
            Err(error) => {
                self.record_fault(&reservation.engine, FaultKind::Broken, &format!("{error:?}"));
                Err(failed(Failure::Uncertain))
            }
        }
    }
}
