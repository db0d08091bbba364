//! The list of routers that hold leases, told to every linked node.

use crate::prelude::*;

/// The number of no list of routers that was ever told.
pub(crate) const NO_ROUTER_LIST: u64 = 0;
/// A list that changed goes out once nothing more came for so long: a tail that begins hears of its routers one
/// by one, and those of a list that is not whole yet would take over what the others read.
const SETTLE_PERIOD: Span = Span::millis(1000);
/// A list that goes on changing goes out after so long all the same.
const MAX_DELAY: Span = Span::millis(3000);

/// The routers behind linked nodes, and the list of them as it was told last.
#[derive(Clone, Debug)]
pub(crate) struct RouterList {
    by_node: BTreeMap<NodeId, RouterAddress>,
    told: Vec<RouterAddress>,
    /// The number of the list told last; it grows with each change.
    number: u64,
    /// The change that was not told yet, if there is one.
    unsent: Option<UnsentChange>,
}

/// Since when the routers differ from the list told last, and when they last changed.
#[derive(Clone, Copy, Debug)]
struct UnsentChange {
    since: Instant,
    latest: Instant,
}

impl Default for RouterList {
    fn default() -> RouterList {
        RouterList { by_node: BTreeMap::new(), told: Vec::new(), number: NO_ROUTER_LIST, unsent: None }
    }
}

impl RouterList {
    /// Notes the router behind a node, or that there is none.
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

    /// Other nodes with the same callers' address: what they were has ended, or is the same router.
    pub(crate) fn same_address(&self, node: NodeId, router: Option<&RouterAddress>) -> Vec<NodeId> {
        let Some(router) = router.filter(|router| !router.address.is_empty()) else { return Vec::new() };
        let others = self.by_node.iter().filter(|(other, _)| **other != node);
        let same = others.filter(|(_, other_router)| other_router.address == router.address);
        same.map(|(other, _)| *other).collect()
    }

    /// Drops the routers without a lease, and makes of the others the next list once they have settled.
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
        if !self.by_node.values().eq(self.told.iter()) {
            self.told = self.by_node.values().cloned().collect();
            self.number += 1;
        }
    }
}

impl Coordinator {
    /// Tells every linked node which routers serve, if it was not told this list.
    pub(crate) fn send_router_list(&mut self, now: Instant, read_until: Instant) {
        let Some(tail) = self.tail.as_mut() else { return };
        let leased = tail.leased_nodes();
        tail.routers.refresh(&leased, now);
        let number = tail.routers.number;
        for (node, place) in tail.pushed.iter_mut().filter(|(_, place)| place.routers != number) {
            place.routers = number;
            let message = KeeperToAgent::Routers(tail.routers.told.clone());
            self.effects.push(Effect::SendToNode { node: *node, message, until: Some(read_until) });
        }
    }
}
