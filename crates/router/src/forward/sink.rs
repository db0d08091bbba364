//! Where the pieces of a stream go: to the caller, or into the held_runs that callers are served from.

use crate::prelude::*;

/// Where the pieces go: to the caller, or into the held_runs that callers are served from.
pub(super) enum Sink {
    Caller(PieceSender),
    Buffer(Arc<HeldRun>),
}

impl Sink {
    /// Whether it is the held_runs.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, Sink::Buffer(_))
    }

    /// Sends an event on; false if nobody takes it any more.
    pub(super) async fn send(&self, event: Bytes) -> bool {
        match self {
            Sink::Caller(pieces) => pieces.send(event).await,
            Sink::Buffer(held_run) => held_run.hold(event),
        }
    }

    /// Resolves when nobody waits any more; a run in the held_runs goes on without its caller.
    pub(super) async fn gone(&self) {
        match self {
            Sink::Caller(pieces) => pieces.gone().await,
            Sink::Buffer(_) => std::future::pending().await,
        }
    }

    /// Ends the stream with an error.
    pub(super) fn cut(&self, reason: CutReason) {
        match self {
            Sink::Caller(pieces) => pieces.cut(error_event(&reason)),
            Sink::Buffer(held_run) => held_run.end(HeldEnd::Cut(reason)),
        }
    }

    /// Sends the rest and ends cleanly; what cannot be sent in time is an aborted stream.
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
                self.cut(CutReason { kind: "cut", message: "the run is too large to be held".into() });
            }
        }
    }
}
