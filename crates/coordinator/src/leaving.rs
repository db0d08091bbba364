//! Graceful shutdown. A keeper that is told to stop hands over its duties and announces that it leaves. The next view
//! excludes it while it still responds, so the others need not wait for a failure timeout.

use crate::prelude::*;

/// Maximum time a stopping keeper waits for a view without it.
pub const LEAVE_TIMEOUT: Span = Span::millis(2500);
/// How long a stopping keeper that has left the chain keeps forwarding messages and answering operators.
pub const DRAIN_PERIOD: Span = Span::millis(300);

impl Coordinator {
    /// Stops performing duties at once, appoints a successor for each, and makes the others agree on a view without
    /// this keeper.
    pub(crate) fn retire(&mut self, now: Instant) {
        if !self.retired {
            self.retired = true;
            self.broadcast_status(now);
        }
        self.hand_over_all(now);
    }

    /// Whether this keeper is outside the chain, so that no further commit depends on it. Its vote may still be
    /// needed if its seat could not be removed or replaced.
    pub fn has_left(&self) -> bool {
        !self.has_view() || !self.view.in_chain(self.me.id)
    }

    /// Why a stopping keeper is still in the chain.
    pub fn leave_blocker(&self, now: Instant) -> &'static str {
        if self.alive_voters(now) < self.view.majority() {
            return "no majority of the voters is heard";
        }
        match self.chain_without_leavers(now) {
            Some(_) => "the next view is not agreed yet",
            None => "the chain without it would be too short",
        }
    }

    /// Whether a live keeper has announced that it leaves.
    pub(crate) fn is_leaving(&self, member: NodeId, now: Instant) -> bool {
        match member == self.me.id {
            true => self.retired,
            false => self.is_alive(member, now) && self.peer_status(member).is_some_and(|status| status.leaving),
        }
    }

    /// The live chain without leaving members, if it is long enough and enough of them hold everything committed.
    pub(crate) fn chain_without_leavers(&self, now: Instant) -> Option<Vec<NodeId>> {
        let stays = |member: &NodeId| self.is_alive(*member, now) && !self.is_leaving(*member, now);
        let staying: Vec<NodeId> = self.view.chain.iter().copied().filter(stays).collect();
        let is_long_enough = staying.len() >= self.view.min_chain_length();
        let holders = staying.iter().filter(|member| self.holds_all_committed(**member)).count();
        (is_long_enough && holders >= self.view.min_holders()).then_some(staying)
    }

    /// Whether the chain can do without a leaving member.
    pub(crate) fn can_release_leaver(&self, now: Instant) -> bool {
        let any_leaving = self.view.chain.iter().any(|member| self.is_leaving(*member, now));
        any_leaving && self.chain_without_leavers(now).is_some()
    }

    /// The membership change for a leaving voter. With an even number of voters its seat is removed, since one voter
    /// fewer tolerates as many failures; otherwise a spare takes the seat.
    pub(crate) fn change_for_leaver(&self, spare: Option<NodeId>, now: Instant) -> Option<MembershipChange> {
        let stays = self.chain_without_leavers(now)?;
        let leaver =
            self.view.voters.iter().copied().find(|voter| self.is_leaving(*voter, now) && !stays.contains(voter))?;
        if self.can_remove_voter() {
            return Some(MembershipChange::RemoveVoter(leaver));
        }
        // A failed voter is replaced first, because it does not return by itself.
        let all_live = self.alive_voters(now) == self.view.voters.len();
        spare.filter(|_| all_live).map(|spare| MembershipChange::Replace { dead: leaver, spare })
    }
}
