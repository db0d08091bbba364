//! What a router knows about one engine.

use crate::prelude::*;

/// An engine's own count of running requests is ignored once it is this old.
const COUNT_MAX_AGE: Span = Span::seconds(3);
/// An expected storage event that is this many times overdue no longer counts.
const EXPECTED_EVENT_EXPIRY_FACTOR: u64 = 10;

/// The state of one engine: its followed events, this router's own attempts there, and its recent faults.
#[derive(Debug, Default)]
pub(crate) struct EngineState {
    /// The engine's number in the prefix tree.
    pub(crate) index: u32,
    /// The position in the engine's events; none if its full list is needed.
    pub(crate) position: Option<EventCursor>,
    /// When the last answered poll was sent; all events up to then are known.
    pub(crate) events_known_until: Instant,
    /// Blocks whose storage events are expected, and since when.
    pub(crate) expected_blocks: HashMap<BlockHash, Instant>,
    pub(crate) own_blocks: u64,
    pub(crate) own_attempts: u64,
    /// The engine's own coarse count of running requests, and when it was requested.
    pub(crate) reported_running: Option<(u64, Instant)>,
    pub(crate) backoff_until: Instant,
    /// Adapters that the engine reported as not loaded although the fleet state lists them as warm, and until when
    /// that report applies.
    pub(crate) cold_until: BTreeMap<AdapterId, Instant>,
}

impl EngineState {
    /// Blocks that the engine works on: those of this router's attempts, and an estimate for other routers' requests.
    pub(crate) fn decode_blocks(&self, average_blocks: f64, now: Instant) -> BlockCount {
        let foreign_count = self
            .reported_running
            .filter(|(_, requested_at)| now.since(*requested_at) < COUNT_MAX_AGE)
            .map_or(0, |(running, _)| running.saturating_sub(self.own_attempts));
        BlockCount(self.own_blocks + (foreign_count as f64 * average_blocks) as u64)
    }

    /// Events are late if no poll was answered for a while, or if an expected storage event is overdue.
    pub(crate) fn events_are_late(&self, late_after: Span, now: Instant) -> bool {
        let expires_after = late_after.times(EXPECTED_EVENT_EXPIRY_FACTOR);
        self.position.is_none()
            || now.since(self.events_known_until) >= late_after
            || self.expected_blocks.values().any(|since| {
                let waited = now.since(*since);
                waited >= late_after && waited < expires_after
            })
    }
}
