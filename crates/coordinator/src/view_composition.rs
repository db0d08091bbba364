//! Composition of the next view: which chain members stay, which keeper joins and which seat is removed, such that at
//! least tolerance + 1 disks keep everything committed.

use crate::prelude::*;
/// How long the core must be stable before it admits a member.
const STABLE_PERIOD: Span = Span::millis(1000);
/// A vacant seat is removed after this many times the period after which a spare may take it.
const REMOVE_VOTER_FACTOR: u64 = 4;
/// A core with fewer voters admits new keepers quickly, whatever its configured size.
const SMALL_CORE_VOTERS: usize = 4;
/// A vote begins without equal logs once a chain member has been silent for this long.
const LEVEL_IN_VOTE_AFTER: Span = Span::millis(1600);
/// The number of editions by which a joining keeper may lag behind.
const MAX_JOIN_LAG: u64 = 64;

/// A membership change that no failure requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MembershipChange {
    /// Adds a returning voter, or a spare, to the chain.
    Join(NodeId),
    /// Gives the seat of a failed voter to a spare.
    Replace { dead: NodeId, spare: NodeId },
    /// Removes the seat of a failed or leaving voter.
    RemoveVoter(NodeId),
}

impl Coordinator {
    /// The next view: live chain members in their current order, headed by one that holds everything committed, and
    /// at most one new member. `promised` has the log ends of voters that no longer take part in the current view.
    pub(crate) fn compose(
        &self,
        next: ViewNumber,
        promised: &BTreeMap<NodeId, LogPosition>,
        now: Instant,
    ) -> Option<View> {
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

    /// The next chain without its new member, and the membership change. Failed members are always left out. The
    /// first candidate also leaves out unhealthy and leaving members, the second unhealthy ones, the third no others.
    /// The first one that keeps enough copies of the committed records is taken.
    fn next_chain(
        &self,
        promised: &BTreeMap<NodeId, LogPosition>,
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
        let is_long_enough = |chain: &Vec<NodeId>| chain.len() >= self.view.min_chain_length();
        let without = |chain: &[NodeId], gone: &dyn Fn(NodeId) -> bool| -> Vec<NodeId> {
            chain.iter().copied().filter(|member| !gone(*member)).collect()
        };
        let healthy = Some(without(&living, &|member| self.is_unhealthy(member, now))).filter(is_long_enough);
        let remaining = healthy.as_deref().unwrap_or(&living);
        let staying = Some(without(remaining, &|member| self.is_leaving(member, now)))
            .filter(|chain| self.can_release_leaver(now) && is_long_enough(chain));
        let candidates = [staying, healthy.clone(), Some(living.clone())];
        let chain = candidates
            .into_iter()
            .flatten()
            .find_map(|chain| self.with_enough_copies(chain, membership_change, promised))?;
        Some((chain, membership_change))
    }

    /// Moves a member that holds everything committed to the head, if enough members hold a complete log. A voter
    /// that is about to join with the same log counts as well.
    fn with_enough_copies(
        &self,
        chain: Vec<NodeId>,
        membership_change: Option<MembershipChange>,
        promised: &BTreeMap<NodeId, LogPosition>,
    ) -> Option<Vec<NodeId>> {
        let first_complete = chain.iter().copied().find(|member| self.holds_all_committed(*member))?;
        let newcomer = match membership_change {
            Some(MembershipChange::Join(newcomer)) if !chain.contains(&newcomer) => Some(newcomer),
            _ => None,
        };
        let copies = chain.iter().copied().chain(newcomer).filter(|member| self.has_complete_log(*member, promised));
        if copies.count() < self.view.min_holders() {
            return None;
        }
        let others = chain.into_iter().filter(|member| *member != first_complete);
        Some(std::iter::once(first_complete).chain(others).collect())
    }

    /// Whether a next view can be composed, judging by the keepers' heartbeats. A campaign that cannot succeed would
    /// only block the chain. While records are appended, copies outside the chain lag behind and no heartbeats show
    /// equal logs; so once a member has been lost for a while, live keepers are expected to catch up during the vote,
    /// when the logs do not grow.
    pub(crate) fn can_compose(&self, now: Instant) -> bool {
        let voters = self.view.voters.iter().copied().filter(|voter| self.is_alive(*voter, now));
        let final_end = self.expected_final_end(now);
        let expected = voters.filter_map(|voter| Some((voter, final_end.or(self.log_end(voter))?))).collect();
        self.compose(self.view.number.next(), &expected, now).is_some()
    }

    /// Where all live logs are expected to end if the records cannot be committed because a member has been lost for a
    /// while: at the end of the first complete log.
    fn expected_final_end(&self, now: Instant) -> Option<LogPosition> {
        let is_long_lost = |member: &NodeId| self.time_since_heard(*member, now) >= LEVEL_IN_VOTE_AFTER;
        if !self.view.chain.iter().any(is_long_lost) {
            return None;
        }
        let is_source = |member: &NodeId| self.is_alive(*member, now) && self.holds_all_committed(*member);
        let source = self.view.chain.iter().copied().find(is_source)?;
        self.log_end(source)
    }

    /// Where a keeper's log ended when it was last heard.
    fn log_end(&self, keeper: NodeId) -> Option<LogPosition> {
        match keeper == self.me.id {
            true => Some(self.log.last()),
            false => self.peer_status(keeper).map(|status| status.last),
        }
    }

    /// Whether a chain member reports that it holds everything committed, having been in the chain of every view
    /// since it was synced. The report of a keeper outside the chain says nothing about the current view.
    pub(crate) fn holds_all_committed(&self, member: NodeId) -> bool {
        let complete_view = match member == self.me.id {
            true => Some(self.complete_view),
            false => self.peer_status(member).map(|status| status.complete_view),
        };
        self.view.in_chain(member) && complete_view == Some(self.view.number)
    }

    /// Whether a member's log is complete. That is so if the member was in the chain all the time, or if it has
    /// promised its vote and its log ends at the same position as that of a member which was. The other member must
    /// have promised its vote too, so that its log does not grow in this view any more.
    fn has_complete_log(&self, member: NodeId, promised: &BTreeMap<NodeId, LogPosition>) -> bool {
        let Some(own_end) = promised.get(&member) else { return self.holds_all_committed(member) };
        let same_log_end = |(other, end): (&NodeId, &LogPosition)| {
            end == own_end && self.view.in_chain(*other) && self.holds_all_committed(*other)
        };
        self.holds_all_committed(member) || promised.iter().any(same_log_end)
    }

    /// How long the core must be stable before it admits a member; short for a core below its size and for a chain
    /// that is too short to accept writes.
    pub(crate) fn stability_period(&self) -> Span {
        let is_small = self.view.voters.len() < self.settings.core_size.min(SMALL_CORE_VOTERS);
        if is_small || !self.view.accepts_writes() { HEARTBEAT_INTERVAL } else { STABLE_PERIOD }
    }

    /// The next membership change of a stable core, one seat at a time.
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
        let spare = self.peers.keys().copied().find(|peer| !self.view.is_voter(*peer) && may_join(*peer));
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
        let has_failed = |voter: &NodeId| {
            let time_since_heard = self.time_since_heard(*voter, now);
            let came_back_empty = self.has_address_of(spare, *voter) && time_since_heard >= SUSPECT_TIMEOUT;
            time_since_heard >= replace_after || came_back_empty
        };
        let dead = self.view.voters.iter().copied().find(has_failed)?;
        Some(MembershipChange::Replace { dead, spare })
    }

