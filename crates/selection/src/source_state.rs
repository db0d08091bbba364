//! What a node knows about one engine or store, both of which are sources of cached parts.

use crate::prelude::*;

const MIN_BACKOFF: Span = Span::millis(300);
const MAX_BACKOFF: Span = Span::seconds(2);
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
const FULL_BACKOFF: Span = Span::millis(100);
/// A load report is ignored once it is this old.
const LOAD_MAX_AGE: Span = Span::seconds(3);
/// An expected event that is this many times overdue no longer counts: a few events never arrive.
const EXPECTED_EVENT_EXPIRY_FACTOR: u64 = 10;
const FAILURE_HALF_LIFE: Span = Span::seconds(4);
const MAX_RECENT_FAILURES: f64 = 8.0;
/// The share of the recent failures that remains after a success.
const FAILURES_KEPT_ON_SUCCESS: f64 = 0.8;
/// Expired expectations are removed only from this number on.
const EXPECTED_PARTS_BEFORE_CLEANUP: usize = 64;

/// How an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The connection was refused or reset before the request was sent.
    Refused,
    /// No answer arrived in time. Each such request waits for the whole timeout, so the first backoff is longer.
    Unreachable,
    /// The answer was truncated or invalid.
    Broken,
    /// The engine answered with an error. It stays in use at a higher cost.
    Failed,
}

/// The load that an engine reports for itself; coarse and delayed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    pub running: u64,
    pub waiting: u64,
    pub slots: u64,
}

/// An engine's reported load without this node's own requests.
#[derive(Clone, Copy, Debug)]
struct ForeignLoad {
    requests: u64,
    waiting: u64,
    slots: u64,
    reported_at: Instant,
}

/// The state of one source: its followed events, this node's own requests there, its reported load and its
/// recent faults.
#[derive(Debug, Default)]
pub(crate) struct SourceState {
    /// The source's number in the part index.
    pub index: u32,
    pub position: Option<SourcePosition>,
    /// All events up to this instant are known.
    pub events_known_until: Instant,
    /// Parts whose events are expected, and since when.
    expected_parts: HashMap<PartName, Instant>,
    pub own_requests: u64,
    pub own_tokens: u64,
    /// Own requests that have no first token yet, and the tokens that the engine must prefill for them.
    pub pending_prefill_requests: u64,
    pub pending_prefill_tokens: u64,
    /// The load of other nodes' requests, as last reported.
    foreign_load: Option<ForeignLoad>,
    pub backoff_until: Instant,
    pub full_until: Instant,
    consecutive_faults: u32,
    /// The decayed number of failures as of an instant; it shrinks over time and with each success.
    recent_failures: (f64, Instant),
}

impl SourceState {
    pub fn new(index: u32) -> SourceState {
        SourceState { index, ..SourceState::default() }
    }

    pub fn record_load(&mut self, load: EngineLoad, now: Instant) {
        if self.foreign_load.is_some_and(|others| others.reported_at > now) {
            return;
        }
        let requests = load.running.saturating_add(load.waiting).saturating_sub(self.own_requests);
        let waiting = load.waiting.saturating_sub(self.pending_prefill_requests);
        self.foreign_load = Some(ForeignLoad { requests, waiting, slots: load.slots, reported_at: now });
    }

    /// Requests of other nodes, if the engine reported recently: its count less this node's requests at that time.
    pub fn foreign_requests(&self, now: Instant) -> Option<u64> {
        self.fresh_load(now).map(|others| others.requests)
    }

    /// Waiting requests of other nodes, and the age of that count.
    pub fn foreign_waiting(&self, now: Instant) -> (u64, Span) {
        self.fresh_load(now).map_or((0, Span(0)), |others| (others.waiting, now.since(others.reported_at)))
    }

    /// The slots that the engine reported, if it did so recently.
    pub fn reported_slots(&self, now: Instant) -> Option<u64> {
        self.fresh_load(now).map(|others| others.slots).filter(|slots| *slots > 0)
    }

    fn fresh_load(&self, now: Instant) -> Option<ForeignLoad> {
        self.foreign_load.filter(|others| now.since(others.reported_at) < LOAD_MAX_AGE)
    }

    /// The number of recent failures, decayed by their age.
    pub fn recent_failures(&self, now: Instant) -> f64 {
        let (failures, as_of) = self.recent_failures;
        let half_lives = now.since(as_of).0 as f64 / FAILURE_HALF_LIFE.0 as f64;
        failures * 0.5_f64.powf(half_lives)
    }

    fn count_failure(&mut self, now: Instant) {
        self.recent_failures = ((self.recent_failures(now) + 1.0).min(MAX_RECENT_FAILURES), now);
    }

    /// Each consecutive fault doubles the backoff. Faults during the backoff belong to requests that were already
    /// in flight and don't extend it.
    pub fn record_fault(&mut self, kind: FaultKind, now: Instant) {
        self.count_failure(now);
        if kind == FaultKind::Failed {
            return;
        }
        if now < self.backoff_until {
            return;
        }
        let extra_doublings = u32::from(kind == FaultKind::Unreachable);
        let doublings = (self.consecutive_faults + extra_doublings).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = Span(MIN_BACKOFF.0 << doublings).min(MAX_BACKOFF);
        self.consecutive_faults = self.consecutive_faults.saturating_add(1);
        self.backoff_until = now + backoff;
    }

    /// The next fault starts with the shortest backoff. A current backoff continues: the answer may belong to a
    /// request sent before the fault.
    pub fn record_success(&mut self, now: Instant) {
        self.consecutive_faults = 0;
        self.recent_failures = (self.recent_failures(now) * FAILURES_KEPT_ON_SUCCESS, now);
    }

    pub fn record_full(&mut self, now: Instant) {
        self.full_until = now + FULL_BACKOFF;
    }

    pub fn expect_part(&mut self, name: PartName, late_after: Span, now: Instant) {
        if self.expected_parts.len() >= EXPECTED_PARTS_BEFORE_CLEANUP {
            self.expected_parts.retain(|_, since| now.since(*since) < late_after.times(EXPECTED_EVENT_EXPIRY_FACTOR));
        }
        self.expected_parts.entry(name).or_insert(now);
    }

    /// Handles the event of a part. Also drops parts that were expected much earlier: a few events never arrive,
    /// and that doesn't make the others late.
    pub fn settle_expected(&mut self, name: PartName, late_after: Span) {
        let Some(expected_since) = self.expected_parts.remove(&name) else { return };
        self.expected_parts.retain(|_, since| *since + late_after > expected_since);
    }

    pub fn clear_expected(&mut self) {
        self.expected_parts.clear();
    }

    /// Events are late if none were received for a while, or if the event of an expected part is overdue.
    pub fn events_are_late(&self, late_after: Span, now: Instant) -> bool {
        let expires_after = late_after.times(EXPECTED_EVENT_EXPIRY_FACTOR);
        self.position.is_none()
            || now.since(self.events_known_until) >= late_after
            || self.expected_parts.values().any(|since| {
                let waited = now.since(*since);
                waited >= late_after && waited < expires_after
            })
    }
}
