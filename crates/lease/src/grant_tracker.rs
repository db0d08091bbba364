//! Decides whether a node whose lease is not renewed may go on starting requests.
//!
//! It may while the core is unavailable to every node. It may not if other nodes are granted leases and it is not,
//! because the tail then acknowledges changes that this node does not receive. Nodes tell each other when a lease was
//! last granted, and each node decides for itself.

use crate::prelude::*;

/// How long before its unconfirmed time ends a node starts to ask its peers.
const PEER_QUERY_LEAD: Span = Span::millis(900);
/// How long a peer's report that does not show this node as passed over lets it go on.
pub const CONFIRMED_SPAN: Span = Span::millis(900);

/// A node's answer to a peer: the age of the latest grant it knows of, its own or another node's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReport {
    /// The time since the granted renewal was sent; `None` if no grant is known.
    pub age: Option<Span>,
}

/// A node's own lease, and what it knows about grants to its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantTracker {
    timing: Timing,
    lease_until: Instant,
    /// When this node's last granted renewal was sent.
    granted: Instant,
    /// A lower bound on when the last granted renewal of any node was sent.
    latest_granted: Instant,
    /// Until when peers' reports allow this node to go on.
    confirmed_until: Instant,
}

impl GrantTracker {
    /// The state of a node that holds no lease yet.
    pub fn new(timing: Timing) -> GrantTracker {
        GrantTracker { timing, ..GrantTracker::default() }
    }

    /// Records that a renewal sent at `asked` was granted, with a lease that ends at `until`.
    pub fn renew(&mut self, asked: Instant, until: Instant) {
        self.lease_until = self.lease_until.max(until);
        self.granted = self.granted.max(asked);
        self.latest_granted = self.latest_granted.max(asked);
    }

    /// Until when requests may be started, as far as is known now.
    pub fn until(&self) -> Instant {
        let unconfirmed_until = self.granted + self.timing.unconfirmed_span;
        self.lease_until.min(unconfirmed_until.max(self.confirmed_until))
    }

    /// Whether this node is passed over: others have been granted leases so much later that this one should have been
    /// renewed too.
    pub fn is_passed_over(&self) -> bool {
        self.latest_granted.since(self.granted) >= self.timing.passed_over_span
    }

    /// When to start asking peers. `None` if no confirmation is needed, because the lease ends with the unconfirmed
    /// time, or if none would help, because the node is passed over.
    pub fn ask_peers_from(&self) -> Option<Instant> {
        let unconfirmed_until = self.granted + self.timing.unconfirmed_span;
        let ask_peers_from = Instant(unconfirmed_until.0.saturating_sub(PEER_QUERY_LEAD.0));
        (self.lease_until > unconfirmed_until && !self.is_passed_over()).then_some(ask_peers_from)
    }

    /// Records a peer's report in answer to a query sent at `asked`. The reported grant was requested no earlier than
    /// its age before the query. An answer that took too long may miss a newer grant, so it confirms nothing.
    pub fn record_peer_report(&mut self, report: GrantReport, asked: Instant, now: Instant) {
        let Some(age) = report.age else { return };
        self.latest_granted = self.latest_granted.max(Instant(asked.0.saturating_sub(age.0)));
        if now.since(asked) <= PEER_ANSWER_LIMIT {
            self.confirm(now);
        }
    }

    /// Confirms this node because there is no other node that could be granted a lease.
    pub fn confirm_without_peers(&mut self, now: Instant) {
        self.confirm(now);
    }

    fn confirm(&mut self, now: Instant) {
        if !self.is_passed_over() {
            self.confirmed_until = self.confirmed_until.max(now + CONFIRMED_SPAN);
        }
    }

    /// The report that this node gives to its peers.
    pub fn report(&self, now: Instant) -> GrantReport {
        let knows_grant = self.latest_granted > Instant(0);
        GrantReport { age: knows_grant.then(|| now.since(self.latest_granted)) }
    }
}
