//! The state machine: its state, input dispatch, and heartbeats between keepers.

use crate::prelude::*;
/// The time between two heartbeats of a keeper.
pub const HEARTBEAT_INTERVAL: Span = Span::millis(200);
/// The number of recent records whose commit time is remembered.
const MAX_COMMIT_TIMES: usize = 1024;
/// Longer than any router keeps using superseded weights.
const SUPERSEDED_WEIGHTS_RETENTION: Span = Span::seconds(60);
/// A keeper not heard for this long is suspected to have failed.
pub const SUSPECT_TIMEOUT: Span = Span::millis(800);
/// Tick interval while an operation is in progress.
const BUSY_TICK_INTERVAL: Span = Span::millis(50);
/// Keepers outside the view are forgotten after this long without a message.
const FORGET_TIMEOUT: Span = Span::seconds(30);

/// The settings of a keeper.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorSettings {
    /// Whether node leases are granted only if this keeper itself has read a matching listing recently.
    pub requires_fresh_listing: bool,
    /// The number of voters up to which the core grows.
    pub core_size: usize,
    /// Whether the number of voters is not configured. A new keeper then adds a seat only while all voters are live,
    /// and takes a failed voter's seat otherwise; a seat that stays vacant is removed.
    pub automatic_size: bool,
    pub seeds: Vec<String>,
    pub timing: Timing,
}

/// Another keeper as heard by this one.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The incarnation heard last.
    pub(crate) incarnation: u64,
    pub(crate) status: Option<KeeperStatus>,
    pub(crate) last_heard: Instant,
    /// Start of the current uninterrupted period in which it was heard.
    pub(crate) heard_since: Instant,
    /// Since when it lags behind this keeper as its successor, or is inactive as the tail.
    pub(crate) stalled_since: Option<Instant>,
}

/// The state machine of one keeper.
#[derive(Clone, Debug)]
pub struct Coordinator {
    pub(crate) me: Member,
    /// Different for each start of the process.
    pub(crate) incarnation: u64,
    /// The keeper whose message is being handled; replies go to this incarnation.
    pub(crate) replying_to: Option<KeeperIncarnation>,
    pub(crate) misdirected: Misdirected,
    pub(crate) settings: CoordinatorSettings,
    pub(crate) view: View,
    pub(crate) vote: VoterState,
    pub(crate) sealed_since: Instant,
    pub(crate) synced_view: ViewNumber,
    /// The latest view for which this log surely holds everything committed before the view began: the log was synced
    /// in an earlier view and this keeper has been in every chain since, so nothing was committed without it.
    pub(crate) complete_view: ViewNumber,
    pub(crate) log: Log,
    pub(crate) committed: Edition,
    /// When this incarnation first saw recent records. Records seen by an earlier incarnation are missing.
    pub(crate) committed_at: BTreeMap<Edition, Instant>,
    /// The wanted weights at the last check, and when this incarnation saw earlier ones being superseded.
    pub(crate) wanted_weights: BTreeMap<ModelName, WeightsEdition>,
    pub(crate) superseded_at: BTreeMap<(ModelName, WeightsEdition), Instant>,
    pub(crate) peers: BTreeMap<NodeId, Peer>,
    pub(crate) known_members: BTreeMap<NodeId, Member>,
    /// Where the log ended when this incarnation started or when a snapshot replaced it.
    pub(crate) restored_at: Edition,
    pub(crate) nonce: u64,
    /// The nonce of the current catch-up request and when it was first sent.
    pub(crate) catch_up_request: Option<(u64, Instant)>,
    pub(crate) started_at: Instant,
    /// When this keeper started, or another was last heard before it came back as a new incarnation or with an empty
    /// disk: at that time or later its process was stopped and started. A silent keeper may just be slow.
    pub(crate) last_restart: Instant,
    pub(crate) adopted_at: Instant,
    pub(crate) campaign: Option<Campaign>,
    pub(crate) highest_round: u64,
    pub(crate) campaign_after: Instant,
    pub(crate) tail: Option<TailRole>,
    pub(crate) listing_check: ListingCheck,
    pub(crate) duty_lease: HeldLease,
    pub(crate) duties: BTreeMap<DutyKind, HeldDuty>,
    /// Whether this keeper is stopping and accepts no duties.
    pub(crate) retired: bool,
    pub(crate) pending_queries: BTreeMap<u64, PendingQuery>,
    pub(crate) last_heartbeat: Instant,
    pub(crate) inbox: VecDeque<CoreMessage>,
    pub(crate) effects: Vec<Effect>,
}

