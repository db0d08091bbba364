//! Numbered events about an engine's KV cache, and the position up to which a source's events were applied. Events
//! must be of one boot and without a gap; otherwise the source's state is dropped and its snapshot is requested.

use crate::prelude::*;

/// A change to the set of blocks that an engine caches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    Stored(Vec<BlockHash>),
    Removed(Vec<BlockHash>),
    AllCleared,
}

/// The position reached in a source's sequence of events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventCursor {
    /// The source's boot; numbering starts anew with each.
    pub boot: String,
    /// The number of the next event expected.
    pub next_number: u64,
}

impl EventCursor {
    /// Advances past a batch whose first event has the number `first_number`, and returns the events not seen before.
    /// Returns `None` on a gap or a different boot: the caller must then drop the source's state and fetch its
    /// snapshot.
    pub fn accept_batch<'a>(
        &mut self,
        boot: &str,
        first_number: u64,
        batch: &'a [CacheEvent],
    ) -> Option<&'a [CacheEvent]> {
        if boot != self.boot || first_number > self.next_number {
            return None;
        }
        let known_count = ((self.next_number - first_number) as usize).min(batch.len());
        let new_events = &batch[known_count..];
        self.next_number += new_events.len() as u64;
        Some(new_events)
    }
}
