//! Leaving in good order. A keeper that is told to stop hands its duties over and says that it leaves; the next
//! view does without it while it still answers, so that nobody has to wait until it is missed.

use crate::prelude::*;

/// How long a stopping keeper waits at the most until the others have agreed to do without it.
pub const LEAVING_LIMIT: Span = Span::millis(2500);
/// How long a stopping keeper that has left still passes things on, and its operators are answered.
pub const PARTING_SPAN: Span = Span::millis(300);

impl Coordinator {
    /// Stops acting on duties at once, names a successor for each, and has the others agree on a view without
    /// this keeper.
    pub(crate) fn retire(&mut self, now: Instant) {
        if !self.retired {
            self.retired = true;
            self.tell_news(now);
        }
        self.hand_over_all(now);
    }

    /// Whether the chain does without this keeper: nothing that is committed from now on needs it. Its vote may
    /// still be asked for where its seat could not be spared.
    pub fn has_left(&self) -> bool {
        !self.has_view() || !self.view.in_chain(self.me.id)
    }

    /// Why a keeper that is to stop still stands in the chain.
    pub fn reason_to_stay(&self, now: Instant) -> &'static str {
        if self.alive_voters(now) < self.view.majority() {
            return "no majority of the voters is heard";
        }
        match self.chain_without_leavers(now) {
            Some(_) => "the next view is not agreed yet",
            None => "the chain without it would be too short",
        }
    }

    /// Whether a keeper said that it leaves, and is still there.
    pub(crate) fn is_leaving(&self, member: NodeId, now: Instant) -> bool {
        match member == self.me.id {
            true => self.retired,
            false => self.is_alive(member, now) && self.peer_news(member).is_some_and(|news| news.leaving),
        }
    }

    /// The living chain without those that leave, if it is long enough and begins with all that was committed.
    pub(crate) fn chain_without_leavers(&self, now: Instant) -> Option<Vec<NodeId>> {
        let stays = |member: &NodeId| self.is_alive(*member, now) && !self.is_leaving(*member, now);
        let staying: Vec<NodeId> = self.view.chain.iter().copied().filter(stays).collect();
        let is_long_enough = staying.len() >= self.view.min_chain_length();
        let holders = staying.iter().filter(|member| self.holds_all_committed(**member)).count();
        (is_long_enough && holders >= self.view.min_holders()).then_some(staying)
    }

    /// Whether a chain member leaves that the chain can do without.
    pub(crate) fn may_let_go(&self, now: Instant) -> bool {
        let somebody_leaves = self.view.chain.iter().any(|member| self.is_leaving(*member, now));
        somebody_leaves && self.chain_without_leavers(now).is_some()
    }

    /// What becomes of a leaver's seat: of an even number of voters it is given up, since one fewer bear as many
    /// losses; else a spare takes it.
    pub(crate) fn seat_of_leaver(&self, spare: Option<NodeId>, now: Instant) -> Option<Growth> {
        let stays = self.chain_without_leavers(now)?;
        let leaver =
            self.view.voters.iter().copied().find(|voter| self.is_leaving(*voter, now) && !stays.contains(voter))?;
        if self.can_spare_a_seat() {
            return Some(Growth::GiveUp(leaver));
        }
        // The seat of one that is lost comes first: it will not come back by itself.
        let all_live = self.alive_voters(now) == self.view.voters.len();
        spare.filter(|_| all_live).map(|spare| Growth::Replace { dead: leaver, spare })
    }
}