impl Coordinator {
    /// Restores a keeper from persisted state; `incarnation` differs for each start of the process.
    pub fn restore(
        me: Member,
        persisted: PersistedState,
        settings: CoordinatorSettings,
        incarnation: u64,
        now: Instant,
    ) -> Coordinator {
        let view = persisted.view.unwrap_or_default();
        let known_members = view.members.iter().map(|member| (member.id, member.clone())).collect();
        let mut restored = Coordinator {
            me,
            incarnation,
            replying_to: None,
            misdirected: Misdirected::default(),
            settings,
            view,
            vote: persisted.vote,
            sealed_since: now,
            synced_view: persisted.synced_view,
            complete_view: persisted.complete_view,
            log: Log::restore(persisted.position, persisted.state, persisted.records),
            committed: Edition(0),
            committed_at: BTreeMap::new(),
            wanted_weights: BTreeMap::new(),
            superseded_at: BTreeMap::new(),
            peers: BTreeMap::new(),
            known_members,
            restored_at: Edition(0),
            nonce: incarnation,
            catch_up_request: None,
            started_at: now,
            last_restart: now,
            adopted_at: now,
            campaign: None,
            highest_round: 0,
            campaign_after: now,
            tail: None,
            listing_check: ListingCheck::default(),
            duty_lease: HeldLease::default(),
            duties: BTreeMap::new(),
            retired: false,
            pending_queries: BTreeMap::new(),
            last_heartbeat: Instant(0),
            inbox: VecDeque::new(),
            effects: Vec::new(),
        };
        restored.clear_commit_times();
        if restored.view.tail() == Some(restored.me.id) {
            let has_begun = persisted.begun == restored.view.number;
            let wait = if has_begun { Span(0) } else { READ_LEASE + LEASE_MARGIN };
            restored.tail = Some(TailRole::new(now + wait));
        }
        restored
    }

    /// The initial persisted state of a fleet's first keeper: a view with one member, and the initial fleet state.
    pub fn bootstrap(me: &Member, fleet: FleetId, founding_state: FleetState) -> Vec<Stored> {
        Coordinator::bootstrap_with_tolerance(me, fleet, founding_state, View::default().tolerance)
    }

