//! Where the pieces of a stream go: to the caller, or into the book that callers are served from.

use crate::prelude::*;

/// Where the pieces go: to the caller, or into the book that callers are served from.
pub(super) enum Sink {
    Caller(BodySender),
    Book(Arc<HeldRun>),
}

impl Sink {
    /// Whether it is the book.
    pub(super) fn is_book(&self) -> bool {
        matches!(self, Sink::Book(_))
    }

    /// Sends an event on; false if nobody takes it any more.
    pub(super) async fn send(&self, event: Bytes) -> bool {
        match self {
            Sink::Caller(pieces) => pieces.send(event).await,
            Sink::Book(held_run) => held_run.hold(event),
        }
    }

    /// Resolves when nobody waits any more; a run in the book goes on without its caller.
    pub(super) async fn gone(&self) {
        match self {
            Sink::Caller(pieces) => pieces.gone().await,
            Sink::Book(_) => std::future::pending().await,
        }
    }

    /// Ends the stream with an error.
    pub(super) fn cut(&self, reason: CutReason) {
        match self {
            Sink::Caller(pieces) => pieces.cut(cut_words(&reason)),
            Sink::Book(held_run) => held_run.end(HeldEnd::Cut(reason)),
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
            Sink::Book(held_run) if all_sent => held_run.end(HeldEnd::Whole),
            Sink::Book(_) => {
                self.cut(CutReason { kind: "cut", message: "the run is too large to be held".into() });
            }
        }
    }
}
