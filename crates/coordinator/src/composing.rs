//! What the next view is made of: who of the chain stays, who joins, whose seat is given up; and that as many
//! disks as must be able to be lost, and one more, keep what was committed.

use crate::prelude::*;

const STEADY_FOR: Span = Span::millis(1000);
/// A seat that stays empty is given up after so many times the span after which a spare may take it.
const GIVE_UP_FACTOR: u64 = 4;
/// A core that has fewer voters takes newcomers quickly, whatever size it may grow to.
const SMALL_CORE: usize = 4;
const CAUGHT_UP_WITHIN: u64 = 64;

/// A change of the view that nothing forces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Growth {
    /// A voter that is back, or a spare, into the chain.
    Join(NodeId),
    /// A spare in the seat of a voter that stays dead.
    Replace { dead: NodeId, spare: NodeId },
    /// The seat of a voter that stays dead is given up.
    GiveUp(NodeId),
}

impl Coordinator {
    /// The next view: the living members of the chain in their old order, begun by one that surely
    /// holds all that was committed, and at most one newcomer. `promised` are the voters that take no more part in
    /// the present view, and where their logs end.
    pub(crate) fn compose(
        &self,
        next: ViewNumber,
        promised: &BTreeMap<NodeId, LogPosition>,
        now: Instant,
    ) -> Option<View> {
        let (mut chain, growth) = self.next_chain(promised, now)?;
        let mut voters = self.view.voters.clone();
        match growth {
            Some(Growth::Join(newcomer)) => {
                seat(&mut chain, newcomer);
                if !voters.contains(&newcomer) {
                    voters.push(newcomer);
                }
            }
            Some(Growth::Replace { dead, spare }) if !chain.contains(&dead) => {
                voters.retain(|voter| *voter != dead);
                voters.push(spare);
                seat(&mut chain, spare);
            }
            Some(Growth::GiveUp(dead)) if !chain.contains(&dead) => voters.retain(|voter| *voter != dead),
            _ => {}
        }
        let members = voters
            .iter()
            .filter_map(|voter| self.acquaintances.get(voter).or_else(|| self.view.member(*voter)).cloned())
            .collect();
        let holders = chain.iter().copied().filter(|member| self.surely_holds_all(*member, promised)).collect();
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
        promised: &BTreeMap<NodeId, LogPosition>,
        now: Instant,
    ) -> Option<(Vec<NodeId>, Option<Growth>)> {
        let growth = self.growth(now);
        let living: Vec<NodeId> = self
            .view
            .chain
            .iter()
            .copied()
            .filter(|member| {
                let others_hear = !self.is_neighbour(*member) && self.is_widely_heard(*member, now);
                promised.contains_key(member) || self.is_alive(*member, now) || others_hear
            })
            .collect();
        let is_long_enough = |chain: &Vec<NodeId>| chain.len() >= self.view.min_chain_length();
        let without = |chain: &[NodeId], gone: &dyn Fn(NodeId) -> bool| -> Vec<NodeId> {
            chain.iter().copied().filter(|member| !gone(*member)).collect()
        };
        let well = Some(without(&living, &|member| self.is_unwell(member, now))).filter(is_long_enough);
        let stays_of = well.as_deref().unwrap_or(&living);
        let staying = Some(without(stays_of, &|member| self.is_leaving(member, now)))
            .filter(|chain| self.may_let_go(now) && is_long_enough(chain));
        let candidates = [staying, well.clone(), Some(living.clone())];
        let chain = candidates.into_iter().flatten().find_map(|chain| self.with_copies(chain, growth, promised))?;
        Some((chain, growth))
    }

    /// A chain that begins with a member that holds all that was committed, if enough of its members do. Besides its
    /// own, a voter counts that is to join it and has the same log.
    fn with_copies(
        &self,
        chain: Vec<NodeId>,
        growth: Option<Growth>,
        promised: &BTreeMap<NodeId, LogPosition>,
    ) -> Option<Vec<NodeId>> {
        let first_whole = chain.iter().copied().find(|member| self.holds_all_committed(*member))?;
        let newcomer = match growth {
            Some(Growth::Join(newcomer)) if !chain.contains(&newcomer) => Some(newcomer),
            _ => None,
        };
        let copies = chain.iter().copied().chain(newcomer).filter(|member| self.surely_holds_all(*member, promised));
        if copies.count() < self.view.min_holders() {
            return None;
        }
        let others = chain.into_iter().filter(|member| *member != first_whole);
        Some(std::iter::once(first_whole).chain(others).collect())
    }

    /// Whether the chain could be mended now, as far as keepers' news tell: a vote that comes to nothing would
    /// only hold everybody up.
    pub(crate) fn can_compose(&self, now: Instant) -> bool {
        let voters = self.view.voters.iter().copied().filter(|voter| self.is_alive(*voter, now));
        let expected = voters.filter_map(|voter| Some((voter, self.log_end(voter)?))).collect();
        self.compose(self.view.number.next(), &expected, now).is_some()
    }

