//! The machine itself: its state, and the way of an input through it.

use crate::prelude::*;

pub const PULSE_SPAN: Span = Span::millis(200);
const DATED_RECORDS: usize = 1024;
/// Longer than any router goes on with weights that gave way.
const KEPT_WEIGHTS_SPAN: Span = Span::seconds(60);
pub const SUSPECT_AFTER: Span = Span::millis(800);
/// How often a keeper looks around while something is under way.
const BUSY_PULSE: Span = Span::millis(50);
const FORGET_AFTER: Span = Span::seconds(30);

#[derive(Clone, Debug, Default)]
pub struct Wishes {
    /// Whether leases are granted only on a listing that this keeper has read itself of late.
    pub has_census: bool,
    /// How many voters the core grows to.
    pub core_size: usize,
    /// Whether nobody says how many voters there will be: a newcomer then adds a seat only while every voter
    /// lives, and takes a dead one's seat otherwise; and a seat that stays empty is given up.
    pub grows_freely: bool,
    pub seeds: Vec<String>,
    pub timing: Timing,
}

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Which life of its process was heard last.
    pub(crate) life: u64,
    pub(crate) news: Option<News>,
    pub(crate) last_heard: Instant,
    /// Since when it has been heard without a break.
    pub(crate) heard_since: Instant,
    /// Since when it stands still behind us as our successor, or idle as the tail.
    pub(crate) stands_since: Option<Instant>,
}

#[derive(Clone, Debug)]
pub struct Coordinator {
    pub(crate) me: Member,
    /// Differs for each life of the process.
    pub(crate) life: u64,
    /// The keeper whose message is being answered.
    pub(crate) answered: Option<KeeperLife>,
    pub(crate) misdirected: Misdirected,
    pub(crate) wishes: Wishes,
    pub(crate) view: View,
    pub(crate) vote: VoterState,
    pub(crate) sealed_since: Instant,
    pub(crate) aligned: ViewNumber,
    /// The view before whose beginning everything committed is surely in this log: it was aligned in
    /// an earlier one and has stood in every chain since, so nothing was committed without it.
    pub(crate) whole: ViewNumber,
    pub(crate) log: Log,
    pub(crate) committed: Edition,
    /// When this life first saw recent records; those of an earlier life are not in it.
    pub(crate) committed_at: BTreeMap<Edition, Instant>,
    /// The weights wanted when last looked, and when the ones before them gave way in this life.
    pub(crate) wanted_weights: BTreeMap<ModelName, WeightsEdition>,
    pub(crate) gave_way: BTreeMap<(ModelName, WeightsEdition), Instant>,
    pub(crate) peers: BTreeMap<NodeId, Peer>,
    pub(crate) acquaintances: BTreeMap<NodeId, Member>,
    /// Where the log ended when this life began, or was replaced by a snapshot.
    pub(crate) restored_at: Edition,
    pub(crate) nonce: u64,
    /// When it was first asked, under which nonce, to be brought level.
    pub(crate) asked_level: Option<(u64, Instant)>,
    pub(crate) began: Instant,
    pub(crate) adopted: Instant,
    pub(crate) campaign: Option<Campaign>,
    pub(crate) highest_round: u64,
    pub(crate) campaign_after: Instant,
    pub(crate) tail: Option<TailRole>,
    pub(crate) listing_check: ListingCheck,
    pub(crate) duty_lease: HeldLease,
    pub(crate) duties: BTreeMap<DutyKind, HeldDuty>,
    /// About to stop: takes no duty any more.
    pub(crate) retired: bool,
    pub(crate) waiting: BTreeMap<u64, Waiting>,
    pub(crate) last_pulse: Instant,
    pub(crate) inbox: VecDeque<CoreMessage>,
    pub(crate) plan: Vec<Effect>,
}

