//! The view part: suspecting, campaigning, voting, adopting.

use crate::prelude::*;

const RANK_DELAY: Span = Span::millis(200);
const SEALED_LIMIT: Span = Span::millis(600);
const CAMPAIGN_LIMIT: Span = Span::millis(500);
/// How long a member may be heard and yet not do its part.
const STANDS_LIMIT: Span = Span::millis(4000);

impl Coordinator {
    pub(crate) fn hear_view(&mut self, from: NodeId, message: ViewMessage, now: Instant) {
        match message {
            ViewMessage::Decided(view) => self.adopt(view, now),
            ViewMessage::Prepare { next, ballot } => self.hear_prepare(from, next, ballot, now),
            ViewMessage::Accept { next, ballot, view } => self.hear_accept(from, next, ballot, view, now),
            ViewMessage::Promise { next, ballot, accepted, last } => {
                self.hear_promise(from, (next, ballot), accepted, last, now);
            }
            ViewMessage::Accepted { next, ballot } => {
                let Some(campaign) = self.campaign.as_mut() else { return };
                if campaign.next != next || campaign.ballot != ballot {
                    return;
                }
                let Some(decided_view) = campaign.record_acceptance(&self.view, from) else { return };
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
        if !self.view.is_voter(self.me.id) || !self.has_view() {
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
                ViewMessage::Promise { next, ballot, accepted, last: self.log.last() }
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
        (next, ballot): (ViewNumber, Ballot),
        accepted: Option<(Ballot, View)>,
        last: LogPosition,
        now: Instant,
    ) {
        let Some(mut campaign) = self.campaign.take() else { return };
        if campaign.next != next || campaign.ballot != ballot {
            self.campaign = Some(campaign);
            return;
        }
        let may_propose = campaign.record_promise(&self.view, from, accepted, last);
        if may_propose {
            let proposal = campaign.highest_accepted_view().or_else(|| self.compose(next, &campaign.promised(), now));
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

    /// How many living voters stand before this one.
    fn rank(&self, now: Instant) -> u64 {
        let voters_before = self.view.voters.iter().take_while(|voter| **voter != self.me.id);
        voters_before.filter(|voter| self.is_alive(**voter, now)).count() as u64
    }

    /// Notes since when a member that is heard does not do its part: our successor that stays behind us,
    /// or a tail that does not act.
    pub(crate) fn watch_wellness(&mut self, from: NodeId, news: &News, now: Instant) {
        let is_successor = self.view.successor(self.me.id) == Some(from);
        let is_behind = news.aligned != self.view.number || news.last.edition < self.log.last().edition;
        let stuck = is_successor && self.is_aligned() && is_behind;
        let should_act = self.view.accepts_writes() && news.aligned == self.view.number;
        let idle = self.view.tail() == Some(from) && should_act && !news.tail_active;
        let adopted = self.adopted;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.stands_since = match stuck || idle {
            true => Some(peer.stands_since.unwrap_or(now).max(adopted)),
            false => None,
        };
    }

    /// A chain member that is heard, but cannot hear most voters, or has long not done its part.
    pub(crate) fn is_neighbour(&self, member: NodeId) -> bool {
        let me = self.me.id;
        self.view.predecessor(me) == Some(member) || self.view.successor(me) == Some(member)
    }

    /// Whether most voters hear a keeper, by their own word: then our not hearing it is a matter of one
    /// way between us, which only neighbours in the chain need.
    pub(crate) fn is_widely_heard(&self, member: NodeId, now: Instant) -> bool {
        let hears_it = |voter: &NodeId| match *voter == self.me.id {
            true => self.is_alive(member, now),
            false => {
                let news = self.peer_news(*voter).filter(|_| self.is_alive(*voter, now));
                news.is_some_and(|news| news.hears.contains(&member))
            }
        };
        self.view.voters.iter().filter(|voter| hears_it(voter)).count() >= self.view.majority()
    }

    /// A newcomer must hear every living chain member and be heard by every one: any may become its neighbour.
    pub(crate) fn hears_and_is_heard(&self, node: NodeId, news: &News, now: Instant) -> bool {
        self.view.chain.iter().filter(|member| self.is_alive(**member, now)).all(|member| {
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
        if !self.has_view() || !self.view.is_voter(self.me.id) || self.alive_voters(now) < self.view.majority() {
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
            && (self.tail_seen(now) || !self.view.accepts_writes());
        seal_hangs || ((member_lost || lets_go) && self.can_compose(now)) || (is_steady && self.growth(now).is_some())
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
        self.vote = VoterState::default();
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
        self.store(Stored::Vote(VoterState::default()));
        let stays_whole = self.whole != ViewNumber(0) && self.view.was_always_in_chain(self.me.id, self.whole);
        if stays_whole || self.view.holders.contains(&self.me.id) {
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

pub fn list_ids(nodes: &[NodeId]) -> String {
    let texts: Vec<String> = nodes.iter().map(NodeId::to_string).collect();
    texts.join(",")
}
