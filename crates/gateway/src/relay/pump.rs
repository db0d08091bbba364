//! Passing a stream's events on to the caller, in a task of its own; a stream that breaks goes on at
//! another engine where it may be resumed.

use super::Relay;
use super::answer_head::OpenAnswer;
use super::open_stream::Begun;
use crate::prelude::*;

const PIECE_PLACES: usize = 64;

/// How passing one engine's stream on ended.
enum PumpEnd {
    Whole,
    Broken(String),
    CallerGone,
    OutOfTime,
}

impl Relay {
    /// The answer begins: its head goes to the caller, and its events follow.
    pub(super) fn pass_stream(mut self, begun: Begun) -> WebResponse {
        self.exchange.begin_answer();
        let (pieces, mut answered) = streaming_response(begun.answer.status, "text/event-stream", PIECE_PLACES);
        *answered.headers_mut() = end_to_end(&begun.answer.headers);
        tokio::spawn(self.pump(begun, pieces));
        answered
    }

    /// Passes events on until the stream ends, at this engine or, where it may be resumed, at others.
    async fn pump(mut self, mut begun: Begun, pieces: BodySender) {
        loop {
            let reason = match self.pump_one(&mut begun, &pieces).await {
                PumpEnd::Whole => return self.end_whole(begun, &pieces),
                PumpEnd::CallerGone => return self.note_cancelled(),
                PumpEnd::OutOfTime => return self.note_cut("its time is over"),
                PumpEnd::Broken(reason) => reason,
            };
            let engine = begun.answer.seat.engine.clone();
            self.note_fault(&engine, FaultKind::Broken, &reason);
            let last_event = begun.cutter.last_event();
            let resuming = self.resume(engine, last_event);
            tokio::select! {
                resumed = resuming => match resumed {
                    Some(resumed) => begun = resumed,
                    None => return self.note_cut(&reason),
                },
                () = pieces.gone() => return,
            }
        }
    }

    /// Passes one engine's events on, until its stream ends or cannot go on.
    async fn pump_one(&self, begun: &mut Begun, pieces: &BodySender) -> PumpEnd {
        loop {
            let events = std::mem::take(&mut begun.events);
            if !events.is_empty() && !pieces.send(Bytes::from(events)).await {
                return PumpEnd::CallerGone;
            }
            if begun.is_ended {
                return PumpEnd::Whole;
            }
            let time_left = self.planned.deadline.since(boot_now()).as_duration();
            tokio::select! {
                read = begun.read_on() => if let Err(reason) = read { return PumpEnd::Broken(reason) },
                () = pieces.gone() => return PumpEnd::CallerGone,
                () = tokio::time::sleep(time_left) => return PumpEnd::OutOfTime,
            }
        }
    }

    /// Goes on with a broken stream after its last event, where that is allowed.
    async fn resume(&mut self, engine: EngineName, last_event: Option<u64>) -> Option<Begun> {
        self.tried.push(engine);
        let mut next = self.exchange.fail(Failure::Uncertain);
        while let Next::Select { is_further } = next {
            next = match self.open_stream(is_further, last_event).await {
                Ok(begun) => return Some(begun),
                Err(end) => self.after(end).ok()?,
            };
        }
        None
    }

    /// The whole stream was passed on: its connection is kept, and the caller is told the end.
    fn end_whole(&self, begun: Begun, pieces: &BodySender) {
        let OpenAnswer { head, connection, address, .. } = begun.answer;
        self.pool.keep(&address, connection, &head, boot_now());
        self.shared.counts.whole.fetch_add(1, Ordering::Relaxed);
        pieces.finish();
    }

    fn note_cancelled(&self) {
        self.shared.counts.cancelled.fetch_add(1, Ordering::Relaxed);
    }

    fn note_cut(&self, reason: &str) {
        self.shared.counts.cut.fetch_add(1, Ordering::Relaxed);
        event!(debug, "stream_cut", attempt = self.planned.head.attempt, reason = reason);
    }
}