    /// Where a keeper's log ended when it was last heard.
    fn log_end(&self, keeper: NodeId) -> Option<LogPosition> {
        match keeper == self.me.id {
            true => Some(self.log.last()),
            false => self.peer_news(keeper).map(|news| news.last),
        }
    }

    /// Whether a chain member holds all that was committed, by its own word: it stood in the chain of every view
    /// since it was level. Of a keeper outside the chain that word tells nothing of the present view.
    pub(crate) fn holds_all_committed(&self, member: NodeId) -> bool {
        let whole = match member == self.me.id {
            true => Some(self.whole),
            false => self.peer_news(member).map(|news| news.whole),
        };
        self.view.in_chain(member) && whole == Some(self.view.number)
    }

    /// Whether a member holds all that was committed: it stood in the chain all the time, or it has promised and its
    /// log ends where that of such a member does, which takes no more part in the present view.
    fn surely_holds_all(&self, member: NodeId, promised: &BTreeMap<NodeId, LogPosition>) -> bool {
        let Some(own_end) = promised.get(&member) else { return self.holds_all_committed(member) };
        let ends_alike = |(other, end): (&NodeId, &LogPosition)| {
            end == own_end && self.view.in_chain(*other) && self.holds_all_committed(*other)
        };
        self.holds_all_committed(member) || promised.iter().any(ends_alike)
    }

    /// A core still below its size takes newcomers quickly, and so does a chain that is too short to serve.
    pub(crate) fn steady_span(&self) -> Span {
        let is_small = self.view.voters.len() < self.wishes.core_size.min(SMALL_CORE);
        if is_small || !self.view.accepts_writes() { PULSE_SPAN } else { STEADY_FOR }
    }

    /// What the steady core would gladly change, one seat at a time.
    pub(crate) fn growth(&self, now: Instant) -> Option<Growth> {
        let may_join = |node: NodeId| {
            let Some(peer) = self.peers.get(&node) else { return false };
            let Some(news) = &peer.news else { return false };
            self.is_alive(node, now)
                && self.hears_and_is_heard(node, news, now)
                && !self.is_unwell(node, now)
                && !news.leaving
                && now.since(peer.heard_since) >= self.steady_span()
                && news.view == self.view.number
                && news.last.edition.0 + CAUGHT_UP_WITHIN >= self.log.last().edition.0
        };
        let spare = self.peers.keys().copied().find(|peer| !self.view.is_voter(*peer) && may_join(*peer));
        if let Some(change) = self.seat_of_leaver(spare, now) {
            return Some(change);
        }
        let absent_voter =
            self.view.voters.iter().copied().find(|voter| !self.view.in_chain(*voter) && may_join(*voter));
        if let Some(voter) = absent_voter {
            return Some(Growth::Join(voter));
        }
        let Some(spare) = spare else { return self.seat_given_up(now) };
        let has_room = self.view.voters.len() < self.wishes.core_size;
        let all_live = self.alive_voters(now) == self.view.voters.len();
        if has_room && (all_live || !self.wishes.grows_freely) {
            return Some(Growth::Join(spare));
        }
        let replace_after = self.wishes.timing.replace_after;
        let is_lost = |voter: &NodeId| {
            let silence = self.silence(*voter, now);
            let came_back_empty = self.has_address_of(spare, *voter) && silence >= SUSPECT_AFTER;
            silence >= replace_after || came_back_empty
        };
        let dead = self.view.voters.iter().copied().find(is_lost)?;
        Some(Growth::Replace { dead, spare })
    }

    /// Whether a keeper answers at the address that a voter had: it is that voter's machine, without its disk.
    fn has_address_of(&self, node: NodeId, voter: NodeId) -> bool {
        let address = self.acquaintances.get(&node).map(|member| &member.address);
        address.is_some() && address == self.view.member(voter).map(|member| &member.address)
    }

    /// Whether one voter fewer would bear as many losses: an even number of them bears no more than that.
    pub(crate) fn can_spare_a_seat(&self) -> bool {
        let least_voters = 2 * self.view.tolerance as usize + 1;
        self.view.voters.len().is_multiple_of(2) && self.view.voters.len() > least_voters
    }

    /// An empty seat that can be spared is given up.
    fn seat_given_up(&self, now: Instant) -> Option<Growth> {
        if !self.wishes.grows_freely || !self.can_spare_a_seat() {
            return None;
        }
        let give_up_after = self.wishes.timing.replace_after.times(GIVE_UP_FACTOR);
        let gone = self.view.voters.iter().copied().find(|voter| self.silence(*voter, now) >= give_up_after)?;
        Some(Growth::GiveUp(gone))
    }
}

/// A newcomer sits before the tail, so that the tail, with all its leases, stays; only a chain of one,
/// whose member must stay the head, gets a new tail.
fn seat(chain: &mut Vec<NodeId>, newcomer: NodeId) {
    let place = if chain.len() < 2 { chain.len() } else { chain.len() - 1 };
    chain.insert(place, newcomer);
}
