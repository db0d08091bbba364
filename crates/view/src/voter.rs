//! The voter's (acceptor's) part in deciding the next view. Promises and acceptances must be durable before the reply
//! is sent.

use crate::prelude::*;

/// A ballot number, ordered by round and then by proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: NodeId,
}

/// A voter's durable state for the decision on the next view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterState {
    pub promised: Option<Ballot>,
    pub accepted: Option<(Ballot, View)>,
}

/// Messages between proposers and voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewMessage {
    Prepare {
        next: ViewNumber,
        ballot: Ballot,
    },
    /// `last` is the end of the voter's log, which no longer grows in the current view.
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
    /// Rejects a ballot because a higher one was promised.
    Outbid {
        next: ViewNumber,
        promised: Ballot,
    },
    Decided(View),
}

impl VoterState {
    /// Whether the voter has promised for the next view, which seals its log in the current one.
    pub fn is_sealed(&self) -> bool {
        self.promised.is_some()
    }

    /// Promises to ignore lower ballots. Returns the proposal accepted before, if any, or the higher ballot already
    /// promised as the error.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<Option<(Ballot, View)>, Ballot> {
        if let Some(promised) = self.promised.filter(|promised| *promised > ballot) {
            return Err(promised);
        }
        self.promised = Some(ballot);
        Ok(self.accepted.clone())
    }

    /// Accepts a proposal, unless a higher ballot was promised; then that ballot is returned as the error.
    pub fn accept(&mut self, ballot: Ballot, view: View) -> Result<(), Ballot> {
        if let Some(promised) = self.promised.filter(|promised| *promised > ballot) {
            return Err(promised);
        }
        self.promised = Some(ballot);
        self.accepted = Some((ballot, view));
        Ok(())
    }
}
