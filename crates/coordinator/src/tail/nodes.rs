//! Messages of nodes' agents to the tail: lease renewals, acknowledgements, claims and demand reports.

use crate::prelude::*;

/// A lease request: the edition applied, and the node's router.
struct Renewal {
    sent: Instant,
    applied: Option<Edition>,
    incarnation: u64,
    router: Option<RouterAddress>,
}

impl TailRole {
    /// Renews a node's lease if it has applied the required edition.
    fn renew_lease(&mut self, node: NodeId, known_edition: Option<Edition>, now: Instant) -> bool {
        known_edition.is_some_and(|edition| self.leases.renew(node, edition, self.required_edition, now))
    }
}

impl Coordinator {
    /// Handles a node's message. A keeper that is not the acting tail answers with the view, which names the tail.
    pub(crate) fn handle_node(&mut self, node: NodeId, message: AgentToKeeper, now: Instant) {
        if !self.tail_is_active(now) {
            self.send_to_node(node, KeeperToAgent::Membership(self.view.clone()), None);
            return;
        }
        self.compare_listing();
        match message {
            AgentToKeeper::Submit { ticket, submission } => self.handle_claim(node, ticket, submission, now),
            AgentToKeeper::Applied { edition } => self.handle_applied(node, edition),
            AgentToKeeper::Demand(report) => self.handle_demand(node, report, now),
            AgentToKeeper::Renew { sent, applied, incarnation, router } => {
                self.handle_renewal(node, Renewal { sent, applied, incarnation, router }, now);
            }
        }
    }

    fn handle_applied(&mut self, node: NodeId, edition: Edition) {
        let last_edition = self.log.last().edition;
        if let Some(tail) = self.tail.as_mut() {
            tail.leases.note_applied(node, edition.min(last_edition));
        }
    }

    fn handle_demand(&mut self, node: NodeId, report: DemandReport, now: Instant) {
        if let Some(tail) = self.tail.as_mut() {
            tail.demand.insert(node, (report, now));
        }
    }

    /// Grants a lease if the listing is fresh and the node has applied the required edition.
    fn handle_renewal(&mut self, node: NodeId, renewal: Renewal, now: Instant) {
        let Renewal { sent, applied, incarnation, router } = renewal;
        let last_edition = self.log.last().edition;
        let known_edition = applied.filter(|edition| *edition <= last_edition);
        let core_is_fresh = self.listing_is_fresh(last_edition, now);
        let node_is_fresh = self.listing_is_fresh(applied.unwrap_or_default(), now);
        let span = self.settings.timing.node_lease;
        let since_restart = now.since(self.last_restart);
        let read_until = self.read_until();
        let Some(tail) = self.tail.as_mut() else { return };
        tail.record_push_state(node, incarnation, known_edition);
        let same_address = tail.routers.same_address(node, router.as_ref());
        tail.routers.set_router(node, router, now);
        let message = if !core_is_fresh {
            KeeperToAgent::NotNow
        } else if node_is_fresh && tail.renew_lease(node, known_edition, now) {
            same_address.into_iter().for_each(|earlier| tail.leases.remove(earlier));
            KeeperToAgent::Granted { sent, span, incarnation, since_restart }
        } else {
            KeeperToAgent::Behind
        };
        self.send_to_node(node, message, Some(read_until));
    }

    /// The demand reports of nodes that hold a lease.
    pub(crate) fn aged_demand_reports(&mut self, now: Instant) -> Vec<AgedDemandReport> {
        let Some(tail) = self.tail.as_mut() else { return Vec::new() };
        let leased = tail.leased_nodes();
        tail.demand.retain(|node, _| leased.contains(node));
        let reports = tail.demand.values();
        reports.map(|(report, at)| AgedDemandReport { report: report.clone(), age: now.since(*at) }).collect()
    }
}
