//! Whether a node whose lease is not renewed may go on starting requests. It may while the core is out for
//! everybody. It may not if others are granted leases and it is not: then the tail acknowledges changes that
//! this node never hears of. Nodes tell each other when a lease was granted last, and each decides by itself.

use crate::prelude::*;

/// Before the time on its own word ends, a node asks others for so long.
const ASKING_LEAD: Span = Span::millis(900);
/// How long another node's answer that nobody is granted leases lets this one go on.
pub const CONFIRMED_SPAN: Span = Span::millis(900);

/// What a node tells another one that asks: how long ago the latest grant was asked that it knows of, its own or
/// another node's. Nothing if it knows of none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReport {
    /// Since the renewal was sent that was granted.
    pub age: Option<Span>,
}

/// A node's own lease, and what it knows of those of others.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantTracker {
    timing: Timing,
    lease_until: Instant,
    /// When the renewal was sent that was granted last.
    granted: Instant,
    /// The same of any node, no later than it was.
    latest_granted: Instant,
    confirmed_until: Instant,
}

impl GrantTracker {
    /// A node that holds no lease yet.
    pub fn new(timing: Timing) -> GrantTracker {
        GrantTracker { timing, ..GrantTracker::default() }
    }

    /// A renewal sent at `asked` was granted.
    pub fn renew(&mut self, asked: Instant, until: Instant) {
        self.lease_until = self.lease_until.max(until);
        self.granted = self.granted.max(asked);
        self.latest_granted = self.latest_granted.max(asked);
    }

    /// Until when requests may be started, by what is known so far.
    pub fn until(&self) -> Instant {
        let own_word = self.granted + self.timing.unconfirmed_span;
        self.lease_until.min(own_word.max(self.confirmed_until))
    }

    /// Whether another node was granted a lease when this one should have been.
    pub fn is_passed_over(&self) -> bool {
        self.latest_granted.since(self.granted) >= self.timing.passed_over_span
    }

    /// From when on others are to be asked; never, if the lease ends with the node's own word.
    pub fn ask_peers_from(&self) -> Option<Instant> {
        let own_word = self.granted + self.timing.unconfirmed_span;
        let ask_peers_from = Instant(own_word.0.saturating_sub(ASKING_LEAD.0));
        (self.lease_until > own_word && !self.is_passed_over()).then_some(ask_peers_from)
    }

    /// Takes another node's answer to a question sent at `asked`. The grant it tells of was asked no earlier than
    /// its age before the question; an answer that came late may hide a newer one, and confirms nothing.
    pub fn record_peer_report(&mut self, news: GrantReport, asked: Instant, now: Instant) {
        let Some(age) = news.age else { return };
        self.latest_granted = self.latest_granted.max(Instant(asked.0.saturating_sub(age.0)));
        if now.since(asked) <= PEER_ANSWER_LIMIT {
            self.confirm(now);
        }
    }

    /// There is no other node that could be granted a lease.
    pub fn confirm_without_peers(&mut self, now: Instant) {
        self.confirm(now);
    }

    fn confirm(&mut self, now: Instant) {
        if !self.is_passed_over() {
            self.confirmed_until = self.confirmed_until.max(now + CONFIRMED_SPAN);
        }
    }

    /// What this node tells others.
    pub fn report(&self, now: Instant) -> GrantReport {
        let has_any = self.latest_granted > Instant(0);
        GrantReport { age: has_any.then(|| now.since(self.latest_granted)) }
    }
}
