//! The tail's table of node leases. It is held in memory only: a new tail starts with an empty table, fills it from
//! the nodes' renewals, and counts no further change as in force until every lease that earlier tails may have
//! granted has expired or is short of the slack.

use crate::prelude::*;

/// A node's lease as granted, and the edition it has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeEntry {
    pub until: Instant,
    pub applied: Edition,
}

/// All granted node leases, and the edition that is in force at every leased node.
#[derive(Clone, Debug, Default)]
pub struct NodeLeases {
    timing: Timing,
    nodes: BTreeMap<NodeId, NodeEntry>,
    in_force: Edition,
    embargo_until: Instant,
}

impl NodeLeases {
    /// Like [`NodeLeases::with_timing`], with the default timing.
    pub fn new(committed: Edition, now: Instant) -> NodeLeases {
        NodeLeases::with_timing(Timing::DEFAULT, committed, now)
    }

    /// The table of a tail that starts at `now`; everything up to `committed` may have been acknowledged before.
    pub fn with_timing(timing: Timing, committed: Edition, now: Instant) -> NodeLeases {
        NodeLeases { timing, nodes: BTreeMap::new(), in_force: committed, embargo_until: now + timing.embargo() }
    }

    /// Records the edition a node has applied, without renewing its lease.
    pub fn note_applied(&mut self, node: NodeId, applied: Edition) {
        if let Some(entry) = self.nodes.get_mut(&node) {
            entry.applied = entry.applied.max(applied);
        }
    }

    /// Handles a renewal and returns whether it is granted. `due` is the edition every node should have applied by
    /// now.
    pub fn renew(&mut self, node: NodeId, applied: Edition, due: Edition, now: Instant) -> bool {
        self.note_applied(node, applied);
        if applied < self.in_force.max(due) {
            return false;
        }
        self.nodes.insert(node, NodeEntry { until: now + self.timing.node_lease + LEASE_MARGIN, applied });
        true
    }

    /// Removes a node that is known to start no further requests.
    pub fn remove(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    /// Advances the edition in force as far as the leased nodes have applied it, and returns it. Nodes whose
    /// remaining lease is within the revocation slack are not waited for.
    pub fn advance_in_force(&mut self, committed: Edition, now: Instant) -> Edition {
        self.nodes.retain(|_, entry| now < entry.until);
        if now >= self.embargo_until {
            let slack_until = now + self.timing.revoke_slack;
            let binding_entries = self.nodes.values().filter(|entry| slack_until < entry.until);
            let applied_by_all = binding_entries.map(|entry| entry.applied).min().unwrap_or(committed);
            self.in_force = self.in_force.max(applied_by_all.min(committed));
        }
        self.in_force
    }

    /// Leased nodes that have not applied the edition in force, because they were silent for too long.
    pub fn nodes_behind(&self) -> Vec<NodeId> {
        let behind = self.nodes.iter().filter(|(_, entry)| entry.applied < self.in_force);
        behind.map(|(node, _)| *node).collect()
    }

    /// Whether this tail may acknowledge changes yet.
    pub fn may_acknowledge(&self, now: Instant) -> bool {
        now >= self.embargo_until
    }

    /// The edition in force at every leased node.
    pub fn in_force(&self) -> Edition {
        self.in_force
    }

    /// The leased nodes.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeId, &NodeEntry)> {
        self.nodes.iter()
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn a_change_is_in_force_once_applied_or_the_lease_has_expired() {
        let after_embargo = Instant(0) + NODE_LEASE + LEASE_MARGIN;
        let mut leases = NodeLeases::new(Edition(5), Instant(0));
        assert!(
            !leases.renew(NodeId(1), Edition(4), Edition(0), Instant(1)),
            "older than what may have been acknowledged"
        );
        assert!(leases.renew(NodeId(1), Edition(5), Edition(0), Instant(1)));
        assert_eq!(leases.advance_in_force(Edition(7), Instant(2)), Edition(5), "embargo");
        assert!(leases.renew(NodeId(1), Edition(5), Edition(0), after_embargo));
        assert!(leases.renew(NodeId(2), Edition(7), Edition(0), after_embargo));
        assert_eq!(leases.advance_in_force(Edition(7), after_embargo), Edition(5));
        leases.note_applied(NodeId(1), Edition(6));
        assert_eq!(leases.advance_in_force(Edition(7), after_embargo), Edition(6));
        assert!(!leases.renew(NodeId(1), Edition(6), Edition(7), after_embargo), "lags too long");
        let run_out = after_embargo + NODE_LEASE + LEASE_MARGIN;
        assert!(leases.renew(NodeId(2), Edition(7), Edition(7), run_out));
        assert_eq!(leases.advance_in_force(Edition(7), run_out), Edition(7));
        assert!(!leases.renew(NodeId(1), Edition(6), Edition(0), run_out), "older than what is in force");
    }
}