impl Coordinator {
    /// A keeper with what its folder holds; `life` differs for each life of the process.
    pub fn restore(me: Member, kept: Kept, wishes: Wishes, life: u64, now: Instant) -> Coordinator {
        let view = kept.view.unwrap_or_default();
        let acquaintances = view.members.iter().map(|member| (member.id, member.clone())).collect();
        let mut restored = Coordinator {
            me,
            life,
            answered: None,
            misdirected: Misdirected::default(),
            wishes,
            view,
            vote: kept.vote,
            sealed_since: now,
            aligned: kept.aligned,
            whole: kept.whole,
            log: Log::restore(kept.mark, kept.state, kept.records),
            committed: Edition(0),
            committed_at: BTreeMap::new(),
            wanted_weights: BTreeMap::new(),
            gave_way: BTreeMap::new(),
            peers: BTreeMap::new(),
            acquaintances,
            restored_at: Edition(0),
            nonce: life,
            asked_level: None,
            began: now,
            adopted: now,
            campaign: None,
            highest_round: 0,
            campaign_after: now,
            tail: None,
            listing_check: ListingCheck::default(),
            duty_lease: HeldLease::default(),
            duties: BTreeMap::new(),
            retired: false,
            waiting: BTreeMap::new(),
            last_pulse: Instant(0),
            inbox: VecDeque::new(),
            plan: Vec::new(),
        };
        restored.forget_dates();
        if restored.view.tail() == Some(restored.me.id) {
            let has_begun = kept.begun == restored.view.number;
            let wait = if has_begun { Span(0) } else { READ_LEASE + LEASE_MARGIN };
            restored.tail = Some(TailRole::new(now + wait));
        }
        restored
    }

    /// What a founder's folder holds at first: a view of one, and the founding document.
    pub fn founding(me: &Member, fleet: FleetId, founding_state: FleetState) -> Vec<Stored> {
        Coordinator::founding_for(me, fleet, founding_state, View::default().tolerance)
    }

    /// The same, for a fleet that bears the loss of so many machines with their disks.
    pub fn founding_for(me: &Member, fleet: FleetId, founding_state: FleetState, tolerance: u64) -> Vec<Stored> {
        let first_view = View {
            fleet,
            number: FOUNDING_VIEW,
            chain: vec![me.id],
            voters: vec![me.id],
            members: vec![me.clone()],
            lineage: Vec::new(),
            holders: vec![me.id],
            tolerance,
        };
        let mark = LogPosition { edition: founding_state.edition, view: FOUNDING_VIEW };
        vec![
            Stored::Snapshot { mark, state: Box::new(founding_state) },
            Stored::Vote(VoterState::default()),
            Stored::View(first_view),
            Stored::Aligned(FOUNDING_VIEW),
            Stored::Whole(FOUNDING_VIEW),
        ]
    }

    pub fn step(&mut self, input: Input, now: Instant) -> Vec<Effect> {
        match input {
            Input::Pulse => self.pulse(now),
            Input::Peer(envelope) => self.receive(envelope, now),
            Input::Node { node, message } => self.hear_node(node, message, now),
            Input::NodeGone { node } => self.lose_node(node),
            Input::NotSent { node, messages } => self.take_back(node, &messages),
            Input::Ask { ticket, question, limit } => self.begin_ask(ticket, question, limit, now),
            Input::ListingRead { read, asked } => self.listing_check.note_reading(read, asked),
            Input::Retire => self.retire(now),
            Input::HandOver(kind) => self.hand_over(kind, now),
            Input::Seeds(seeds) => self.wishes.seeds = seeds,
        }
        while let Some(own_message) = self.inbox.pop_front() {
            self.hear(self.own_life(), own_message, now);
        }
        self.date_records(now);
        self.tend_tail(now);
        std::mem::take(&mut self.plan)
    }

