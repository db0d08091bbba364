//! The executor: the one owner of the coordinator and of the data folder. It works through a queue of commands
//! batch by batch; what a batch stores is synced in one go, and only then do its messages leave. What
//! is true only until an instant is dropped if that instant has passed by then. A disk that refuses makes the
//! executor stand still until it takes writes again: for the others this keeper is lost until then.

use crate::prelude::*;

const BATCH: usize = 256;

pub enum ExecutorCommand {
    Link(LinkEvent<Inbound>),
    Ask { question: CoreQuery, limit: Span, reply: oneshot::Sender<QueryOutcome> },
    Seeds(Vec<String>),
    ListingRead { read: Option<(String, ListingNumber)>, asked: Instant },
    HandOver(DutyKind),
    Stop,
}

/// What other duties need of the state: not the operators' words, of which there may be much.
fn glance(state: &FleetState) -> FleetState {
    FleetState {
        edition: state.edition,
        desired_edition: state.desired_edition,
        desired: glance_at_document(&state.desired),
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

fn glance_at_document(desired: &DesiredState) -> DesiredState {
    DesiredState {
        models: desired.models.clone(),
        adapters: desired.adapters.clone(),
        warming: desired.warming,
        zones: desired.zones.clone(),
        ..DesiredState::default()
    }
}

/// How far a keeper that was told to stop has come.
#[derive(Clone, Copy, Debug)]
enum Stopping {
    /// It waits until the agreed view does without it, but no longer than this.
    Leaving { until: Instant },
    /// It ends then.
    Parting { until: Instant },
}

impl Stopping {
    fn until(self) -> Instant {
        match self {
            Stopping::Leaving { until } | Stopping::Parting { until } => until,
        }
    }
}

struct LinkPlace {
    link: Link,
    hello: Hello,
}

pub struct Executor {
    pub coordinator: Coordinator,
    pub filing: Filing,
    pub post: PeerSender,
    pub shelf: Shelf,
    pub fleet: Arc<AtomicU64>,
    patience: Patience,
    links: HashMap<LinkId, LinkPlace>,
    nodes: HashMap<NodeId, LinkId>,
    replies: HashMap<u64, oneshot::Sender<QueryOutcome>>,
    next_ticket: u64,
    last_pulse: Instant,
    remembered: Vec<String>,
    shown_edition: Option<Edition>,
    shown_state: Arc<FleetState>,
    last_sync_micros: u64,
    /// Planned when the machine heard what was not sent; carried out with the next batch.
    replanned: Vec<Effect>,
}

impl Executor {
    pub fn new(
        coordinator: Coordinator,
        filing: Filing,
        post: PeerSender,
        shelf: Shelf,
        fleet: Arc<AtomicU64>,
        life: u64,
        patience: Patience,
    ) -> Executor {
        Executor {
            coordinator,
            filing,
            post,
            shelf,
            fleet,
            patience,
            links: HashMap::new(),
            nodes: HashMap::new(),
            replies: HashMap::new(),
            next_ticket: life,
            last_pulse: Instant(0),
            remembered: Vec::new(),
            shown_edition: None,
            shown_state: Arc::default(),
            last_sync_micros: 0,
            replanned: Vec::new(),
        }
    }

    /// Works until told to stop, or until the data folder is found damaged.
    pub fn work(&mut self) -> Result<(), DiskFault> {
        let mut stopping: Option<Stopping> = None;
        loop {
            let Some(batch) = self.patience.next(self.pause(stopping), BATCH) else { return Ok(()) };
            let mut plan = std::mem::take(&mut self.replanned);
            for command in batch {
                match command {
                    ExecutorCommand::Link(link_event) => self.take_link_event(link_event, &mut plan),
                    ExecutorCommand::Ask { question, limit, reply } => {
                        self.next_ticket = self.next_ticket.wrapping_add(1);
                        let ticket = self.next_ticket;
                        self.replies.insert(ticket, reply);
                        let now = boot_now();
                        plan.extend(
                            self.coordinator.step(Input::Query { ticket, question, limit: now + limit }, now),
                        );
                    }
                    ExecutorCommand::Seeds(seeds) => {
                        plan.extend(self.coordinator.step(Input::Seeds(seeds), boot_now()))
                    }
                    ExecutorCommand::ListingRead { read, asked } => {
                        plan.extend(self.coordinator.step(Input::ListingRead { read, asked }, boot_now()));
                    }
                    ExecutorCommand::HandOver(kind) => {
                        plan.extend(self.coordinator.step(Input::HandOver(kind), boot_now()));
                    }
                    ExecutorCommand::Stop => {
                        let now = boot_now();
                        stopping.get_or_insert(Stopping::Leaving { until: now + LEAVE_TIMEOUT });
                        plan.extend(self.coordinator.step(Input::Retire, now));
                    }
                }
            }
            let now = boot_now();
            if now.since(self.last_pulse) >= self.coordinator.tick_interval(now) {
                self.last_pulse = now;
                plan.extend(self.coordinator.step(Input::Tick, now));
            }
            let goes_on = self.carry_out(plan)? && self.show()?;
            if !goes_on {
                return Ok(());
            }
            stopping = stopping.map(|stage| self.go_on_stopping(stage));
            if let Some(Stopping::Parting { until }) = stopping
                && boot_now() >= until
            {
                return Ok(());
            }
        }
    }

    /// A stopping keeper parts once it has left the view, or once it has waited long enough for that.
    fn go_on_stopping(&mut self, stage: Stopping) -> Stopping {
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
        // Whoever still waits is told now that nothing is known, while it can be told.
        self.replies.clear();
        Stopping::Parting { until: now + DRAIN_PERIOD }
    }

    /// How long nothing is due.
    fn pause(&self, stopping: Option<Stopping>) -> Duration {
        let now = boot_now();
        if !self.replanned.is_empty() {
            return Duration::ZERO;
        }
        let due = self.last_pulse + self.coordinator.tick_interval(now);
        let due = stopping.map_or(due, |stage| due.min(stage.until()));
        due.since(now).as_duration()
    }

    fn take_link_event(&mut self, link_event: LinkEvent<Inbound>, plan: &mut Vec<Effect>) {
        match link_event {
            LinkEvent::Up(link, hello) => self.take_link(link, hello, plan),
            LinkEvent::Message(id, message) => {
                let Some(place) = self.links.get(&id) else { return };
                let from = place.hello.speaker;
                let input = match (place.hello.purpose, message) {
                    (Purpose::Keeper, Inbound::Core(envelope)) if envelope.from.id == from => Input::Peer(envelope),
                    (Purpose::Agent, Inbound::Node(message)) => Input::Node { node: from, message },
                    _ => {
                        event!(warn, "link_refused", from = from, reason = "message of another purpose or sender");
                        place.link.close();
                        return;
                    }
                };
                plan.extend(self.coordinator.step(input, boot_now()));
            }
            LinkEvent::Down(id, _) => {
                let Some(place) = self.links.remove(&id) else { return };
                let node = place.hello.speaker;
                if self.nodes.get(&node) == Some(&id) {
                    self.nodes.remove(&node);
                    drop_tells(plan, node);
                    plan.extend(self.coordinator.step(Input::NodeDisconnected { node }, boot_now()));
                }
            }
        }
    }

    fn take_link(&mut self, link: Link, hello: Hello, plan: &mut Vec<Effect>) {
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
            if let Some(earlier_id) = self.nodes.insert(node, link.id) {
                if let Some(earlier) = self.links.get(&earlier_id) {
                    earlier.link.close();
                }
                drop_tells(plan, node);
                plan.extend(self.coordinator.step(Input::NodeDisconnected { node }, boot_now()));
            }
        }
        self.links.insert(link.id, LinkPlace { link, hello });
    }

    /// Stores what is to be stored, and only then sends the rest; false if told to stop before that.
    fn carry_out(&mut self, plan: Vec<Effect>) -> Result<bool, DiskFault> {
        let mut stored_batch = Vec::new();
        let mut sent_effects = Vec::new();
        for effect in plan {
            match effect {
                Effect::Store(stored) => stored_batch.push(stored),
                other => sent_effects.push(other),
            }
        }
        if !stored_batch.is_empty() {
            let sync_began = boot_now();
            let goes_on = self.patience.insist(
                || self.filing.store(&stored_batch, self.coordinator.last(), self.coordinator.state()),
                |waited| refused(&self.shelf, &mut self.replies, waited),
            )?;
            if goes_on.is_none() {
                return Ok(false);
            }
            self.last_sync_micros = boot_now().since(sync_began).0 / 1000;
        }
        let mut dispatch = Dispatch::default();
        for effect in sent_effects {
            if let Some(effect) = dispatch.admit(effect, boot_now()) {
                self.send_out(effect);
            }
        }
        for input in dispatch.into_inputs() {
            self.replanned.extend(self.coordinator.step(input, boot_now()));
        }
        Ok(true)
    }

    fn send_out(&mut self, effect: Effect) {
        match effect {
            Effect::Store(_) => {}
            Effect::Send { address, envelope, .. } => self.post.send(&address, &Inbound::Core(envelope)),
            Effect::SendToNode { node, message, .. } => {
                let Some(place) = self.nodes.get(&node).and_then(|id| self.links.get(id)) else { return };
                place.link.send(&message);
            }
            Effect::Outcome { ticket, outcome } => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    let _ = reply.send(outcome);
                }
            }
            Effect::LogEvent { event, detail } => log::info!(target: "haremount", "event={event} {detail}"),
        }
    }

    /// Publishes what the operators' interface and the duties may see; false if told to stop before that.
    fn show(&mut self) -> Result<bool, DiskFault> {
        let now = boot_now();
        let view = self.coordinator.view().clone();
        self.fleet.store(view.fleet.0, Ordering::SeqCst);
        if self.shown_edition != Some(self.coordinator.last().edition) {
            self.shown_edition = Some(self.coordinator.last().edition);
            self.shown_state = Arc::new(glance(self.coordinator.state()));
        }
        let addresses: Vec<String> = view.members.iter().map(|member| member.address.clone()).collect();
        if !addresses.is_empty() && addresses != self.remembered {
            let goes_on = self.patience.insist(
                || self.filing.remember_addresses(&addresses),
                |waited| refused(&self.shelf, &mut self.replies, waited),
            )?;
            if goes_on.is_none() {
                return Ok(false);
            }
            self.remembered = addresses;
        }
        let seen = Seen {
            tail_active: self.coordinator.tail_is_active(now),
            alive: self.coordinator.live_keepers(now),
            census: self.coordinator.actionable_duty(DutyKind::Census, now),
            conductor: self.coordinator.actionable_duty(DutyKind::Conductor, now),
            named_conductor: self.coordinator.leased_duty(DutyKind::Conductor, now),
            view,
            disturbed: self.coordinator.last_liveness_change(now),
            state: Arc::clone(&self.shown_state),
            last_sync_micros: self.last_sync_micros,
            disk_refuses: false,
        };
        let seen = Arc::new(seen);
        let earlier = self.shelf.put(Arc::clone(&seen));
        if seen.is_news_after(&earlier, now) {
            self.shelf.changed.notify_waiters();
        }
        Ok(true)
    }
}

