//! The executor: the single owner of the coordinator and of the data folder. It processes a queue of commands in
//! batches. What a batch stores is synced once, and only then are its messages sent; a message that is valid only
//! until an instant is dropped if that instant has passed by then. While the disk refuses writes, the executor
//! waits, and the other keepers suspect this one.

use crate::prelude::*;

const MAX_BATCH_COMMANDS: usize = 256;

/// A command to the executor.
pub enum ExecutorCommand {
    Link(LinkEvent<Inbound>),
    Query {
        query: CoreQuery,
        timeout: Span,
        reply: oneshot::Sender<QueryOutcome>,
    },
    Seeds(Vec<String>),
    /// The boot identity and number of the listing read, or `None` after a failed read that began at `requested_at`.
    ListingRead {
        read: Option<(String, ListingNumber)>,
        requested_at: Instant,
    },
    /// Hands a duty over to another keeper.
    HandOver(DutyKind),
    Stop,
}

/// The part of the state that other tasks need. It leaves out the operators' documents, which may be large.
fn summarize_state(state: &FleetState) -> FleetState {
    FleetState {
        edition: state.edition,
        desired_edition: state.desired_edition,
        desired: summarize_document(&state.desired),
        adapters: state.adapters.clone(),
        listing: state.listing.clone(),
        listing_edition: state.listing_edition,
        engine_statuses: state.engine_statuses.clone(),
        duties: state.duties.clone(),
        plans: state.plans.clone(),
        drained: state.drained.clone(),
        ..FleetState::default()
    }
}

fn summarize_document(desired: &DesiredState) -> DesiredState {
    DesiredState {
        models: desired.models.clone(),
        adapters: desired.adapters.clone(),
        warming: desired.warming,
        zones: desired.zones.clone(),
        ..DesiredState::default()
    }
}

/// The stages of stopping.
#[derive(Clone, Copy, Debug)]
enum Stopping {
    /// Waits until the view no longer includes this keeper, at most until this instant.
    Leaving { until: Instant },
    /// Sends out what is left and ends at this instant.
    Draining { until: Instant },
}

impl Stopping {
    fn until(self) -> Instant {
        match self {
            Stopping::Leaving { until } | Stopping::Draining { until } => until,
        }
    }
}

/// An open link and the hello of its peer.
struct LinkEntry {
    link: Link,
    hello: Hello,
}

/// Executes commands on the coordinator and the coordinator's effects.
pub struct Executor {
    pub coordinator: Coordinator,
    pub state_store: StateStore,
    pub post: PeerSender,
    pub publisher: SharedPublisher,
    pub fleet: Arc<AtomicU64>,
    retry_queue: RetryQueue,
    links: HashMap<LinkId, LinkEntry>,
    node_links: HashMap<NodeId, LinkId>,
    replies: HashMap<u64, oneshot::Sender<QueryOutcome>>,
    next_ticket: u64,
    last_tick: Instant,
    remembered_addresses: Vec<String>,
    published_edition: Option<Edition>,
    published_state: Arc<FleetState>,
    last_sync_micros: u64,
    /// Effects of the coordinator's response to messages that were not sent; executed with the next batch.
    deferred_effects: Vec<Effect>,
}

impl Executor {
    pub fn new(
        coordinator: Coordinator,
        state_store: StateStore,
        post: PeerSender,
        publisher: SharedPublisher,
        fleet: Arc<AtomicU64>,
        incarnation: u64,
        retry_queue: RetryQueue,
    ) -> Executor {
        Executor {
            coordinator,
            state_store,
            post,
            publisher,
            fleet,
            retry_queue,
            links: HashMap::new(),
            node_links: HashMap::new(),
            replies: HashMap::new(),
            next_ticket: incarnation,
            last_tick: Instant(0),
            remembered_addresses: Vec::new(),
            published_edition: None,
            published_state: Arc::default(),
            last_sync_micros: 0,
            deferred_effects: Vec::new(),
        }
    }

    /// Runs until a stop command has been carried out or the data folder is found damaged.
    pub fn run(&mut self) -> Result<(), DiskFault> {
        let mut stopping: Option<Stopping> = None;
        loop {
            let Some(batch) = self.retry_queue.next_batch(self.time_until_due(stopping), MAX_BATCH_COMMANDS) else {
                return Ok(());
            };
            let mut effects = std::mem::take(&mut self.deferred_effects);
            for command in batch {
                match command {
                    ExecutorCommand::Link(link_event) => self.handle_link_event(link_event, &mut effects),
                    ExecutorCommand::Query { query, timeout, reply } => {
                        self.next_ticket = self.next_ticket.wrapping_add(1);
                        let ticket = self.next_ticket;
                        self.replies.insert(ticket, reply);
                        let now = boot_now();
                        effects.extend(
                            self.coordinator.step(Input::Query { ticket, query, deadline: now + timeout }, now),
                        );
                    }
                    ExecutorCommand::Seeds(seeds) => {
                        effects.extend(self.coordinator.step(Input::Seeds(seeds), boot_now()))
                    }
                    ExecutorCommand::ListingRead { read, requested_at } => {
                        effects.extend(self.coordinator.step(Input::ListingRead { read, requested_at }, boot_now()));
                    }
                    ExecutorCommand::HandOver(kind) => {
                        effects.extend(self.coordinator.step(Input::HandOver(kind), boot_now()));
                    }
                    ExecutorCommand::Stop => {
                        let now = boot_now();
                        stopping.get_or_insert(Stopping::Leaving { until: now + LEAVE_TIMEOUT });
                        effects.extend(self.coordinator.step(Input::Retire, now));
                    }
                }
            }
            let now = boot_now();
            if now.since(self.last_tick) >= self.coordinator.tick_interval(now) {
                self.last_tick = now;
                effects.extend(self.coordinator.step(Input::Tick, now));
            }
            let continues = self.execute(effects)? && self.publish()?;
            if !continues {
                return Ok(());
            }
            stopping = stopping.map(|stage| self.advance_stopping(stage));
            if let Some(Stopping::Draining { until }) = stopping
                && boot_now() >= until
            {
                return Ok(());
            }
        }
    }

