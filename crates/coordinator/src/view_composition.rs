//! What the next view is made of: who of the chain stays, who joins, whose seat is given up; and that as many
//! disks as must be able to be lost, and one more, keep what was committed.

use crate::prelude::*;

const STABLE_PERIOD: Span = Span::millis(1000);
/// A seat that stays empty is given up after so many times the span after which a spare may take it.
const REMOVE_VOTER_FACTOR: u64 = 4;
/// A core that has fewer voters takes newcomers quickly, whatever size it may grow to.
const SMALL_CORE_VOTERS: usize = 4;
const MAX_JOIN_LAG: u64 = 64;

/// A change of the view that nothing forces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MembershipChange {
    /// A voter that is back, or a spare, into the chain.
    Join(NodeId),
    /// A spare in the seat of a voter that stays dead.
    Replace { dead: NodeId, spare: NodeId },
    /// The seat of a voter that stays dead is given up.
    RemoveVoter(NodeId),
}

impl Coordinator {
    /// The next view: the living members of the chain in their old order, begun by one that surely
    /// holds all that was committed, and at most one newcomer. `promised` are the voters that take no more part in
    /// the present view, and where their logs end.
    pub(crate) fn compose(&self, next: ViewNumber, promised: &BTreeMap<NodeId, Mark>, now: Instant) -> Option<View> {
        let (mut chain, membership_change) = self.next_chain(promised, now)?;
        let mut voters = self.view.voters.clone();
        match membership_change {
            Some(MembershipChange::Join(newcomer)) => {
                insert_before_tail(&mut chain, newcomer);
                if !voters.contains(&newcomer) {
                    voters.push(newcomer);
                }
            }
            Some(MembershipChange::Replace { dead, spare }) if !chain.contains(&dead) => {
                voters.retain(|voter| *voter != dead);
                voters.push(spare);
                insert_before_tail(&mut chain, spare);
            }
            Some(MembershipChange::RemoveVoter(dead)) if !chain.contains(&dead) => {
                voters.retain(|voter| *voter != dead)
            }
            _ => {}
        }
        let members = voters
            .iter()
            .filter_map(|voter| self.known_members.get(voter).or_else(|| self.view.member(*voter)).cloned())
            .collect();
        let holders = chain.iter().copied().filter(|member| self.has_complete_log(*member, promised)).collect();
        Some(View {
            fleet: self.view.fleet,
            number: next,
            chain,
            voters,
            members,
            lineage: self.view.next_lineage(),
            holders,
            tolerance: self.view.tolerance,
        })
    }

    /// The chain of the next view before its newcomer, and what else changes. The first of these that keeps
    /// enough copies of what was committed: without members that leave or do not do their part, without those
    /// that do not do their part, without the dead alone.
    fn next_chain(
        &self,
        promised: &BTreeMap<NodeId, Mark>,
        now: Instant,
    ) -> Option<(Vec<NodeId>, Option<MembershipChange>)> {
        let membership_change = self.membership_change(now);
        let living: Vec<NodeId> = self
            .view
            .chain
            .iter()
            .copied()
            .filter(|member| {
                let others_hear = !self.is_neighbour(*member) && self.is_heard_by_majority(*member, now);
                promised.contains_key(member) || self.is_alive(*member, now) || others_hear
            })
            .collect();
        let is_long_enough = |chain: &Vec<NodeId>| chain.len() >= self.view.least_chain();
        let without = |chain: &[NodeId], gone: &dyn Fn(NodeId) -> bool| -> Vec<NodeId> {
            chain.iter().copied().filter(|member| !gone(*member)).collect()
        };
        let well = Some(without(&living, &|member| self.is_unhealthy(member, now))).filter(is_long_enough);
        let remaining = well.as_deref().unwrap_or(&living);
        let staying = Some(without(remaining, &|member| self.is_leaving(member, now)))
            .filter(|chain| self.can_release_leaver(now) && is_long_enough(chain));
        let candidates = [staying, well.clone(), Some(living.clone())];
        let chain = candidates
            .into_iter()
            .flatten()
            .find_map(|chain| self.with_enough_copies(chain, membership_change, promised))?;
        Some((chain, membership_change))
    }

    /// A chain that begins with a member that holds all that was committed, if enough of its members do. Besides its
    /// own, a voter counts that is to join it and has the same log.
    fn with_enough_copies(
        &self,
        chain: Vec<NodeId>,
        membership_change: Option<MembershipChange>,
        promised: &BTreeMap<NodeId, Mark>,
    ) -> Option<Vec<NodeId>> {
        let first_complete = chain.iter().copied().find(|member| self.holds_all_committed(*member))?;
        let newcomer = match membership_change {
            Some(MembershipChange::Join(newcomer)) if !chain.contains(&newcomer) => Some(newcomer),
            _ => None,
        };
        let copies = chain.iter().copied().chain(newcomer).filter(|member| self.has_complete_log(*member, promised));
        if copies.count() < self.view.least_holders() {
            return None;
        }
        let others = chain.into_iter().filter(|member| *member != first_complete);
        Some(std::iter::once(first_complete).chain(others).collect())
    }

