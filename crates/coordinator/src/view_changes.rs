//! View changes: failure suspicion, campaigns, voting and adoption.

use crate::prelude::*;
/// The delay between campaigns of voters, by rank, so that they do not compete.
const RANK_DELAY: Span = Span::millis(200);
/// A voter campaigns if it has been sealed for this long without a new view.
const SEAL_TIMEOUT: Span = Span::millis(600);
/// A campaign not decided in this time may be replaced by another.
const CAMPAIGN_TIMEOUT: Span = Span::millis(500);
/// How long a reachable member may make no progress.
const STALL_TIMEOUT: Span = Span::millis(4000);

impl Coordinator {
    pub(crate) fn handle_view(&mut self, from: NodeId, message: ViewMessage, now: Instant) {
        match message {
            ViewMessage::Decided(view) => self.adopt(view, now),
            ViewMessage::Prepare { next, ballot } => self.handle_prepare(from, next, ballot, now),
            ViewMessage::Accept { next, ballot, view } => self.handle_accept(from, next, ballot, view, now),
            ViewMessage::Promise { next, ballot, accepted, last } => {
                self.handle_promise(from, (next, ballot), accepted, last, now);
            }
            ViewMessage::Accepted { next, ballot } => {
                let Some(campaign) = self.campaign.as_mut() else { return };
                if campaign.next != next || campaign.ballot != ballot {
                    return;
                }
                let Some(decided_view) = campaign.record_acceptance(&self.view, from) else { return };
                self.broadcast_decided(&decided_view);
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

    fn handle_prepare(&mut self, from: NodeId, next: ViewNumber, ballot: Ballot, now: Instant) {
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

    fn handle_accept(&mut self, from: NodeId, next: ViewNumber, ballot: Ballot, view: View, now: Instant) {
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

    fn handle_promise(
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
            match proposal {
                Some(proposed_view) => self.propose(&mut campaign, proposed_view),
                None => self.log_missing_copies(next, &campaign.promised()),
            }
        }
        self.campaign = Some(campaign);
    }

    fn propose(&mut self, campaign: &mut Campaign, proposed_view: View) {
        campaign.propose(proposed_view.clone());
        let (next, ballot) = (campaign.next, campaign.ballot);
        for voter in self.view.voters.clone() {
            let accept = ViewMessage::Accept { next, ballot, view: proposed_view.clone() };
            self.send(voter, CoreMessage::View(accept));
        }
    }

    /// Logs that a majority has promised but too few complete logs are known to compose a view: where the voters'
    /// logs end, as EDITION@VIEW, and which chain members hold everything committed.
    fn log_missing_copies(&mut self, next: ViewNumber, promised: &BTreeMap<NodeId, LogPosition>) {
        let ends: Vec<String> =
            promised.iter().map(|(voter, end)| format!("{voter}:{}@{}", end.edition, end.view)).collect();
        let chain = self.view.chain.iter().copied();
        let complete: Vec<NodeId> = chain.filter(|member| self.holds_all_committed(*member)).collect();
        let detail = format!("view={next} log_ends={} complete={}", ends.join(","), join_ids(&complete));
        self.log_event("copies_missing", detail);
    }

    /// The number of live voters listed before this one.
    fn rank(&self, now: Instant) -> u64 {
        let voters_before = self.view.voters.iter().take_while(|voter| **voter != self.me.id);
        voters_before.filter(|voter| self.is_alive(**voter, now)).count() as u64
    }

    /// Tracks since when a reachable member makes no progress: a successor that lags behind, or a tail that does not
    /// act.
    pub(crate) fn track_stalls(&mut self, from: NodeId, status: &KeeperStatus, now: Instant) {
        let is_successor = self.view.successor(self.me.id) == Some(from);
        let is_behind = status.synced_view != self.view.number || status.last.edition < self.log.last().edition;
        let stuck = is_successor && self.is_synced() && is_behind;
        let should_act = self.view.accepts_writes() && status.synced_view == self.view.number;
        let idle = self.view.tail() == Some(from) && should_act && !status.tail_active;
        let adopted = self.adopted_at;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.stalled_since = match stuck || idle {
            true => Some(peer.stalled_since.unwrap_or(now).max(adopted)),
            false => None,
        };
    }

    /// Whether a member is this keeper's predecessor or successor in the chain.
    pub(crate) fn is_neighbour(&self, member: NodeId) -> bool {
        let me = self.me.id;
        self.view.predecessor(me) == Some(member) || self.view.successor(me) == Some(member)
    }

    /// Whether a majority of voters report hearing a keeper. If so, only the link to this keeper is broken, which
    /// matters only between neighbours in the chain.
    pub(crate) fn is_heard_by_majority(&self, member: NodeId, now: Instant) -> bool {
        let hears_it = |voter: &NodeId| match *voter == self.me.id {
            true => self.is_alive(member, now),
            false => {
                let status = self.peer_status(*voter).filter(|_| self.is_alive(*voter, now));
                status.is_some_and(|status| status.hears.contains(&member))
            }
        };
        self.view.voters.iter().filter(|voter| hears_it(voter)).count() >= self.view.majority()
    }

    /// Whether a keeper and all live chain members hear each other, as required of a new member: any of them may
    /// become its neighbour.
    pub(crate) fn has_mutual_links(&self, node: NodeId, status: &KeeperStatus, now: Instant) -> bool {
        self.view.chain.iter().filter(|member| self.is_alive(**member, now)).all(|member| {
            let is_heard = match *member == self.me.id {
                true => self.is_alive(node, now),
                false => self.peer_status(*member).is_some_and(|member_status| member_status.hears.contains(&node)),
            };
            is_heard && status.hears.contains(member)
        })
    }

    /// Whether a reachable chain member cannot hear most voters, or has made no progress for a long time.
    pub(crate) fn is_unhealthy(&self, member: NodeId, now: Instant) -> bool {
        if member == self.me.id {
            return false;
        }
        let Some(peer) = self.peers.get(&member) else { return false };
        let Some(status) = &peer.status else { return false };
        let heard_voters = self.view.voters.iter().filter(|voter| status.hears.contains(voter)).count();
        let hears_too_few = heard_voters < self.view.majority() && now.since(peer.heard_since) >= SUSPECT_TIMEOUT;
        let is_stalled = peer.stalled_since.is_some_and(|since| now.since(since) >= STALL_TIMEOUT);
        hears_too_few || is_stalled
    }

    /// Whether this voter should campaign to replace the current view.
    fn should_change_view(&self, now: Instant) -> bool {
        if !self.has_view() || !self.view.is_voter(self.me.id) || self.alive_voters(now) < self.view.majority() {
            return false;
        }
        let rank = self.rank(now);
        let patience = RANK_DELAY.times(rank);
        let member_lost = self.view.chain.iter().any(|member| {
            let is_silent = self.time_since_heard(*member, now) >= SUSPECT_TIMEOUT + patience
                && (self.is_neighbour(*member) || !self.is_heard_by_majority(*member, now));
            is_silent || (self.is_unhealthy(*member, now) && now.since(self.adopted_at) >= SUSPECT_TIMEOUT + patience)
        });
        let leaver_can_go = self.can_release_leaver(now) && now.since(self.adopted_at) >= patience;
        let seal_expired = self.sealed() && now.since(self.sealed_since) >= SEAL_TIMEOUT + patience;
        let first_living = self.view.chain.iter().find(|member| self.is_alive(**member, now));
        let is_stable = first_living == Some(&self.me.id)
            && now.since(self.adopted_at) >= self.stability_period()
            && !self.sealed()
            && (self.tail_seen(now) || !self.view.accepts_writes());
        seal_expired
            || ((member_lost || leaver_can_go) && self.can_compose(now))
            || (is_stable && self.membership_change(now).is_some())
    }

    fn tail_seen(&self, now: Instant) -> bool {
        let Some(tail) = self.view.tail() else { return false };
        if tail == self.me.id {
            return self.tail_is_active(now);
        }
        self.is_alive(tail, now) && self.peer_status(tail).is_some_and(|status| status.tail_active)
    }

    pub(crate) fn run_campaign(&mut self, now: Instant) {
        let wanted = self.should_change_view(now);
        let is_running =
            self.campaign.as_ref().is_some_and(|campaign| now.since(campaign.started) < CAMPAIGN_TIMEOUT);
        if !wanted || is_running || now < self.campaign_after {
            return;
        }
        let ballot = Ballot { round: self.highest_round + 1, proposer: self.me.id };
        let next = self.view.number.next();
        self.campaign = Some(Campaign::new(next, ballot, now));
        self.log_event("campaign", format!("view={next} round={}", ballot.round));
        for voter in self.view.voters.clone() {
            self.send(voter, CoreMessage::View(ViewMessage::Prepare { next, ballot }));
        }
    }

    fn broadcast_decided(&mut self, decided_view: &View) {
        let mut receivers: Vec<NodeId> = self.known_members.keys().copied().collect();
        receivers.retain(|member| *member != self.me.id);
        for member in receivers {
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
        self.adopted_at = now;
        self.nonce = self.nonce.wrapping_add(1);
        for member in self.view.members.clone() {
            let is_taken = self.known_members.values().any(|known| known.address == member.address);
            if member.id != self.me.id && !is_taken {
                self.known_members.insert(member.id, member);
            }
        }
        self.store(Stored::View(self.view.clone()));
        self.store(Stored::Vote(VoterState::default()));
        let stays_complete =
            self.complete_view != ViewNumber(0) && self.view.was_always_in_chain(self.me.id, self.complete_view);
        if stays_complete || self.view.holders.contains(&self.me.id) {
            self.complete_view = self.view.number;
            self.store(Stored::CompleteView(self.complete_view));
        }
        if self.view.head() == Some(self.me.id) {
            self.synced_view = self.view.number;
            self.store(Stored::SyncedView(self.synced_view));
        }
        self.log_event(
            "view_adopted",
            format!(
                "view={} chain={} voters={}",
                self.view.number,
                join_ids(&self.view.chain),
                join_ids(&self.view.voters)
            ),
        );
        self.update_tail_role(&previous_view, now);
        self.request_catch_up(now);
        self.request_read_lease(now);
    }
}
/// Formats node ids as a comma-separated list.
pub fn join_ids(nodes: &[NodeId]) -> String {
    let texts: Vec<String> = nodes.iter().map(NodeId::to_string).collect();
    texts.join(",")
}
