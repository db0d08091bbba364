//! Numbered news of kept memory, and the rule for following a source: in order, of one boot, without
//! a gap. Anything else drops what the source told and asks for its snapshot.

use crate::prelude::*;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    Stored(Vec<BlockHash>),
    Removed(Vec<BlockHash>),
    AllCleared,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventCursor {
    pub boot: String,
    pub next_number: u64,
}

impl EventCursor {
    /// Takes a batch that starts with number `first_number`; answers the part that is new, or nothing
    /// on a gap or another boot: what the source told is to be dropped and its snapshot taken.
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
