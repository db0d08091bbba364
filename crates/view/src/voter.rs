//! One voter's part in deciding the view after the present one. What it promises and accepts must be
//! on disk before its reply leaves.

use crate::prelude::*;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: NodeId,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterState {
    pub promised: Option<Ballot>,
    pub accepted: Option<(Ballot, View)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewMessage {
    Prepare {
        next: ViewNumber,
        ballot: Ballot,
    },
    /// `last` is where the voter's log ends; in the chain's view it grows no more.
    Promise {
        next: ViewNumber,
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
        last: LogPosition,
    },
    Accept {
        next: ViewNumber,
        ballot: Ballot,
        view: View,
    },
    Accepted {
        next: ViewNumber,
        ballot: Ballot,
    },
    Outbid {
        next: ViewNumber,
        promised: Ballot,
    },
    Decided(View),
}

impl VoterState {
    /// A sealed voter has promised for the next view.
    pub fn is_sealed(&self) -> bool {
        self.promised.is_some()
    }

    /// Answers what was accepted before, or the ballot this one is too low for.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<Option<(Ballot, View)>, Ballot> {
        if let Some(promised) = self.promised.filter(|promised| *promised > ballot) {
            return Err(promised);
        }
        self.promised = Some(ballot);
        Ok(self.accepted.clone())
    }

    pub fn accept(&mut self, ballot: Ballot, view: View) -> Result<(), Ballot> {
        if let Some(promised) = self.promised.filter(|promised| *promised > ballot) {
            return Err(promised);
        }
        self.promised = Some(ballot);
        self.accepted = Some((ballot, view));
        Ok(())
    }
}
