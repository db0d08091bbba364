//! An agent's life.

use crate::prelude::*;

const BATCH: usize = 256;

/// All that an agent is told at its start.
pub struct AgentConfig {
    /// Where this machine's router arrives.
    pub listener: std::net::TcpListener,
    pub seeds: Vec<String>,
    /// How long a stopping agent waits for its router to end first.
    pub router_exit_timeout: Span,
}

/// What signals do to a running agent.
#[derive(Clone)]
pub struct AgentHandle {
    queue: Sender<AgentCommand>,
    pub identity: NodeId,
}

impl AgentHandle {
    pub fn stop(&self) {
        let _ = self.queue.send(AgentCommand::Stop);
    }

    pub fn set_seeds(&self, seeds: Vec<String>) {
        let _ = self.queue.send(AgentCommand::Seeds(seeds));
    }
}

/// Runs an agent until it is told to stop. `begun` is called once everything is in place.
pub fn run_agent(config: AgentConfig, begun: impl FnOnce(AgentHandle) -> Result<(), Report>) -> Result<(), Report> {
    let node = NodeId::random();
    let fleet = Arc::new(AtomicU64::new(0));
    let (queue, commands) = bounded_queue::<AgentCommand>(4096);
    let router_queue = queue.clone();
    let hello_fleet = Arc::clone(&fleet);
    let own_hello = move || Hello::new(FleetId(hello_fleet.load(Ordering::SeqCst)), node, Purpose::Agent);
    accept_links(config.listener, own_hello, move |link_event| {
        router_queue.send(AgentCommand::Router(link_event)).is_ok()
    });
    begun(AgentHandle { queue: queue.clone(), identity: node })?;
    event!(info, "started", id = node);
    let subscription = Subscription::new(config.seeds, node.0 as usize % 64);
    let mut agent = Agent { subscription, node, queue, core: None, router: None, dial_number: 0, fleet };
    agent.work(&commands, config.router_exit_timeout);
    event!(info, "stopped");
    Ok(())
}

enum AgentCommand {
    Core { dial_number: u64, link_event: LinkEvent<KeeperToAgent> },
    CoreEnded { dial_number: u64 },
    Router(LinkEvent<RouterToAgent>),
    Seeds(Vec<String>),
    Stop,
}

struct Agent {
    subscription: Subscription,
    node: NodeId,
    queue: Sender<AgentCommand>,
    core: Option<Link>,
    router: Option<Link>,
    dial_number: u64,
    fleet: Arc<AtomicU64>,
}

impl Agent {
    fn work(&mut self, commands: &Receiver<AgentCommand>, router_exit_timeout: Span) {
        let mut next_tick = Instant(0);
        let mut stops_at: Option<Instant> = None;
        loop {
            let due = stops_at.map_or(next_tick, |stops_at| next_tick.min(stops_at));
            let Some(batch) = receive_batch(commands, due.since(boot_now()).as_duration(), BATCH) else { return };
            for command in batch {
                match command {
                    AgentCommand::Stop => {
                        stops_at.get_or_insert(boot_now() + router_exit_timeout);
                    }
                    command => self.take(command),
                }
            }
            let now = boot_now();
            let is_over = self.router.is_none() || stops_at.is_some_and(|stops_at| now >= stops_at);
            if stops_at.is_some() && is_over {
                return;
            }
            if now >= next_tick {
                self.step(SubscriptionInput::Tick);
            }
            next_tick = self.subscription.next_tick(now);
        }
    }

    fn step(&mut self, input: SubscriptionInput) {
        let plan = self.subscription.step(input, boot_now());
        self.fleet.store(self.subscription.fleet().0, Ordering::SeqCst);
        for effect in plan {
            self.carry_out(effect);
        }
    }

    fn take(&mut self, command: AgentCommand) {
        match command {
            AgentCommand::Core { dial_number, link_event } => {
                if dial_number != self.dial_number {
                    if let LinkEvent::Up(late_link, _) = link_event {
                        late_link.close();
                    }
                    return;
                }
                match link_event {
                    LinkEvent::Up(link, _) => {
                        self.core = Some(link);
                        self.step(SubscriptionInput::CoreConnected);
                    }
                    LinkEvent::Said(_, message) => self.step(SubscriptionInput::Core(message)),
                    LinkEvent::Down(..) => {}
                }
            }
            AgentCommand::CoreEnded { dial_number } => {
                if dial_number == self.dial_number {
                    self.core = None;
                    self.step(SubscriptionInput::CoreDisconnected);
                }
            }
            AgentCommand::Router(link_event) => self.take_router(link_event),
            AgentCommand::Seeds(seeds) => self.step(SubscriptionInput::Seeds(seeds)),
            AgentCommand::Stop => {}
        }
    }

    fn is_router(&self, id: LinkId) -> bool {
        self.router.as_ref().is_some_and(|router| router.id == id)
    }

    fn take_router(&mut self, link_event: LinkEvent<RouterToAgent>) {
        match link_event {
            LinkEvent::Up(link, hello) => {
                if hello.purpose != Purpose::Router {
                    event!(warn, "link_refused", reason = "not a router");
                    link.close();
                    return;
                }
                if let Some(earlier) = self.router.replace(link) {
                    earlier.close();
                }
                event!(info, "router_up", router = hello.speaker);
                self.step(SubscriptionInput::RouterConnected);
            }
            LinkEvent::Said(id, message) => {
                if self.is_router(id) {
                    self.step(SubscriptionInput::Router(message));
                }
            }
            LinkEvent::Down(id, reason) => {
                if self.is_router(id) {
                    self.router = None;
                    event!(warn, "router_down", reason = reason);
                    self.step(SubscriptionInput::RouterDisconnected);
                }
            }
        }
    }

    fn carry_out(&mut self, effect: SubscriptionEffect) {
        match effect {
            SubscriptionEffect::Dial(address) => self.dial(address),
            SubscriptionEffect::SendToCore(message) => {
                if let Some(core) = &self.core {
                    core.say(&wire::prelude::Inbound::Node(message));
                }
            }
            SubscriptionEffect::SendToRouter(message) => {
                if let Some(router) = &self.router {
                    router.say(&message);
                }
            }
            SubscriptionEffect::LogEvent { event, detail } => {
                log::warn!(target: "haremount", "event={event} {detail}")
            }
        }
    }

    fn dial(&mut self, address: String) {
        if let Some(core) = self.core.take() {
            core.close();
        }
        self.dial_number += 1;
        let dial_number = self.dial_number;
        let own_hello = Hello::new(self.subscription.fleet(), self.node, Purpose::Agent);
        let queue = self.queue.clone();
        event!(debug, "dials", address = address);
        spawn_thread("core-link", move || {
            let tell = |link_event| queue.send(AgentCommand::Core { dial_number, link_event }).is_ok();
            if let Err(reason) = dial_and_hold(&address, own_hello, &tell) {
                event!(debug, "dial_fault", address = address, reason = reason);
            }
            let _ = queue.send(AgentCommand::CoreEnded { dial_number });
        });
    }
}