    /// Goes on to draining once this keeper has left the view or has waited long enough for that.
    fn advance_stopping(&mut self, stage: Stopping) -> Stopping {
        let Stopping::Leaving { until } = stage else { return stage };
        let now = boot_now();
        let has_left = self.coordinator.has_left();
        if !has_left && now < until {
            return stage;
        }
        match has_left {
            true => event!(info, "left", view = self.coordinator.view().number),
            false => event!(warn, "not_left", reason = self.coordinator.leave_blocker(now)),
        }
        // Pending queries are answered as unknown now, while their answers can still be sent.
        self.replies.clear();
        Stopping::Draining { until: now + DRAIN_PERIOD }
    }

    /// The time until the next tick or stop deadline.
    fn time_until_due(&self, stopping: Option<Stopping>) -> Duration {
        let now = boot_now();
        if !self.deferred_effects.is_empty() {
            return Duration::ZERO;
        }
        let due = self.last_tick + self.coordinator.tick_interval(now);
        let due = stopping.map_or(due, |stage| due.min(stage.until()));
        due.since(now).as_duration()
    }

    fn handle_link_event(&mut self, link_event: LinkEvent<Inbound>, effects: &mut Vec<Effect>) {
        match link_event {
            LinkEvent::Up(link, hello) => self.add_link(link, hello, effects),
            LinkEvent::Message(id, message) => {
                let Some(entry) = self.links.get(&id) else { return };
                let from = entry.hello.speaker;
                let input = match (entry.hello.purpose, message) {
                    (Purpose::Keeper, Inbound::Core(envelope)) if envelope.from.id == from => Input::Peer(envelope),
                    (Purpose::Agent, Inbound::Node(message)) => Input::Node { node: from, message },
                    _ => {
                        event!(warn, "link_refused", from = from, reason = "message of another purpose or sender");
                        entry.link.close();
                        return;
                    }
                };
                effects.extend(self.coordinator.step(input, boot_now()));
            }
            LinkEvent::Down(id, _) => {
                let Some(entry) = self.links.remove(&id) else { return };
                let node = entry.hello.speaker;
                if self.node_links.get(&node) == Some(&id) {
                    self.node_links.remove(&node);
                    drop_messages_to(effects, node);
                    effects.extend(self.coordinator.step(Input::NodeDisconnected { node }, boot_now()));
                }
            }
        }
    }

    fn add_link(&mut self, link: Link, hello: Hello, effects: &mut Vec<Effect>) {
        let own_fleet = self.coordinator.view().fleet;
        let other_fleet = own_fleet != FleetId(0) && hello.fleet != FleetId(0) && hello.fleet != own_fleet;
        if other_fleet {
            event!(
                warn,
                "link_refused",
                from = hello.speaker,
                reason = "wrong fleet",
                theirs = hello.fleet,
                ours = own_fleet
            );
            link.close();
            return;
        }
        if hello.purpose == Purpose::Agent {
            let node = hello.speaker;
            if let Some(earlier_id) = self.node_links.insert(node, link.id) {
                if let Some(earlier) = self.links.get(&earlier_id) {
                    earlier.link.close();
                }
                drop_messages_to(effects, node);
                effects.extend(self.coordinator.step(Input::NodeDisconnected { node }, boot_now()));
            }
        }
        self.links.insert(link.id, LinkEntry { link, hello });
    }