    /// Whether the chain could be mended now, as far as keepers' news tell: a vote that comes to nothing would
    /// only hold everybody up.
    pub(crate) fn can_compose(&self, now: Instant) -> bool {
        let voters = self.view.voters.iter().copied().filter(|voter| self.is_alive(*voter, now));
        let expected = voters.filter_map(|voter| Some((voter, self.log_end(voter)?))).collect();
        self.compose(self.view.number.next(), &expected, now).is_some()
    }

    /// Where a keeper's log ended when it was last heard.
    fn log_end(&self, keeper: NodeId) -> Option<Mark> {
        match keeper == self.me.id {
            true => Some(self.log.last()),
            false => self.peer_status(keeper).map(|status| status.last),
        }
    }

    /// Whether a chain member holds all that was committed, by its own word: it stood in the chain of every view
    /// since it was level. Of a keeper outside the chain that word tells nothing of the present view.
    pub(crate) fn holds_all_committed(&self, member: NodeId) -> bool {
        let complete_view = match member == self.me.id {
            true => Some(self.complete_view),
            false => self.peer_status(member).map(|status| status.complete_view),
        };
        self.view.in_chain(member) && complete_view == Some(self.view.number)
    }

    /// Whether a member holds all that was committed: it stood in the chain all the time, or it has promised and its
    /// log ends where that of such a member does, which takes no more part in the present view.
    fn has_complete_log(&self, member: NodeId, promised: &BTreeMap<NodeId, Mark>) -> bool {
        let Some(own_end) = promised.get(&member) else { return self.holds_all_committed(member) };
        let same_log_end = |(other, end): (&NodeId, &Mark)| {
            end == own_end && self.view.in_chain(*other) && self.holds_all_committed(*other)
        };
        self.holds_all_committed(member) || promised.iter().any(same_log_end)
    }

    /// A core still below its size takes newcomers quickly, and so does a chain that is too short to serve.
    pub(crate) fn stability_period(&self) -> Span {
        let is_small = self.view.voters.len() < self.settings.core_size.min(SMALL_CORE_VOTERS);
        if is_small || !self.view.takes_writes() { HEARTBEAT_INTERVAL } else { STABLE_PERIOD }
    }

    /// What the steady core would gladly change, one seat at a time.
    pub(crate) fn membership_change(&self, now: Instant) -> Option<MembershipChange> {
        let may_join = |node: NodeId| {
            let Some(peer) = self.peers.get(&node) else { return false };
            let Some(status) = &peer.status else { return false };
            self.is_alive(node, now)
                && self.has_mutual_links(node, status, now)
                && !self.is_unhealthy(node, now)
                && !status.leaving
                && now.since(peer.heard_since) >= self.stability_period()
                && status.view == self.view.number
                && status.last.edition.0 + MAX_JOIN_LAG >= self.log.last().edition.0
        };
        let spare = self.peers.keys().copied().find(|peer| !self.view.votes(*peer) && may_join(*peer));
        if let Some(change) = self.change_for_leaver(spare, now) {
            return Some(change);
        }
        let absent_voter =
            self.view.voters.iter().copied().find(|voter| !self.view.in_chain(*voter) && may_join(*voter));
        if let Some(voter) = absent_voter {
            return Some(MembershipChange::Join(voter));
        }
        let Some(spare) = spare else { return self.vacant_seat_removal(now) };
        let has_room = self.view.voters.len() < self.settings.core_size;
        let all_live = self.alive_voters(now) == self.view.voters.len();
        if has_room && (all_live || !self.settings.automatic_size) {
            return Some(MembershipChange::Join(spare));
        }
        let replace_after = self.settings.timing.replace_after;
        let is_lost = |voter: &NodeId| {
            let silence = self.silence(*voter, now);
            let came_back_empty = self.has_address_of(spare, *voter) && silence >= SUSPECT_TIMEOUT;
            silence >= replace_after || came_back_empty
        };
        let dead = self.view.voters.iter().copied().find(is_lost)?;
        Some(MembershipChange::Replace { dead, spare })
    }

    /// Whether a keeper answers at the address that a voter had: it is that voter's machine, without its disk.
    fn has_address_of(&self, node: NodeId, voter: NodeId) -> bool {
        let address = self.known_members.get(&node).map(|member| &member.address);
        address.is_some() && address == self.view.member(voter).map(|member| &member.address)
    }

    /// Whether one voter fewer would bear as many losses: an even number of them bears no more than that.
    pub(crate) fn can_remove_voter(&self) -> bool {
        let least_voters = 2 * self.view.tolerance as usize + 1;
        self.view.voters.len().is_multiple_of(2) && self.view.voters.len() > least_voters
    }

    /// An empty seat that can be spared is given up.
    fn vacant_seat_removal(&self, now: Instant) -> Option<MembershipChange> {
        if !self.settings.automatic_size || !self.can_remove_voter() {
            return None;
        }
        let remove_after = self.settings.timing.replace_after.times(REMOVE_VOTER_FACTOR);
        let gone = self.view.voters.iter().copied().find(|voter| self.silence(*voter, now) >= remove_after)?;
        Some(MembershipChange::RemoveVoter(gone))
    }
}

/// A newcomer sits before the tail, so that the tail, with all its leases, stays; only a chain of one,
/// whose member must stay the head, gets a new tail.
fn insert_before_tail(chain: &mut Vec<NodeId>, newcomer: NodeId) {
    let place = if chain.len() < 2 { chain.len() } else { chain.len() - 1 };
    chain.insert(place, newcomer);
}
