//! What a node knows of one engine or store.

use crate::prelude::*;

const FIRST_REST: Span = Span::millis(300);
const LONGEST_REST: Span = Span::seconds(2);
const REST_WHEN_FULL: Span = Span::millis(100);
const LOAD_SPAN: Span = Span::seconds(3);
const AWAIT_FACTOR: u64 = 10;
const TROUBLE_HALF_LIFE: Span = Span::seconds(4);
const MOST_TROUBLE: f64 = 8.0;
const TROUBLE_LEFT_BY_SUCCESS: f64 = 0.8;
const AWAITED_BEFORE_SWEEP: usize = 64;

/// How an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The connection was refused or reset before the request was sent.
    Refused,
    /// Nothing came back in time. It costs each request its wait, so the rest begins longer.
    Unreachable,
    /// An answer was cut or was none.
    Broken,
    /// The engine answered that it failed. It goes on being used, but less.
    Failed,
}

/// An engine's own coarse count, as it stood a while ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    pub running: u64,
    pub waiting: u64,
    pub slots: u64,
}

/// An engine's load without our own part, as it stood when it was told.
#[derive(Clone, Copy, Debug)]
struct OthersLoad {
    requests: u64,
    waiting: u64,
    slots: u64,
    told: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct Known {
    pub index: u32,
    pub position: Option<SourcePosition>,
    /// Up to when its events are known.
    pub heard: Instant,
    /// Parts that an event should soon tell of, and since when.
    awaited: HashMap<PartName, Instant>,
    pub own_requests: u64,
    pub own_tokens: u64,
    /// Own requests whose answers have not begun, and what the engine has to read for them.
    pub unread_requests: u64,
    pub pending_prefill_tokens: u64,
    /// The load of others, as it told last.
    others: Option<OthersLoad>,
    pub rest_until: Instant,
    pub full_until: Instant,
    faults: u32,
    /// How much it failed lately, as of an instant; it fades with time and with each success.
    trouble: (f64, Instant),
}

impl Known {
    pub fn new(index: u32) -> Known {
        Known { index, ..Known::default() }
    }

    pub fn note_load(&mut self, load: EngineLoad, now: Instant) {
        if self.others.is_some_and(|others| others.told > now) {
            return;
        }
        let requests = load.running.saturating_add(load.waiting).saturating_sub(self.own_requests);
        let waiting = load.waiting.saturating_sub(self.unread_requests);
        self.others = Some(OthersLoad { requests, waiting, slots: load.slots, told: now });
    }

    /// Requests of others, if it told of them lately: less our own of that time.
    pub fn others(&self, now: Instant) -> Option<u64> {
        self.fresh_load(now).map(|others| others.requests)
    }

    /// Requests of others that waited, and how long ago.
    pub fn others_waiting(&self, now: Instant) -> (u64, Span) {
        self.fresh_load(now).map_or((0, Span(0)), |others| (others.waiting, now.since(others.told)))
    }

    /// The slots it told of last, if it did lately.
    pub fn told_slots(&self, now: Instant) -> Option<u64> {
        self.fresh_load(now).map(|others| others.slots).filter(|slots| *slots > 0)
    }

    fn fresh_load(&self, now: Instant) -> Option<OthersLoad> {
        self.others.filter(|others| now.since(others.told) < LOAD_SPAN)
    }

    /// How much the engine failed lately: about the number of its latest failures.
    pub fn trouble(&self, now: Instant) -> f64 {
        let (trouble, since) = self.trouble;
        let half_lives = now.since(since).0 as f64 / TROUBLE_HALF_LIFE.0 as f64;
        trouble * 0.5_f64.powf(half_lives)
    }

    fn note_trouble(&mut self, now: Instant) {
        self.trouble = ((self.trouble(now) + 1.0).min(MOST_TROUBLE), now);
    }

    /// Each fault in a row doubles the rest. Faults while it rests belong to requests that were under way
    /// and count no further.
    pub fn note_fault(&mut self, kind: FaultKind, now: Instant) {
        self.note_trouble(now);
        if kind == FaultKind::Failed {
            return;
        }
        if now < self.rest_until {
            return;
        }
        let head_start = u32::from(kind == FaultKind::Unreachable);
        let doublings = (self.faults + head_start).min(8);
        let rest = Span(FIRST_REST.0 << doublings).min(LONGEST_REST);
        self.faults = self.faults.saturating_add(1);
        self.rest_until = now + rest;
    }

    /// The next fault's rest begins anew. A rest under way goes on: the answer may be of an earlier request.
    pub fn note_success(&mut self, now: Instant) {
        self.faults = 0;
        self.trouble = (self.trouble(now) * TROUBLE_LEFT_BY_SUCCESS, now);
    }

    pub fn note_full(&mut self, now: Instant) {
        self.full_until = now + REST_WHEN_FULL;
    }

    pub fn await_part(&mut self, name: PartName, late_after: Span, now: Instant) {
        if self.awaited.len() >= AWAITED_BEFORE_SWEEP {
            self.awaited.retain(|_, since| now.since(*since) < late_after.times(AWAIT_FACTOR));
        }
        self.awaited.entry(name).or_insert(now);
    }

    /// An event came. Awaited parts of much earlier requests will not be told any more: a few events never
    /// arrive, and that does not make those that do late.
    pub fn settle_awaited(&mut self, name: PartName, late_after: Span) {
        let Some(told_since) = self.awaited.remove(&name) else { return };
        self.awaited.retain(|_, since| *since + late_after > told_since);
    }

    pub fn forget_awaited(&mut self) {
        self.awaited.clear();
    }

    /// Events are late when nothing was heard for a while, or when a part we know of was not told in time.
    pub fn events_are_late(&self, late_after: Span, now: Instant) -> bool {
        let forgotten_after = late_after.times(AWAIT_FACTOR);
        self.position.is_none()
            || now.since(self.heard) >= late_after
            || self.awaited.values().any(|since| {
                let waited = now.since(*since);
                waited >= late_after && waited < forgotten_after
            })
    }
}
