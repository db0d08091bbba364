//! What nodes' agents say to the tail: renewals of leases, counted acknowledgements, claims and demand.

use crate::prelude::*;

/// A node asks for its lease: what it has applied, and the router behind it.
struct Renewal {
    sent: Instant,
    applied: Option<Edition>,
    life: u64,
    router: Option<RouterAddress>,
}

impl TailRole {
    /// Renews a node's lease, unless it lags behind what is due.
    fn renew_lease(&mut self, node: NodeId, known_edition: Option<Edition>, now: Instant) -> bool {
        known_edition.is_some_and(|edition| self.leases.renew(node, edition, self.due, now))
    }
}

impl Coordinator {
    /// A node's message; one that comes to a keeper which is not the acting tail is told who that is.
    pub(crate) fn hear_node(&mut self, node: NodeId, message: NodeUp, now: Instant) {
        if !self.tail_is_active(now) {
            self.tell(node, NodeDown::Membership(self.view.clone()), None);
            return;
        }
        self.compare_listing();
        match message {
            NodeUp::Submit { ticket, submission } => self.hear_claim(node, ticket, submission, now),
            NodeUp::Applied { edition } => self.hear_applied(node, edition),
            NodeUp::Demand(report) => self.hear_demand(node, report, now),
            NodeUp::Renew { sent, applied, life, router } => {
                self.hear_renewal(node, Renewal { sent, applied, life, router }, now);
            }
        }
    }

    fn hear_applied(&mut self, node: NodeId, edition: Edition) {
        let last_edition = self.log.last().edition;
        if let Some(tail) = self.tail.as_mut() {
            tail.leases.note_applied(node, edition.min(last_edition));
        }
    }

    fn hear_demand(&mut self, node: NodeId, report: DemandReport, now: Instant) {
        if let Some(tail) = self.tail.as_mut() {
            tail.demand.insert(node, (report, now));
        }
    }

    /// Grants a lease on a fresh listing alone, to a node that has applied what is due.
    fn hear_renewal(&mut self, node: NodeId, renewal: Renewal, now: Instant) {
        let Renewal { sent, applied, life, router } = renewal;
        let last_edition = self.log.last().edition;
        let known_edition = applied.filter(|edition| *edition <= last_edition);
        let core_is_fresh = self.listing_is_fresh(last_edition, now);
        let node_is_fresh = self.listing_is_fresh(applied.unwrap_or_default(), now);
        let span = self.wishes.timing.node_lease;
        let undisturbed = now.since(self.last_disturbance(now));
        let read_until = self.read_until();
        let Some(tail) = self.tail.as_mut() else { return };
        tail.note_place(node, life, known_edition);
        let same_address = tail.routers.same_address(node, router.as_ref());
        tail.routers.note(node, router, now);
        let message = if !core_is_fresh {
            NodeDown::NotNow
        } else if node_is_fresh && tail.renew_lease(node, known_edition, now) {
            same_address.into_iter().for_each(|earlier| tail.leases.remove(earlier));
            NodeDown::Granted { sent, span, life, undisturbed }
        } else {
            NodeDown::Behind
        };
        self.tell(node, message, Some(read_until));
    }

    /// What nodes with a lease told of the requests on adapters.
    pub(crate) fn heard_demand(&mut self, now: Instant) -> Vec<HeardDemand> {
        let Some(tail) = self.tail.as_mut() else { return Vec::new() };
        let leased = tail.leased_nodes();
        tail.demand.retain(|node, _| leased.contains(node));
        let told = tail.demand.values();
        told.map(|(report, at)| HeardDemand { report: report.clone(), age: now.since(*at) }).collect()
    }

    /// When a core machine was last seen to come or go: this one's own start, a peer's return, or the last
    /// word of one that is silent.
    pub fn last_disturbance(&self, now: Instant) -> Instant {
        let of_peers = self.peers.iter().map(|(node, peer)| {
            let is_silent = !self.is_alive(*node, now);
            if is_silent { peer.last_heard } else { peer.heard_since }
        });
        of_peers.max().unwrap_or_default().max(self.began)
    }
}
