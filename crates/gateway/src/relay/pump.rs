//! Forwards a stream's events to the caller in its own task; a broken stream continues on another engine if it
//! is resumable.

use super::Relay;
use super::answer_head::OpenResponse;
use super::open_stream::OpenStream;
use crate::prelude::*;

const PIECE_QUEUE_CAPACITY: usize = 64;

/// How forwarding one engine's stream ended.
enum PumpEnd {
    Complete,
    Broken(String),
    CallerGone,
    TimedOut,
}

impl Relay {
    /// Returns the response head for the caller; a task forwards the events.
    pub(super) fn forward_stream(mut self, stream: OpenStream) -> WebResponse {
        self.retry_state.begin_response();
        let (pieces, mut response) =
            streaming_response(stream.answer.status, "text/event-stream", PIECE_QUEUE_CAPACITY);
        *response.headers_mut() = end_to_end(&stream.answer.headers);
        tokio::spawn(self.pump(stream, pieces));
        response
    }

    /// Forwards events until the stream ends, on this engine or, if it is resumable, on others.
    async fn pump(mut self, mut stream: OpenStream, pieces: BodySender) {
        let mut last_event = self.planned.head.last_event;
        loop {
            let reason = match self.pump_one(&mut stream, &mut last_event, &pieces).await {
                PumpEnd::Complete => return self.finish_stream(stream, &pieces),
                PumpEnd::CallerGone => return self.record_cancelled(),
                PumpEnd::TimedOut => return self.record_cut("the time limit has passed"),
                PumpEnd::Broken(reason) => reason,
            };
            let engine = stream.answer.reservation.engine.clone();
            self.record_fault(&engine, FaultKind::Broken, &reason);
            self.number_gaps = stream.splitter.gaps();
            let resuming = self.resume(engine, last_event);
            tokio::select! {
                resumed = resuming => match resumed {
                    Some(resumed) => stream = resumed,
                    None => return self.record_cut(&reason),
                },
                () = pieces.gone() => return,
            }
        }
    }

    /// Forwards one engine's events until its stream ends or breaks. `last_event` follows the events that went on.
    async fn pump_one(&self, stream: &mut OpenStream, last_event: &mut Option<u64>, pieces: &BodySender) -> PumpEnd {
        loop {
            let events = std::mem::take(&mut stream.received.events);
            if !events.is_empty() && !pieces.send(Bytes::from(events)).await {
                return PumpEnd::CallerGone;
            }
            *last_event = stream.received.last_event;
            if let Some(reason) = stream.fault.take() {
                return PumpEnd::Broken(reason);
            }
            if stream.is_ended {
                return PumpEnd::Complete;
            }
            let time_left = self.planned.deadline.since(boot_now()).as_duration();
            tokio::select! {
                () = stream.read_next() => {}
                () = pieces.gone() => return PumpEnd::CallerGone,
                () = tokio::time::sleep(time_left) => return PumpEnd::TimedOut,
            }
        }
    }

    /// Continues a broken stream after the last event that went on, at another engine, if allowed.
    async fn resume(&mut self, engine: EngineName, last_event: Option<u64>) -> Option<OpenStream> {
        self.tried.push(engine);
        let mut next = self.retry_state.fail(Failure::Uncertain);
        while let NextStep::Select { is_retry } = next {
            next = match self.open_stream(is_retry, last_event).await {
                Ok(stream) => return Some(stream),
                Err(end) => self.next_step(end).ok()?,
            };
        }
        None
    }

    /// Ends the caller's stream after the last event, and returns the connection to the pool.
    fn finish_stream(&self, stream: OpenStream, pieces: &BodySender) {
        let OpenResponse { head, connection, address, .. } = stream.answer;
        self.pool.release(&address, connection, &head, boot_now());
        self.shared.counts.whole.fetch_add(1, Ordering::Relaxed);
        pieces.finish();
    }

    fn record_cancelled(&self) {
        self.shared.counts.cancelled.fetch_add(1, Ordering::Relaxed);
    }

    fn record_cut(&self, reason: &str) {
        self.shared.counts.cut.fetch_add(1, Ordering::Relaxed);
        event!(debug, "stream_cut", attempt = self.planned.head.attempt, reason = reason);
    }
}