    /// Like `bootstrap`, for a fleet that must survive the loss of `tolerance` machines with their disks.
    pub fn bootstrap_with_tolerance(
        me: &Member,
        fleet: FleetId,
        founding_state: FleetState,
        tolerance: u64,
    ) -> Vec<Stored> {
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
        let position = LogPosition { edition: founding_state.edition, view: FOUNDING_VIEW };
        vec![
            Stored::Snapshot { position, state: Box::new(founding_state) },
            Stored::Vote(VoterState::default()),
            Stored::View(first_view),
            Stored::SyncedView(FOUNDING_VIEW),
            Stored::CompleteView(FOUNDING_VIEW),
        ]
    }
    /// Handles an input and returns the effects to carry out, in order.
    pub fn step(&mut self, input: Input, now: Instant) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now),
            Input::Peer(envelope) => self.receive(envelope, now),
            Input::Node { node, message } => self.handle_node(node, message, now),
            Input::NodeDisconnected { node } => self.forget_node(node),
            Input::NotSent { node, messages } => self.roll_back(node, &messages),
            Input::Query { ticket, query, deadline } => self.start_query(ticket, query, deadline, now),
            Input::ListingRead { read, requested_at } => self.listing_check.record_reading(read, requested_at),
            Input::Retire => self.retire(now),
            Input::HandOver(kind) => self.hand_over(kind, now),
            Input::Seeds(seeds) => self.settings.seeds = seeds,
        }
        while let Some(own_message) = self.inbox.pop_front() {
            self.handle_message(self.own_incarnation(), own_message, now);
        }
        self.record_commit_times(now);
        self.run_tail(now);
        std::mem::take(&mut self.effects)
    }

    fn record_commit_times(&mut self, now: Instant) {
        let last_edition = self.log.last().edition;
        let last_timed = self.committed_at.last_key_value().map_or(self.restored_at, |(edition, _)| *edition);
        let last_timed = last_timed.max(self.restored_at);
        for number in (last_timed.0 + 1)..=last_edition.0 {
            self.committed_at.insert(Edition(number), now);
        }
        while self.committed_at.len() > MAX_COMMIT_TIMES {
            self.committed_at.pop_first();
        }
        let wanted = self.log.state().desired.models.iter().map(|(model, spec)| (model.clone(), spec.weights));
        let wanted: BTreeMap<ModelName, WeightsEdition> = wanted.collect();
        if wanted == self.wanted_weights {
            return;
        }
        for (model, weights) in std::mem::replace(&mut self.wanted_weights, wanted) {
            if self.wanted_weights.get(&model).is_some_and(|wanted| *wanted > weights) {
                self.superseded_at.insert((model, weights), now);
            }
        }
        self.superseded_at.retain(|_, since| now.since(*since) < SUPERSEDED_WEIGHTS_RETENTION);
    }
    /// The adopted view.
    pub fn view(&self) -> &View {
        &self.view
    }
    /// This keeper as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }
    /// The fleet state after all records of the log.
    pub fn state(&self) -> &FleetState {
        self.log.state()
    }
    /// Where the log ends.
    pub fn last(&self) -> LogPosition {
        self.log.last()
    }
    /// Whether this keeper has adopted a view.
    pub fn has_view(&self) -> bool {
        self.view.number != ViewNumber(0)
    }

    pub(crate) fn sealed(&self) -> bool {
        self.vote.is_sealed()
    }

    pub(crate) fn is_synced(&self) -> bool {
        self.has_view() && self.synced_view == self.view.number && self.view.in_chain(self.me.id)
    }

    pub(crate) fn store(&mut self, stored: Stored) {
        self.effects.push(Effect::Store(stored));
    }

    pub(crate) fn log_event(&mut self, event: &'static str, detail: String) {
        self.effects.push(Effect::LogEvent { event, detail });
    }

    /// Sends to a node's agent; dropped if it would be sent after `until`.
    pub(crate) fn send_to_node(&mut self, node: NodeId, message: KeeperToAgent, until: Option<Instant>) {
        self.effects.push(Effect::SendToNode { node, message, until });
    }

    pub(crate) fn handle_message(&mut self, sender: KeeperIncarnation, message: CoreMessage, now: Instant) {
        let from = sender.id;
        match message {
            CoreMessage::Heartbeat(status) => self.handle_status(sender, status, now),
            CoreMessage::View(view_message) => self.handle_view(from, view_message, now),
            CoreMessage::Chain(chain_message) => self.handle_chain(from, chain_message, now),
            CoreMessage::ReadLeaseRequest { view, sent } => self.handle_read_lease_request(from, view, sent),
            CoreMessage::ReadLeaseGranted { view, sent } => self.handle_read_lease_granted(from, view, sent),
            CoreMessage::Retired { view } => self.handle_retired(from, view, now),
            CoreMessage::DutyLeaseRequest { sent } => self.handle_duty_lease_request(from, sent, now),
            CoreMessage::DutyLeaseGranted { sent, duties } => self.handle_duty_lease_granted(from, sent, duties, now),
            CoreMessage::Submit(submission) => self.handle_submit(submission),
            CoreMessage::Query { ticket, query } => self.handle_query(sender, ticket, query, now),
            CoreMessage::Outcome { ticket, outcome } => self.handle_outcome(ticket, outcome),
        }
    }

    fn tick(&mut self, now: Instant) {
        if now.since(self.last_heartbeat) >= HEARTBEAT_INTERVAL {
            self.last_heartbeat = now;
            self.broadcast_status(now);
            self.request_catch_up(now);
            self.request_read_lease(now);
            self.request_duty_lease(now);
            self.forget_absent_members(now);
        }
        self.run_campaign(now);
        self.retry_queries(now);
    }

    pub(crate) fn own_status(&self, now: Instant) -> KeeperStatus {
        KeeperStatus {
            member: self.me.clone(),
            fleet: self.view.fleet,
            view: self.view.number,
            synced_view: self.synced_view,
            complete_view: self.complete_view,
            last: self.log.last(),
            committed: self.committed,
            tail_active: self.tail_is_active(now),
            leaving: self.retired,
            hears: self.live_keepers(now),
        }
    }

    pub(crate) fn broadcast_status(&mut self, now: Instant) {
        let message = CoreMessage::Heartbeat(self.own_status(now));
        let receivers: Vec<NodeId> =
            self.known_members.keys().copied().filter(|member| *member != self.me.id).collect();
        for member in receivers {
            self.send(member, message.clone());
        }
        let heard_few = !self.has_view() || self.alive_voters(now) < self.view.majority();
        if heard_few {
            for address in self.settings.seeds.clone() {
                if address != self.me.address {
                    self.send_to_address(address, message.clone());
                }
            }
        }
    }

    fn handle_status(&mut self, sender: KeeperIncarnation, status: KeeperStatus, now: Instant) {
        let from = sender.id;
        if from == self.me.id {
            return;
        }
        let address_moved = self.known_members.get(&from) != Some(&status.member);
        if address_moved {
            self.note_replacement(&status.member);
            self.forget_address(&status.member.address);
            self.known_members.insert(from, status.member.clone());
        }
        let is_new_incarnation = self.peers.get(&from).is_none_or(|peer| peer.incarnation != sender.incarnation);
        let last_status = self.record_heard(sender, &status, now);
        if is_new_incarnation {
            // The peer must know this incarnation before it can send requests or replies to it.
            let own_status = CoreMessage::Heartbeat(self.own_status(now));
            self.send(from, own_status);
            self.request_read_lease(now);
        }
        if self.view.tail() == Some(from) && status.view == self.view.number {
            self.committed = self.committed.max(status.committed);
        }
        if self.has_view() && status.view < self.view.number {
            let decided = CoreMessage::View(ViewMessage::Decided(self.view.clone()));
            self.send(from, decided);
        }
        self.track_stalls(from, &status, now);
        self.resend_to_successor(from, &status, last_status.as_ref());
        let predecessor_is_synced = status.view == self.view.number && status.synced_view == self.view.number;
        if predecessor_is_synced && self.view.predecessor(self.me.id) == Some(from) {
            self.request_catch_up(now);
        }
    }

    /// Records that a peer was heard and returns its previous status.
    fn record_heard(
        &mut self,
        sender: KeeperIncarnation,
        status: &KeeperStatus,
        now: Instant,
    ) -> Option<KeeperStatus> {
        let heard_first = Peer {
            incarnation: sender.incarnation,
            status: None,
            last_heard: now,
            heard_since: now,
            stalled_since: None,
        };
        let peer = self.peers.entry(sender.id).or_insert(heard_first.clone());
        if peer.incarnation != sender.incarnation {
            self.last_restart = self.last_restart.max(peer.last_heard);
            *peer = heard_first;
        }
        if now.since(peer.last_heard) >= SUSPECT_TIMEOUT {
            peer.heard_since = now;
        }
        peer.last_heard = now;
        peer.status.replace(status.clone())
    }

    /// Records the restart of a keeper whose address now belongs to one with an empty disk.
    fn note_replacement(&mut self, successor: &Member) {
        let replaced = self.known_members.values();
        let replaced = replaced.filter(|member| member.id != successor.id && member.address == successor.address);
        let last_heard = replaced.filter_map(|member| Some(self.peers.get(&member.id)?.last_heard)).max();
        self.last_restart = self.last_restart.max(last_heard.unwrap_or_default());
    }

    /// When a keeper's process was last known to run before a restart, or this one's start if that is later.
    pub fn last_restart(&self) -> Instant {
        self.last_restart
    }

    /// Removes other members known at an address: that machine came back with an empty disk.
    fn forget_address(&mut self, address: &str) {
        let me = self.me.id;
        self.known_members.retain(|id, member| *id == me || member.address != address);
    }

    /// Removes keepers that are not in the view and have long been silent. One that returns sends a heartbeat again.
    fn forget_absent_members(&mut self, now: Instant) {
        let me = self.me.id;
        let gone: Vec<NodeId> = self
            .known_members
            .keys()
            .copied()
            .filter(|id| {
                *id != me && self.view.member(*id).is_none() && self.time_since_heard(*id, now) >= FORGET_TIMEOUT
            })
            .collect();
        for id in gone {
            self.known_members.remove(&id);
            self.peers.remove(&id);
        }
    }

    /// The time until the next tick: shorter while an operation is in progress or a voter is silent.
    pub fn tick_interval(&self, now: Instant) -> Span {
        let is_silent = |node: &NodeId| self.time_since_heard(*node, now) >= HEARTBEAT_INTERVAL.times(2);
        let tail_waits = self
            .tail
            .as_ref()
            .is_some_and(|tail| !tail.started || !tail.pending.is_empty() || !tail.leases.may_acknowledge(now));
        let is_busy = tail_waits
            || self.retired
            || self.sealed()
            || self.campaign.is_some()
            || !self.pending_queries.is_empty()
            || !self.has_view()
            || self.view.voters.iter().any(is_silent);
        if is_busy { BUSY_TICK_INTERVAL } else { HEARTBEAT_INTERVAL }
    }

    pub(crate) fn is_alive(&self, node: NodeId, now: Instant) -> bool {
        node == self.me.id || self.peers.get(&node).is_some_and(|peer| now.since(peer.last_heard) < SUSPECT_TIMEOUT)
    }

    /// All keepers heard recently, including this one.
    pub fn live_keepers(&self, now: Instant) -> Vec<NodeId> {
        let heard_peers = self.peers.keys().copied().filter(|peer| self.is_alive(*peer, now));
        heard_peers.chain([self.me.id]).collect()
    }

    pub(crate) fn alive_voters(&self, now: Instant) -> usize {
        self.view.voters.iter().filter(|voter| self.is_alive(**voter, now)).count()
    }

    /// How long a peer has been silent, counted from this keeper's start if it was never heard.
    pub(crate) fn time_since_heard(&self, node: NodeId, now: Instant) -> Span {
        if node == self.me.id {
            return Span(0);
        }
        now.since(self.peers.get(&node).map_or(self.started_at, |peer| peer.last_heard))
    }

    pub(crate) fn peer_status(&self, node: NodeId) -> Option<&KeeperStatus> {
        self.peers.get(&node).and_then(|peer| peer.status.as_ref())
    }
}