    /// Stores what the effects store and only then executes the others; false on a stop command while storing.
    fn execute(&mut self, effects: Vec<Effect>) -> Result<bool, DiskFault> {
        let mut batch = Vec::new();
        let mut remaining_effects = Vec::new();
        for effect in effects {
            match effect {
                Effect::Store(stored) => batch.push(stored),
                other => remaining_effects.push(other),
            }
        }
        if !batch.is_empty() {
            let sync_began = boot_now();
            let continues = self.retry_queue.run_with_retry(
                || self.state_store.store(&batch, self.coordinator.last(), self.coordinator.state()),
                |waited| handle_disk_refusal(&self.publisher, &mut self.replies, waited),
            )?;
            if continues.is_none() {
                return Ok(false);
            }
            self.last_sync_micros = boot_now().since(sync_began).0 / 1000;
        }
        let mut dispatch = Dispatch::default();
        for effect in remaining_effects {
            if let Some(effect) = dispatch.admit(effect, boot_now()) {
                self.perform(effect);
            }
        }
        for input in dispatch.into_inputs() {
            self.deferred_effects.extend(self.coordinator.step(input, boot_now()));
        }
        Ok(true)
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Store(_) => {}
            Effect::Send { address, envelope, .. } => self.post.send(&address, &Inbound::Core(envelope)),
            Effect::SendToNode { node, message, .. } => {
                let Some(entry) = self.node_links.get(&node).and_then(|id| self.links.get(id)) else { return };
                entry.link.send(&message);
            }
            Effect::Outcome { ticket, outcome } => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    let _ = reply.send(outcome);
                }
            }
            Effect::LogEvent { event, detail } => log::info!(target: "haremount", "event={event} {detail}"),
        }
    }

    /// Publishes a snapshot for the operators' interface and the duties; false on a stop command while storing.
    fn publish(&mut self) -> Result<bool, DiskFault> {
        let now = boot_now();
        let view = self.coordinator.view().clone();
        self.fleet.store(view.fleet.0, Ordering::SeqCst);
        if self.published_edition != Some(self.coordinator.last().edition) {
            self.published_edition = Some(self.coordinator.last().edition);
            self.published_state = Arc::new(summarize_state(self.coordinator.state()));
        }
        let addresses: Vec<String> = view.members.iter().map(|member| member.address.clone()).collect();
        if !addresses.is_empty() && addresses != self.remembered_addresses {
            let continues = self.retry_queue.run_with_retry(
                || self.state_store.remember_addresses(&addresses),
                |waited| handle_disk_refusal(&self.publisher, &mut self.replies, waited),
            )?;
            if continues.is_none() {
                return Ok(false);
            }
            self.remembered_addresses = addresses;
        }
        let snapshot = KeeperSnapshot {
            tail_active: self.coordinator.tail_is_active(now),
            alive: self.coordinator.live_keepers(now),
            census: self.coordinator.actionable_duty(DutyKind::Census, now),
            conductor: self.coordinator.actionable_duty(DutyKind::Conductor, now),
            leased_conductor: self.coordinator.leased_duty(DutyKind::Conductor, now),
            view,
            last_restart: self.coordinator.last_restart(),
            state: Arc::clone(&self.published_state),
            last_sync_micros: self.last_sync_micros,
            disk_refuses: false,
        };
        let snapshot = Arc::new(snapshot);
        let earlier = self.publisher.replace(Arc::clone(&snapshot));
        log_liveness_changes(&earlier.alive, &snapshot.alive);
        if snapshot.requires_notification_after(&earlier, now) {
            self.publisher.changed.notify_waiters();
        }
        Ok(true)
    }
}

/// Logs the keepers that fell silent or are heard again.
fn log_liveness_changes(earlier: &[NodeId], now: &[NodeId]) {
    for keeper in earlier.iter().filter(|keeper| !now.contains(keeper)) {
        event!(info, "keeper_silent", keeper = keeper);
    }
    for keeper in now.iter().filter(|keeper| !earlier.contains(keeper)) {
        event!(info, "keeper_heard", keeper = keeper);
    }
}

/// Drops messages planned for a node's earlier link: on its next link the node starts over.
fn drop_messages_to(effects: &mut Vec<Effect>, to: NodeId) {
    effects.retain(|effect| !matches!(effect, Effect::SendToNode { node, .. } if *node == to));
}

/// Publishes the refusal; once it has lasted for `STALE_AFTER`, answers all pending queries as unknown.
fn handle_disk_refusal(
    publisher: &SharedPublisher,
    replies: &mut HashMap<u64, oneshot::Sender<QueryOutcome>>,
    waited: Span,
) {
    publisher.publish_disk_refusal();
    if waited >= STALE_AFTER {
        replies.clear();
    }
}

/// Sends commands to the executor from other tasks.
#[derive(Clone)]
pub struct ExecutorClient {
    pub queue: Sender<ExecutorCommand>,
}

impl ExecutorClient {
    /// Sends a query to the coordinator; the outcome is `Unknown` if the queue is full or no answer comes.
    pub async fn query(&self, query: CoreQuery, timeout: Span) -> QueryOutcome {
        let (reply, outcome) = oneshot::channel();
        if self.queue.try_send(ExecutorCommand::Query { query, timeout, reply }).is_err() {
            return QueryOutcome::Unknown;
        }
        outcome.await.unwrap_or(QueryOutcome::Unknown)
    }

    /// Submits a command to the chain and waits for its outcome.
    pub async fn submit(&self, request: RequestId, command: Command, timeout: Span) -> QueryOutcome {
        self.query(CoreQuery::Submit(Submission { request, command }), timeout).await
    }
}