    /// Whether a keeper has the address of a voter: it is that voter's machine with an empty disk.
    fn has_address_of(&self, node: NodeId, voter: NodeId) -> bool {
        let address = self.known_members.get(&node).map(|member| &member.address);
        address.is_some() && address == self.view.member(voter).map(|member| &member.address)
    }

    /// Whether one voter fewer would tolerate as many failures, which is so for an even number of voters.
    pub(crate) fn can_remove_voter(&self) -> bool {
        let least_voters = 2 * self.view.tolerance as usize + 1;
        self.view.voters.len().is_multiple_of(2) && self.view.voters.len() > least_voters
    }

    /// Removes a vacant seat that is not needed for the tolerance.
    fn vacant_seat_removal(&self, now: Instant) -> Option<MembershipChange> {
        if !self.settings.automatic_size || !self.can_remove_voter() {
            return None;
        }
        let remove_after = self.settings.timing.replace_after.times(REMOVE_VOTER_FACTOR);
        let gone =
            self.view.voters.iter().copied().find(|voter| self.time_since_heard(*voter, now) >= remove_after)?;
        Some(MembershipChange::RemoveVoter(gone))
    }
}

/// Inserts a new member before the tail, which thereby keeps its leases. In a chain of one, whose member must stay
/// the head, the new member becomes the tail.
fn insert_before_tail(chain: &mut Vec<NodeId>, newcomer: NodeId) {
    let place = if chain.len() < 2 { chain.len() } else { chain.len() - 1 };
    chain.insert(place, newcomer);
}
