//! Numbered events of cached parts. A source is followed within one epoch and without lost events; otherwise its
//! known parts are dropped and its full list is needed.

use crate::prelude::*;

/// One event of a source. `tokens` is the number of tokens cached after the event for both signs: after `-` it is
/// the rest of the part, 0 if nothing remains. A part may be evicted piece by piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartEvent {
    pub number: u64,
    /// `+` if true, `-` if false.
    pub kept: bool,
    pub name: PartName,
    /// Tokens cached after the event, for both signs.
    pub tokens: u64,
}

/// A source's answer to a request for its events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartBatch {
    pub epoch: u64,
    /// The number of the last event; the next request continues from it.
    pub next: u64,
    /// The source no longer has all events since the requested number.
    pub lost: bool,
    pub events: Vec<PartEvent>,
}

/// The position up to which a source was followed. Events up to and including `next` are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourcePosition {
    pub epoch: u64,
    pub next: u64,
}

/// Whether a source is still followed after a batch of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    Followed,
    /// The epoch changed or events were lost: the source's full list is needed.
    Lost,
}

impl SourcePosition {
    /// Advances to the end of the batch, never back, so a batch that arrives after a later one is harmless. A gap in
    /// the numbers of a batch that isn't marked lost is no loss: sources don't send every event.
    pub fn follow(&mut self, batch: &PartBatch) -> FollowOutcome {
        if batch.lost || batch.epoch != self.epoch {
            return FollowOutcome::Lost;
        }
        self.next = self.next.max(batch.next);
        FollowOutcome::Followed
    }
}
