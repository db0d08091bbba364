//! The tail's read lease, granted by the voters of its view.

use crate::prelude::*;

/// The latest grant of each voter.
#[derive(Clone, Debug, Default)]
pub struct ReadLease {
    /// When the request was sent that the voter granted last.
    granted: BTreeMap<NodeId, Instant>,
}

impl ReadLease {
    /// Records a voter's grant of a request that was sent at `sent`.
    pub fn record_grant(&mut self, voter: NodeId, sent: Instant) {
        let granted = self.granted.entry(voter).or_default();
        *granted = (*granted).max(sent);
    }

    /// The end of the lease, counted from the latest time such that a majority granted requests sent then or later.
    pub fn until(&self, voters: &[NodeId], majority: usize) -> Instant {
        let mut sent_instants: Vec<Instant> =
            voters.iter().filter_map(|voter| self.granted.get(voter).copied()).collect();
        sent_instants.sort_by(|left, right| right.cmp(left));
        match majority.checked_sub(1).and_then(|index| sent_instants.get(index)) {
            Some(sent) => *sent + READ_LEASE,
            None => Instant(0),
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn the_read_lease_runs_from_the_oldest_grant_of_the_majority() {
        let voters = [NodeId(1), NodeId(2), NodeId(3), NodeId(4)];
        let mut lease = ReadLease::default();
        lease.record_grant(NodeId(1), Instant(50));
        lease.record_grant(NodeId(2), Instant(40));
        lease.record_grant(NodeId(9), Instant(90));
        assert_eq!(lease.until(&voters, 3), Instant(0));
        lease.record_grant(NodeId(3), Instant(30));
        lease.record_grant(NodeId(3), Instant(20));
        assert_eq!(lease.until(&voters, 3), Instant(30) + READ_LEASE);
    }
}
