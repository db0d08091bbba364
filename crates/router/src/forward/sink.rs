//! The destination of a stream's events: the caller's connection, or the buffer of a resumable run.

use crate::prelude::*;

/// The destination of a stream's events.
pub(super) enum Sink {
    /// The caller's connection.
    Caller(BodySender),
    /// The buffer of a resumable run, from which callers are served.
    Buffer(Arc<HeldRun>),
}

impl Sink {
    /// Whether events go to the buffer of a resumable run.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, Sink::Buffer(_))
    }

    /// Sends an event; false if the caller has left or the buffer is full.
    pub(super) async fn send(&self, event: Bytes) -> bool {
        match self {
            Sink::Caller(pieces) => pieces.send(event).await,
            Sink::Buffer(held_run) => held_run.hold(event),
        }
    }

    /// Resolves when the caller has left. Never resolves for a resumable run, which continues without its caller.
    pub(super) async fn gone(&self) {
        match self {
            Sink::Caller(pieces) => pieces.gone().await,
            Sink::Buffer(_) => std::future::pending().await,
        }
    }

    /// Ends the stream with an error event.
    pub(super) fn cut(&self, reason: CutReason) {
        match self {
            Sink::Caller(pieces) => pieces.cut(error_event(&reason)),
            Sink::Buffer(held_run) => held_run.end(HeldEnd::Cut(reason)),
        }
    }

    /// Sends the remaining events and ends the stream cleanly, or aborts it if they cannot be sent in time.
    pub(super) async fn finish(&self, rest: VecDeque<Bytes>, limit_left: Duration) {
        let sending = async {
            for event in rest {
                if !self.send(event).await {
                    return false;
                }
            }
            true
        };
        let all_sent = tokio::time::timeout(limit_left, sending).await.unwrap_or(false);
        match self {
            Sink::Caller(pieces) if all_sent => pieces.finish(),
            Sink::Caller(_) => {}
            Sink::Buffer(held_run) if all_sent => held_run.end(HeldEnd::Whole),
            Sink::Buffer(_) => {
                self.cut(CutReason { kind: "cut", message: "the run exceeds the resume buffer".into() });
            }
        }
    }
}
