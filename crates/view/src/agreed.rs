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

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub fleet: FleetId,
    pub number: ViewNumber,
    /// Head first, tail last.
    pub chain: Vec<NodeId>,
    pub voters: Vec<NodeId>,
    pub members: Vec<Member>,
}

impl View {
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Every majority that decides a view must hold a member of the chain, and one lost disk must
    /// not lose a record.
    pub fn least_chain(&self) -> usize {
        (self.voters.len() + 1 - self.majority()).max(2)
    }

    pub fn takes_writes(&self) -> bool {
        self.chain.len() >= self.least_chain()
    }

    pub fn head(&self) -> Option<NodeId> {
        self.chain.first().copied()
    }

    pub fn tail(&self) -> Option<NodeId> {
        self.chain.last().copied()
    }

    pub fn before(&self, node: NodeId) -> Option<NodeId> {
        let place = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(place.checked_sub(1)?).copied()
    }

    pub fn after(&self, node: NodeId) -> Option<NodeId> {
        let place = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(place + 1).copied()
    }

    pub fn in_chain(&self, node: NodeId) -> bool {
        self.chain.contains(&node)
    }

    pub fn votes(&self, node: NodeId) -> bool {
        self.voters.contains(&node)
    }

    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == node)
    }
}
