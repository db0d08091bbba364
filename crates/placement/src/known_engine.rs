//! What a router knows of one engine.

use crate::prelude::*;

/// An engine's own count of running requests is of use for so long.
const COUNT_SPAN: Span = Span::seconds(3);
/// A storing that was never told is forgotten after so many times the span in which it should have been.
const AWAIT_FACTOR: u64 = 10;

#[derive(Debug, Default)]
pub(crate) struct KnownEngine {
    pub(crate) index: u32,
    pub(crate) place: Option<EventCursor>,
    /// When a poll that was answered was asked.
    pub(crate) heard: Instant,
    /// Blocks whose storing was to be told, and since when.
    pub(crate) awaited: HashMap<BlockHash, Instant>,
    pub(crate) own_blocks: u64,
    pub(crate) own_attempts: u64,
    /// The engine's own coarse count of running requests, and when it was asked.
    pub(crate) counted: Option<(u64, Instant)>,
    pub(crate) rest_until: Instant,
    /// Adapters that the engine said it does not hold, though the fleet state says so, and until when that is
    /// gone by.
    pub(crate) cold_until: BTreeMap<AdapterId, Instant>,
}

impl KnownEngine {
    /// Blocks the engine works on: our own, and a share for what others run there.
    pub(crate) fn decode_blocks(&self, usual_blocks: f64, now: Instant) -> BlockCount {
        let foreign_count = self
            .counted
            .filter(|(_, asked)| now.since(*asked) < COUNT_SPAN)
            .map_or(0, |(running, _)| running.saturating_sub(self.own_attempts));
        BlockCount(self.own_blocks + (foreign_count as f64 * usual_blocks) as u64)
    }

    /// Events are late when no poll was answered, or when a storing we know of was not told in time.
    pub(crate) fn events_are_late(&self, late_after: Span, now: Instant) -> bool {
        let forgotten_after = late_after.times(AWAIT_FACTOR);
        self.place.is_none()
            || now.since(self.heard) >= late_after
            || self.awaited.values().any(|since| {
                let waited = now.since(*since);
                waited >= late_after && waited < forgotten_after
            })
    }
}
