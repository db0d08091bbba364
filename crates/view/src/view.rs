//! A view, and what can be read off it.

use crate::prelude::*;

/// How a core machine is reached: by the other processes, and by operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: NodeId,
    pub address: String,
    pub door: String,
    pub zone: Zone,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub fleet: FleetId,
    pub number: ViewNumber,
    /// Head first, tail last.
    pub chain: Vec<NodeId>,
    pub voters: Vec<NodeId>,
    pub members: Vec<Member>,
    /// The chains of the views before this one, latest first.
    pub lineage: Vec<(ViewNumber, Vec<NodeId>)>,
    /// The members that hold all that was committed before this view, as its proposer knew them.
    #[serde(default)]
    pub holders: Vec<NodeId>,
    /// How many machines may be lost with their disks at the same time; set at the founding.
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

const KEPT_LINEAGE: usize = 8;

impl View {
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Every majority that decides a view must hold a member of the chain, and as many lost disks as are
    /// tolerated must not lose a record.
    pub fn min_chain_length(&self) -> usize {
        (self.voters.len() + 1 - self.majority()).max(self.tolerance as usize + 1)
    }

    /// How many members of the next chain must surely hold all that was committed: as many disks as may be lost, and
    /// one more. A chain that never had so many cannot be asked for them.
    pub fn min_holders(&self) -> usize {
        (self.tolerance as usize + 1).min(self.chain.len())
    }

    pub fn accepts_writes(&self) -> bool {
        self.chain.len() >= self.min_chain_length()
    }

    /// The lineage that the next view carries.
    pub fn next_lineage(&self) -> Vec<(ViewNumber, Vec<NodeId>)> {
        let own_chain = (self.number, self.chain.clone());
        std::iter::once(own_chain).chain(self.lineage.iter().cloned()).take(KEPT_LINEAGE).collect()
    }

    /// Whether a node stood in the chain of every view from `first` up to the one before this.
    pub fn was_always_in_chain(&self, node: NodeId, first: ViewNumber) -> bool {
        (first.0..self.number.0)
            .all(|number| self.lineage.iter().any(|(view, chain)| view.0 == number && chain.contains(&node)))
    }

    pub fn head(&self) -> Option<NodeId> {
        self.chain.first().copied()
    }

    pub fn tail(&self) -> Option<NodeId> {
        self.chain.last().copied()
    }

    pub fn predecessor(&self, node: NodeId) -> Option<NodeId> {
        let place = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(place.checked_sub(1)?).copied()
    }

    pub fn successor(&self, node: NodeId) -> Option<NodeId> {
        let place = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(place + 1).copied()
    }

    pub fn in_chain(&self, node: NodeId) -> bool {
        self.chain.contains(&node)
    }

    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.contains(&node)
    }

    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == node)
    }
}
