//! A proposer's attempt, under one ballot, to have the next view decided.

use crate::prelude::*;

/// The promises and acceptances gathered for one ballot.
#[derive(Clone, Debug)]
pub struct Campaign {
    pub next: ViewNumber,
    pub ballot: Ballot,
    pub started: Instant,
    promises: BTreeMap<NodeId, Promise>,
    acceptances: BTreeSet<NodeId>,
    proposal: Option<View>,
}

/// A voter's promise: the proposal it accepted before, if any, and the end of its log.
#[derive(Clone, Debug)]
struct Promise {
    accepted: Option<(Ballot, View)>,
    last: LogPosition,
}

impl Campaign {
    /// Starts an attempt to decide view `next`.
    pub fn new(next: ViewNumber, ballot: Ballot, started: Instant) -> Campaign {
        Campaign { next, ballot, started, promises: BTreeMap::new(), acceptances: BTreeSet::new(), proposal: None }
    }

    /// The voters that have promised, with the ends of their logs.
    pub fn promised(&self) -> BTreeMap<NodeId, LogPosition> {
        self.promises.iter().map(|(voter, promise)| (*voter, promise.last)).collect()
    }

    /// Records a promise. Returns whether a majority has promised and nothing has been proposed yet.
    pub fn record_promise(
        &mut self,
        present: &View,
        voter: NodeId,
        accepted: Option<(Ballot, View)>,
        last: LogPosition,
    ) -> bool {
        if present.is_voter(voter) {
            self.promises.insert(voter, Promise { accepted, last });
        }
        self.proposal.is_none() && self.promises.len() >= present.majority()
    }

    /// Of the views already accepted by voters, the one with the highest ballot. It may have been decided, so it must
    /// be proposed again.
    pub fn highest_accepted_view(&self) -> Option<View> {
        self.promises
            .values()
            .filter_map(|promise| promise.accepted.as_ref())
            .max_by_key(|(ballot, _)| *ballot)
            .map(|(_, accepted_view)| accepted_view.clone())
    }

    /// Sets the view to propose.
    pub fn propose(&mut self, view: View) {
        self.proposal = Some(view);
    }

    /// Records an acceptance. Returns the decided view once a majority has accepted the proposal.
    pub fn record_acceptance(&mut self, present: &View, voter: NodeId) -> Option<View> {
        if present.is_voter(voter) {
            self.acceptances.insert(voter);
        }
        if self.acceptances.len() < present.majority() {
            return None;
        }
        self.proposal.clone()
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn an_accepted_view_binds_later_proposers() {
        let voters = vec![NodeId(1), NodeId(2), NodeId(3), NodeId(4)];
        let present = View { voters: voters.clone(), chain: voters.clone(), ..View::default() };
        assert_eq!((present.majority(), present.min_chain_length()), (3, 2));
        let mut voter_states = vec![VoterState::default(); 4];
        let low_ballot = Ballot { round: 1, proposer: NodeId(1) };
        let first_view = View { number: ViewNumber(1), ..present.clone() };
        let mut first_campaign = Campaign::new(ViewNumber(1), low_ballot, Instant(0));
        for index in 0..3 {
            let accepted = voter_states[index].prepare(low_ballot).unwrap();
            assert_eq!(
                first_campaign.record_promise(&present, voters[index], accepted, LogPosition::default()),
                index == 2
            );
        }
        first_campaign.propose(first_view.clone());
        voter_states[2].accept(low_ballot, first_view.clone()).unwrap();
        let high_ballot = Ballot { round: 2, proposer: NodeId(4) };
        let mut second_campaign = Campaign::new(ViewNumber(1), high_ballot, Instant(0));
        for index in 1..4 {
            let accepted = voter_states[index].prepare(high_ballot).unwrap();
            second_campaign.record_promise(&present, voters[index], accepted, LogPosition::default());
        }
        assert_eq!(second_campaign.highest_accepted_view(), Some(first_view));
        assert_eq!(voter_states[2].accept(low_ballot, View::default()), Err(high_ballot));
        assert_eq!(second_campaign.record_acceptance(&present, NodeId(9)), None);
    }
}
