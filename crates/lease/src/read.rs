//! The tail's read lease, gathered from the voters of its view.

use crate::prelude::*;

#[derive(Clone, Debug, Default)]
pub struct ReadLease {
    given: BTreeMap<NodeId, Instant>,
}

impl ReadLease {
    /// A voter agreed to an asking sent at `sent`.
    pub fn record_grant(&mut self, voter: NodeId, sent: Instant) {
        let given = self.given.entry(voter).or_default();
        *given = (*given).max(sent);
    }

    /// The end of the lease: as many voters as a majority agreed to askings at least this late.
    pub fn until(&self, voters: &[NodeId], majority: usize) -> Instant {
        let mut sent_instants: Vec<Instant> =
            voters.iter().filter_map(|voter| self.given.get(voter).copied()).collect();
        sent_instants.sort_by(|left, right| right.cmp(left));
        match majority.checked_sub(1).and_then(|place| sent_instants.get(place)) {
            Some(sent) => *sent + READ_LEASE,
            None => Instant(0),
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn the_read_lease_runs_from_the_majoritys_oldest_agreement() {
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
