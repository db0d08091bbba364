//! A membership view and the properties that follow from it.

use crate::prelude::*;

/// The addresses of a core machine: `address` for the other processes, `door` for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: NodeId,
    pub address: String,
    pub door: String,
    pub zone: Zone,
}

/// The configuration of the core between two reconfigurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub fleet: FleetId,
    pub number: ViewNumber,
    /// The replication chain, from head to tail.
    pub chain: Vec<NodeId>,
    pub voters: Vec<NodeId>,
    pub members: Vec<Member>,
    /// The chains of the preceding views, latest first.
    pub lineage: Vec<(ViewNumber, Vec<NodeId>)>,
    /// The members known to the proposer to hold everything committed before this view.
    #[serde(default)]
    pub holders: Vec<NodeId>,
    /// How many machines may be lost together with their disks at the same time. Fixed when the fleet is created.
    #[serde(default = "usual_tolerance")]
    pub tolerance: u64,
}

const fn usual_tolerance() -> u64 {
    1
}

impl Default for View {
    fn default() -> Self {
        View {
            fleet: FleetId::default(),
            number: ViewNumber::default(),
            chain: Vec::new(),
            voters: Vec::new(),
            members: Vec::new(),
            lineage: Vec::new(),
            holders: Vec::new(),
            tolerance: usual_tolerance(),
        }
    }
}

/// The number of preceding chains that a view records.
const MAX_LINEAGE: usize = 8;

impl View {
    /// The number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The shortest chain that may take writes. Every majority that decides a view must include a member of the
    /// chain, and the tolerated number of lost disks must not lose a record.
    pub fn min_chain_length(&self) -> usize {
        (self.voters.len() + 1 - self.majority()).max(self.tolerance as usize + 1)
    }

    /// How many members of the next chain must be known to hold everything committed: one more than the tolerated
    /// number of lost disks, or all members if the current chain is shorter than that.
    pub fn min_holders(&self) -> usize {
        (self.tolerance as usize + 1).min(self.chain.len())
    }

    /// Whether the chain is long enough to take writes.
    pub fn accepts_writes(&self) -> bool {
        self.chain.len() >= self.min_chain_length()
    }

    /// The lineage to record in the next view.
    pub fn next_lineage(&self) -> Vec<(ViewNumber, Vec<NodeId>)> {
        let own_chain = (self.number, self.chain.clone());
        std::iter::once(own_chain).chain(self.lineage.iter().cloned()).take(MAX_LINEAGE).collect()
    }

    /// Whether a node was in the chain of every view from `first` up to the one before this. False if the lineage
    /// does not reach back that far.
    pub fn was_always_in_chain(&self, node: NodeId, first: ViewNumber) -> bool {
        (first.0..self.number.0)
            .all(|number| self.lineage.iter().any(|(view, chain)| view.0 == number && chain.contains(&node)))
    }

    /// The first member of the chain, which numbers records.
    pub fn head(&self) -> Option<NodeId> {
        self.chain.first().copied()
    }

    /// The last member of the chain, which commits records.
    pub fn tail(&self) -> Option<NodeId> {
        self.chain.last().copied()
    }

    /// The member before `node` in the chain.
    pub fn predecessor(&self, node: NodeId) -> Option<NodeId> {
        let index = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(index.checked_sub(1)?).copied()
    }

    /// The member after `node` in the chain.
    pub fn successor(&self, node: NodeId) -> Option<NodeId> {
        let index = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(index + 1).copied()
    }

    /// Whether `node` is in the chain.
    pub fn in_chain(&self, node: NodeId) -> bool {
        self.chain.contains(&node)
    }

    /// Whether `node` votes on the next view.
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.contains(&node)
    }

    /// The addresses of `node`.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == node)
    }
}