/// What was planned for a node's earlier link must not go out on the next one: the node begins anew there.
fn drop_tells(plan: &mut Vec<Effect>, to: NodeId) {
    plan.retain(|effect| !matches!(effect, Effect::SendToNode { node, .. } if *node == to));
}

/// Whoever waits for an answer that has not come by then is told that nothing is known.
fn refused(shelf: &Shelf, replies: &mut HashMap<u64, oneshot::Sender<QueryOutcome>>, waited: Span) {
    shelf.put_refusal();
    if waited >= STALE_AFTER {
        replies.clear();
    }
}

/// The way other duties ask the executor.
#[derive(Clone)]
pub struct ExecutorClient {
    pub queue: Sender<ExecutorCommand>,
}

impl ExecutorClient {
    pub async fn ask(&self, question: CoreQuery, limit: Span) -> QueryOutcome {
        let (reply, answer) = oneshot::channel();
        if self.queue.try_send(ExecutorCommand::Ask { question, limit, reply }).is_err() {
            return QueryOutcome::Unknown;
        }
        answer.await.unwrap_or(QueryOutcome::Unknown)
    }

    pub async fn submit(&self, request: RequestId, command: Command, limit: Span) -> QueryOutcome {
        self.ask(CoreQuery::Submit(Submission { request, command }), limit).await
    }
}
