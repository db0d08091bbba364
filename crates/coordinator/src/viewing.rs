//! The view part: suspecting, campaigning, voting, adopting.

use crate::prelude::*;

const RANK_DELAY: Span = Span::millis(200);
const SEALED_LIMIT: Span = Span::millis(600);
const CAMPAIGN_LIMIT: Span = Span::millis(500);
/// How long a member may be heard and yet not do its part.
const STANDS_LIMIT: Span = Span::millis(4000);
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
    pub(crate) fn hear_view(&mut self, from: NodeId, message: ViewMessage, now: Instant) {
        match message {
            ViewMessage::Decided(view) => self.adopt(view, now),
            ViewMessage::Prepare { next, ballot } => self.hear_prepare(from, next, ballot, now),
            ViewMessage::Accept { next, ballot, view } => self.hear_accept(from, next, ballot, view, now),
            ViewMessage::Promise { next, ballot, accepted } => {
                self.hear_promise(from, next, ballot, accepted, now);
            }
            ViewMessage::Accepted { next, ballot } => {
                let Some(campaign) = self.campaign.as_mut() else { return };
                if campaign.next != next || campaign.ballot != ballot {
                    return;
                }
                let Some(decided_view) = campaign.take_acceptance(&self.view, from) else { return };
                self.tell_decided(&decided_view);
                self.adopt(decided_view, now);
            }
            ViewMessage::Outbid { next, promised } => {
                self.highest_round = self.highest_round.max(promised.round);
                if self.campaign.as_ref().is_some_and(|campaign| campaign.next == next) {
                    self.campaign = None;
                    self.campaign_after = now + RANK_DELAY.times(1 + self.rank(now));
                }
            }
        }
    }

    fn may_vote(&mut self, from: NodeId, next: ViewNumber) -> bool {
        if !self.view.votes(self.me.id) || !self.has_view() {
            return false;
        }
        if next <= self.view.number {
            let decided = CoreMessage::View(ViewMessage::Decided(self.view.clone()));
            self.send(from, decided);
        }
        next == self.view.number.next()
    }

    fn hear_prepare(&mut self, from: NodeId, next: ViewNumber, ballot: Ballot, now: Instant) {
        if !self.may_vote(from, next) {
            return;
        }
        self.highest_round = self.highest_round.max(ballot.round);
        let reply = match self.vote.prepare(ballot) {
            Ok(accepted) => {
                self.sealed_since = now;
                self.store(Stored::Vote(self.vote.clone()));
                ViewMessage::Promise { next, ballot, accepted }
            }
            Err(promised) => ViewMessage::Outbid { next, promised },
        };
        self.send(from, CoreMessage::View(reply));
    }

    fn hear_accept(&mut self, from: NodeId, next: ViewNumber, ballot: Ballot, view: View, now: Instant) {
        if !self.may_vote(from, next) {
            return;
        }
        let reply = match self.vote.accept(ballot, view) {
            Ok(()) => {
                self.sealed_since = now;
                self.store(Stored::Vote(self.vote.clone()));
                ViewMessage::Accepted { next, ballot }
            }
            Err(promised) => ViewMessage::Outbid { next, promised },
        };
        self.send(from, CoreMessage::View(reply));
    }

    fn hear_promise(
        &mut self,
        from: NodeId,
        next: ViewNumber,
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
        now: Instant,
    ) {
        let Some(mut campaign) = self.campaign.take() else { return };
        if campaign.next != next || campaign.ballot != ballot {
            self.campaign = Some(campaign);
            return;
        }
        let may_propose = campaign.take_promise(&self.view, from, accepted);
        if may_propose {
            let proposal = campaign.bound_view().or_else(|| self.compose(&campaign, now));
            if let Some(proposed_view) = proposal {
                campaign.propose(proposed_view.clone());
                for voter in self.view.voters.clone() {
                    let accept = ViewMessage::Accept { next, ballot, view: proposed_view.clone() };
                    self.send(voter, CoreMessage::View(accept));
                }
            }
        }
        self.campaign = Some(campaign);
    }

    /// The next view: the living members of the chain in their old order, begun by one that surely
    /// holds all that was committed, and at most one newcomer.
    fn compose(&self, campaign: &Campaign, now: Instant) -> Option<View> {
        let living_chain: Vec<NodeId> = self
            .view
            .chain
            .iter()
            .copied()
            .filter(|member| {
                let others_hear = !self.is_neighbour(*member) && self.is_widely_heard(*member, now);
                campaign.promised_by(*member) || self.is_alive(*member, now) || others_hear
            })
            .collect();
        let well_chain: Vec<NodeId> =
            living_chain.iter().copied().filter(|member| !self.is_unwell(*member, now)).collect();
        let living_chain = if well_chain.len() >= self.view.least_chain() { well_chain } else { living_chain };
        let staying_chain: Vec<NodeId> =
            living_chain.iter().copied().filter(|member| !self.is_leaving(*member, now)).collect();
        let may_let_go = self.may_let_go(now) && staying_chain.len() >= self.view.least_chain();
        let living_chain = if may_let_go { staying_chain } else { living_chain };
        let first_whole = living_chain.iter().copied().find(|member| self.holds_all_committed(*member))?;
        let mut chain = vec![first_whole];
        chain.extend(living_chain.into_iter().filter(|member| *member != first_whole));
        let mut voters = self.view.voters.clone();
        match self.growth(now) {
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
        Some(View {
            fleet: self.view.fleet,
            number: campaign.next,
            chain,
            voters,
            members,
            lineage: self.view.next_lineage(),
            tolerance: self.view.tolerance,
        })
    }

    pub(crate) fn holds_all_committed(&self, member: NodeId) -> bool {
        if member == self.me.id {
            return self.whole == self.view.number;
        }
        self.peer_news(member).is_some_and(|news| news.whole == self.view.number)
    }

    /// A core still below its size takes newcomers quickly, and so does a chain that is too short to serve.
    fn steady_span(&self) -> Span {
        let is_small = self.view.voters.len() < self.wishes.core_size.min(SMALL_CORE);
        if is_small || !self.view.takes_writes() { PULSE_SPAN } else { STEADY_FOR }
    }

    /// What the steady core would gladly change, one seat at a time.
    fn growth(&self, now: Instant) -> Option<Growth> {
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
        let spare = self.peers.keys().copied().find(|peer| !self.view.votes(*peer) && may_join(*peer));
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

    /// How many living voters stand before this one.
    fn rank(&self, now: Instant) -> u64 {
        let voters_before = self.view.voters.iter().take_while(|voter| **voter != self.me.id);
        voters_before.filter(|voter| self.is_alive(**voter, now)).count() as u64
    }

    /// Notes since when a member that is heard does not do its part: our successor that stays behind us,
    /// or a tail that does not act.
    pub(crate) fn watch_wellness(&mut self, from: NodeId, news: &News, now: Instant) {
        let is_successor = self.view.after(self.me.id) == Some(from);
        let is_behind = news.aligned != self.view.number || news.last.edition < self.log.last().edition;
        let stuck = is_successor && self.is_aligned() && is_behind;
        let should_act = self.view.takes_writes() && news.aligned == self.view.number;
        let idle = self.view.tail() == Some(from) && should_act && !news.tail_active;
        let adopted = self.adopted;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.stands_since = match stuck || idle {
            true => Some(peer.stands_since.unwrap_or(now).max(adopted)),
            false => None,
        };
    }

    /// A chain member that is heard, but cannot hear most voters, or has long not done its part.
    fn is_neighbour(&self, member: NodeId) -> bool {
        let me = self.me.id;
        self.view.before(me) == Some(member) || self.view.after(me) == Some(member)
    }

    /// Whether most voters hear a keeper, by their own word: then our not hearing it is a matter of one
    /// way between us, which only neighbours in the chain need.
    fn is_widely_heard(&self, member: NodeId, now: Instant) -> bool {
        let hears_it = |voter: &NodeId| match *voter == self.me.id {
            true => self.is_alive(member, now),
            false => {
                let news = self.peer_news(*voter).filter(|_| self.is_alive(*voter, now));
                news.is_some_and(|news| news.hears.contains(&member))
            }
        };
        self.view.voters.iter().filter(|voter| hears_it(voter)).count() >= self.view.majority()
    }

    /// A newcomer must hear every chain member and be heard by every one: any may become its neighbour.
    fn hears_and_is_heard(&self, node: NodeId, news: &News, now: Instant) -> bool {
        self.view.chain.iter().all(|member| {
            let is_heard = match *member == self.me.id {
                true => self.is_alive(node, now),
                false => self.peer_news(*member).is_some_and(|member_news| member_news.hears.contains(&node)),
            };
            is_heard && news.hears.contains(member)
        })
    }

    pub(crate) fn is_unwell(&self, member: NodeId, now: Instant) -> bool {
        if member == self.me.id {
            return false;
        }
        let Some(peer) = self.peers.get(&member) else { return false };
        let Some(news) = &peer.news else { return false };
        let heard_voters = self.view.voters.iter().filter(|voter| news.hears.contains(voter)).count();
        let is_deaf = heard_voters < self.view.majority() && now.since(peer.heard_since) >= SUSPECT_AFTER;
        let stands_still = peer.stands_since.is_some_and(|since| now.since(since) >= STANDS_LIMIT);
        is_deaf || stands_still
    }

    /// Whether the present view should give way, as this voter sees it.
    fn wants_view(&self, now: Instant) -> bool {
        if !self.has_view() || !self.view.votes(self.me.id) || self.alive_voters(now) < self.view.majority() {
            return false;
        }
        let rank = self.rank(now);
        let patience = RANK_DELAY.times(rank);
        let member_lost = self.view.chain.iter().any(|member| {
            let is_silent = self.silence(*member, now) >= SUSPECT_AFTER + patience
                && (self.is_neighbour(*member) || !self.is_widely_heard(*member, now));
            is_silent || (self.is_unwell(*member, now) && now.since(self.adopted) >= SUSPECT_AFTER + patience)
        });
        let lets_go = self.may_let_go(now) && now.since(self.adopted) >= patience;
        let seal_hangs = self.sealed() && now.since(self.sealed_since) >= SEALED_LIMIT + patience;
        let first_living = self.view.chain.iter().find(|member| self.is_alive(**member, now));
        let is_steady = first_living == Some(&self.me.id)
            && now.since(self.adopted) >= self.steady_span()
            && !self.sealed()
            && (self.tail_seen(now) || !self.view.takes_writes());
        member_lost || lets_go || seal_hangs || (is_steady && self.growth(now).is_some())
    }

    fn tail_seen(&self, now: Instant) -> bool {
        let Some(tail) = self.view.tail() else { return false };
        if tail == self.me.id {
            return self.tail_is_active(now);
        }
        self.is_alive(tail, now) && self.peer_news(tail).is_some_and(|news| news.tail_active)
    }

    pub(crate) fn tend_campaign(&mut self, now: Instant) {
        let wanted = self.wants_view(now);
        let is_running = self.campaign.as_ref().is_some_and(|campaign| now.since(campaign.started) < CAMPAIGN_LIMIT);
        if !wanted || is_running || now < self.campaign_after {
            return;
        }
        let ballot = Ballot { round: self.highest_round + 1, proposer: self.me.id };
        let next = self.view.number.next();
        self.campaign = Some(Campaign::new(next, ballot, now));
        self.note("campaign", format!("view={next} round={}", ballot.round));
        for voter in self.view.voters.clone() {
            self.send(voter, CoreMessage::View(ViewMessage::Prepare { next, ballot }));
        }
    }

    fn tell_decided(&mut self, decided_view: &View) {
        let mut told_members: Vec<NodeId> = self.acquaintances.keys().copied().collect();
        told_members.retain(|member| *member != self.me.id);
        for member in told_members {
            self.send(member, CoreMessage::View(ViewMessage::Decided(decided_view.clone())));
        }
    }

    fn adopt(&mut self, view: View, now: Instant) {
        let other_fleet = self.has_view() && view.fleet != self.view.fleet;
        if view.number <= self.view.number || other_fleet {
            return;
        }
        let previous_view = std::mem::replace(&mut self.view, view);
        self.vote = Vote::default();
        self.campaign = None;
        self.highest_round = 0;
        self.adopted = now;
        self.nonce = self.nonce.wrapping_add(1);
        for member in self.view.members.clone() {
            let is_taken = self.acquaintances.values().any(|known| known.address == member.address);
            if member.id != self.me.id && !is_taken {
                self.acquaintances.insert(member.id, member);
            }
        }
        self.store(Stored::View(self.view.clone()));
        self.store(Stored::Vote(Vote::default()));
        let stays_whole = self.whole != ViewNumber(0) && self.view.was_always_in_chain(self.me.id, self.whole);
        if stays_whole {
            self.whole = self.view.number;
            self.store(Stored::Whole(self.whole));
        }
        if self.view.head() == Some(self.me.id) {
            self.aligned = self.view.number;
            self.store(Stored::Aligned(self.aligned));
        }
        self.note(
            "view_adopted",
            format!(
                "view={} chain={} voters={}",
                self.view.number,
                list_ids(&self.view.chain),
                list_ids(&self.view.voters)
            ),
        );
        self.move_tail(&previous_view, now);
        self.ask_to_be_levelled(now);
        self.ask_read_lease(now);
    }
}

/// A newcomer sits before the tail, so that the tail, with all its leases, stays; only a chain of one,
/// whose member must stay the head, gets a new tail.
fn seat(chain: &mut Vec<NodeId>, newcomer: NodeId) {
    let place = if chain.len() < 2 { chain.len() } else { chain.len() - 1 };
    chain.insert(place, newcomer);
}

pub fn list_ids(nodes: &[NodeId]) -> String {
    let texts: Vec<String> = nodes.iter().map(NodeId::to_string).collect();
    texts.join(",")
}