    fn date_records(&mut self, now: Instant) {
        let last_edition = self.log.last().edition;
        let dated_last = self.committed_at.last_key_value().map_or(self.restored_at, |(edition, _)| *edition);
        let dated_last = dated_last.max(self.restored_at);
        for number in (dated_last.0 + 1)..=last_edition.0 {
            self.committed_at.insert(Edition(number), now);
        }
        while self.committed_at.len() > DATED_RECORDS {
            self.committed_at.pop_first();
        }
        let wanted = self.log.state().desired.models.iter().map(|(model, wish)| (model.clone(), wish.weights));
        let wanted: BTreeMap<ModelName, WeightsEdition> = wanted.collect();
        if wanted == self.wanted_weights {
            return;
        }
        for (model, weights) in std::mem::replace(&mut self.wanted_weights, wanted) {
            if self.wanted_weights.get(&model).is_some_and(|wanted| *wanted > weights) {
                self.gave_way.insert((model, weights), now);
            }
        }
        self.gave_way.retain(|_, since| now.since(*since) < KEPT_WEIGHTS_SPAN);
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn me(&self) -> &Member {
        &self.me
    }

    pub fn state(&self) -> &FleetState {
        self.log.state()
    }

    pub fn last(&self) -> LogPosition {
        self.log.last()
    }

    pub fn has_view(&self) -> bool {
        self.view.number != ViewNumber(0)
    }

    pub(crate) fn sealed(&self) -> bool {
        self.vote.is_sealed()
    }

    pub(crate) fn is_aligned(&self) -> bool {
        self.has_view() && self.aligned == self.view.number && self.view.in_chain(self.me.id)
    }

    pub(crate) fn store(&mut self, stored: Stored) {
        self.plan.push(Effect::Store(stored));
    }

    pub(crate) fn note(&mut self, event: &'static str, detail: String) {
        self.plan.push(Effect::Note { event, detail });
    }

    /// Tells a node's agent; carried out later than `until`, it is dropped.
    pub(crate) fn tell(&mut self, node: NodeId, message: NodeDown, until: Option<Instant>) {
        self.plan.push(Effect::Tell { node, message, until });
    }

    pub(crate) fn hear(&mut self, sender: KeeperLife, message: CoreMessage, now: Instant) {
        let from = sender.id;
        match message {
            CoreMessage::Pulse(news) => self.hear_news(sender, news, now),
            CoreMessage::View(view_message) => self.hear_view(from, view_message, now),
            CoreMessage::Chain(chain_message) => self.hear_chain(from, chain_message, now),
            CoreMessage::ReadLeaseAsk { view, sent } => self.hear_read_lease_ask(from, view, sent),
            CoreMessage::ReadLeaseGiven { view, sent } => self.hear_read_lease_given(from, view, sent),
            CoreMessage::Retired { view } => self.hear_retired(from, view, now),
            CoreMessage::DutyAsk { sent } => self.hear_duty_ask(from, sent, now),
            CoreMessage::DutyGiven { sent, duties } => self.hear_duty_given(from, sent, duties, now),
            CoreMessage::Submit(submission) => self.hear_submit(submission),
            CoreMessage::Ask { ticket, question } => self.hear_ask(sender, ticket, question, now),
            CoreMessage::Outcome { ticket, outcome } => self.hear_outcome(ticket, outcome),
        }
    }

    fn pulse(&mut self, now: Instant) {
        if now.since(self.last_pulse) >= PULSE_SPAN {
            self.last_pulse = now;
            self.tell_news(now);
            self.ask_to_be_levelled(now);
            self.ask_read_lease(now);
            self.ask_duty(now);
            self.forget_the_gone(now);
        }
        self.tend_campaign(now);
        self.tend_asks(now);
    }

    pub(crate) fn news(&self, now: Instant) -> News {
        News {
            member: self.me.clone(),
            fleet: self.view.fleet,
            view: self.view.number,
            aligned: self.aligned,
            whole: self.whole,
            last: self.log.last(),
            committed: self.committed,
            tail_active: self.tail_is_active(now),
            leaving: self.retired,
            hears: self.alive(now),
        }
    }

    pub(crate) fn tell_news(&mut self, now: Instant) {
        let message = CoreMessage::Pulse(self.news(now));
        let told_members: Vec<NodeId> =
            self.acquaintances.keys().copied().filter(|member| *member != self.me.id).collect();
        for member in told_members {
            self.send(member, message.clone());
        }
        let heard_few = !self.has_view() || self.alive_voters(now) < self.view.majority();
        if heard_few {
            for address in self.wishes.seeds.clone() {
                if address != self.me.address {
                    self.knock(address, message.clone());
                }
            }
        }
    }

    fn hear_news(&mut self, sender: KeeperLife, news: News, now: Instant) {
        let from = sender.id;
        if from == self.me.id {
            return;
        }
        let address_moved = self.acquaintances.get(&from) != Some(&news.member);
        if address_moved {
            self.forget_at(&news.member.address);
            self.acquaintances.insert(from, news.member.clone());
        }
        let is_new_life = self.peers.get(&from).is_none_or(|peer| peer.life != sender.life);
        let last_news = self.note_heard(sender, &news, now);
        if is_new_life {
            // It must know this life before it can ask or answer anything.
            let own_news = CoreMessage::Pulse(self.news(now));
            self.send(from, own_news);
            self.ask_read_lease(now);
        }
        if self.view.tail() == Some(from) && news.view == self.view.number {
            self.committed = self.committed.max(news.committed);
        }
        if self.has_view() && news.view < self.view.number {
            let decided = CoreMessage::View(ViewMessage::Decided(self.view.clone()));
            self.send(from, decided);
        }
        self.watch_wellness(from, &news, now);
        self.resend_to_successor(from, &news, last_news.as_ref());
        let can_level = news.view == self.view.number && news.aligned == self.view.number;
        if can_level && self.view.predecessor(self.me.id) == Some(from) {
            self.ask_to_be_levelled(now);
        }
    }

    /// Notes that a peer was heard, and what it said before.
    fn note_heard(&mut self, sender: KeeperLife, news: &News, now: Instant) -> Option<News> {
        let heard_first =
            Peer { life: sender.life, news: None, last_heard: now, heard_since: now, stands_since: None };
        let peer = self.peers.entry(sender.id).or_insert(heard_first.clone());
        if peer.life != sender.life {
            *peer = heard_first;
        }
        if now.since(peer.last_heard) >= SUSPECT_AFTER {
            peer.heard_since = now;
        }
        peer.last_heard = now;
        peer.news.replace(news.clone())
    }

    /// Whoever was known at an address is not there any more: its machine came back without its disk.
    fn forget_at(&mut self, address: &str) {
        let me = self.me.id;
        self.acquaintances.retain(|id, member| *id == me || member.address != address);
    }

    /// Drops keepers that have long left both the view and our hearing; one that is back knocks.
    fn forget_the_gone(&mut self, now: Instant) {
        let me = self.me.id;
        let gone: Vec<NodeId> = self
            .acquaintances
            .keys()
            .copied()
            .filter(|id| *id != me && self.view.member(*id).is_none() && self.silence(*id, now) >= FORGET_AFTER)
            .collect();
        for id in gone {
            self.acquaintances.remove(&id);
            self.peers.remove(&id);
        }
    }

    /// How soon after a pulse the next is due: sooner while something is under way or somebody is silent.
    pub fn pulse_span(&self, now: Instant) -> Span {
        let is_silent = |node: &NodeId| self.silence(*node, now) >= PULSE_SPAN.times(2);
        let tail_waits = self
            .tail
            .as_ref()
            .is_some_and(|tail| !tail.begun || !tail.pending.is_empty() || !tail.leases.may_acknowledge(now));
        let is_busy = tail_waits
            || self.retired
            || self.sealed()
            || self.campaign.is_some()
            || !self.waiting.is_empty()
            || !self.has_view()
            || self.view.voters.iter().any(is_silent);
        if is_busy { BUSY_PULSE } else { PULSE_SPAN }
    }

    pub(crate) fn is_alive(&self, node: NodeId, now: Instant) -> bool {
        node == self.me.id || self.peers.get(&node).is_some_and(|peer| now.since(peer.last_heard) < SUSPECT_AFTER)
    }

    /// Everybody heard of lately, this keeper included.
    pub fn alive(&self, now: Instant) -> Vec<NodeId> {
        let heard_peers = self.peers.keys().copied().filter(|peer| self.is_alive(*peer, now));
        heard_peers.chain([self.me.id]).collect()
    }

    pub(crate) fn alive_voters(&self, now: Instant) -> usize {
        self.view.voters.iter().filter(|voter| self.is_alive(**voter, now)).count()
    }

    /// How long a peer has been silent; counted from our own start if it was never heard.
    pub(crate) fn silence(&self, node: NodeId, now: Instant) -> Span {
        if node == self.me.id {
            return Span(0);
        }
        now.since(self.peers.get(&node).map_or(self.began, |peer| peer.last_heard))
    }

    pub(crate) fn peer_news(&self, node: NodeId) -> Option<&News> {
        self.peers.get(&node).and_then(|peer| peer.news.as_ref())
    }
}
