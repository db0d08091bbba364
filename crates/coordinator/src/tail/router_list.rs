//! The list of routers that hold leases, sent to every connected node.

use crate::prelude::*;

/// Stands for no list sent yet.
pub(crate) const NO_ROUTER_LIST: u64 = 0;
/// A changed list is sent once it has been stable for this long. Routers connect to a new tail one by one, and those
/// on a partial list would take over what the others read.
const SETTLE_PERIOD: Span = Span::millis(1000);
/// A list that keeps changing is sent after this time at the latest.
const MAX_DELAY: Span = Span::millis(3000);

/// The routers of connected nodes, and the list sent last.
#[derive(Clone, Debug)]
pub(crate) struct RouterList {
    by_node: BTreeMap<NodeId, RouterAddress>,
    sent: Vec<RouterAddress>,
    /// The number of the last list sent; it grows with each change.
    number: u64,
    /// The change not sent yet, if any.
    unsent: Option<UnsentChange>,
}

/// When the routers first and last changed since the last list was sent.
#[derive(Clone, Copy, Debug)]
struct UnsentChange {
    since: Instant,
    latest: Instant,
}

impl Default for RouterList {
    fn default() -> RouterList {
        RouterList { by_node: BTreeMap::new(), sent: Vec::new(), number: NO_ROUTER_LIST, unsent: None }
    }
}

impl RouterList {
    /// Sets or removes the router of a node.
    pub(crate) fn set_router(&mut self, node: NodeId, router: Option<RouterAddress>, now: Instant) {
        if self.by_node.get(&node) == router.as_ref() {
            return;
        }
        match router {
            Some(router) => self.by_node.insert(node, router),
            None => self.by_node.remove(&node),
        };
        self.record_change(now);
    }

    fn record_change(&mut self, now: Instant) {
        let since = self.unsent.map_or(now, |unsent| unsent.since);
        self.unsent = Some(UnsentChange { since, latest: now });
    }

    /// Other nodes whose router has the same address for callers: an earlier instance, which has ended, or the same
    /// router.
    pub(crate) fn same_address(&self, node: NodeId, router: Option<&RouterAddress>) -> Vec<NodeId> {
        let Some(router) = router.filter(|router| !router.address.is_empty()) else { return Vec::new() };
        let others = self.by_node.iter().filter(|(other, _)| **other != node);
        let same = others.filter(|(_, other_router)| other_router.address == router.address);
        same.map(|(other, _)| *other).collect()
    }

    /// Removes routers without a lease, and updates the list once the changes have settled.
    fn refresh(&mut self, leased: &BTreeSet<NodeId>, now: Instant) {
        let count = self.by_node.len();
        self.by_node.retain(|node, _| leased.contains(node));
        if self.by_node.len() != count {
            self.record_change(now);
        }
        let is_settled =
            |unsent: &UnsentChange| now.since(unsent.latest) >= SETTLE_PERIOD || now.since(unsent.since) >= MAX_DELAY;
        if !self.unsent.as_ref().is_some_and(is_settled) {
            return;
        }
        self.unsent = None;
        if !self.by_node.values().eq(self.sent.iter()) {
            self.sent = self.by_node.values().cloned().collect();
            self.number += 1;
        }
    }
}

impl Coordinator {
    /// Sends the list of routers to every connected node that does not have it.
    pub(crate) fn send_router_list(&mut self, now: Instant, read_until: Instant) {
        let Some(tail) = self.tail.as_mut() else { return };
        let leased = tail.leased_nodes();
        tail.routers.refresh(&leased, now);
        let number = tail.routers.number;
        for (node, place) in tail.pushed.iter_mut().filter(|(_, place)| place.routers != number) {
            place.routers = number;
            let message = KeeperToAgent::Routers(tail.routers.sent.clone());
            self.effects.push(Effect::SendToNode { node: *node, message, until: Some(read_until) });
        }
    }
}
