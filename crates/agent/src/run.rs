//! Runs an agent: its command queue, the links to the core and the router, and the subscription.

use crate::prelude::*;

const MAX_BATCH_COMMANDS: usize = 256;

/// The configuration of an agent.
pub struct AgentConfig {
    /// Accepts the link from this machine's router.
    pub listener: std::net::TcpListener,
    pub seeds: Vec<String>,
    /// How long a stopping agent waits for its router to exit first.
    pub router_exit_timeout: Span,
    /// The limits of this process, of which the peers of its listener may fill a share.
    pub limits: ProcessLimits,
}

const LINKS_SHARE: Share = Share { memory_divisor: 8, descriptors_divisor: 4 };

/// Controls a running agent.
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

/// Runs an agent until it is stopped. `on_ready` is called once it accepts links.
pub fn run_agent(
    config: AgentConfig,
    on_ready: impl FnOnce(AgentHandle) -> Result<(), Report>,
) -> Result<(), Report> {
    configure_allocator();
    let node = NodeId::random();
    let fleet = Arc::new(AtomicU64::new(0));
    let (queue, commands) = bounded_queue::<AgentCommand>(4096);
    let router_queue = queue.clone();
    let hello_fleet = Arc::clone(&fleet);
    let own_hello = move || Hello::new(FleetId(hello_fleet.load(Ordering::SeqCst)), node, Purpose::Agent);
    let links_budget = Budget::new(config.limits.share(LINKS_SHARE));
    accept_links(config.listener, own_hello, links_budget, move |link_event| {
        router_queue.send(AgentCommand::Router(link_event)).is_ok()
    });
    on_ready(AgentHandle { queue: queue.clone(), identity: node })?;
    event!(info, "started", id = node);
    let subscription = Subscription::new(config.seeds, node.0 as usize % 64);
    let mut agent = Agent { subscription, node, queue, core: None, router: None, dial_number: 0, fleet };
    agent.run(&commands, config.router_exit_timeout);
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
    fn run(&mut self, commands: &Receiver<AgentCommand>, router_exit_timeout: Span) {
        let mut next_tick = Instant(0);
        let mut stop_deadline: Option<Instant> = None;
        loop {
            let deadline = stop_deadline.map_or(next_tick, |stop_deadline| next_tick.min(stop_deadline));
            let Some(batch) = receive_batch(commands, deadline.since(boot_now()).as_duration(), MAX_BATCH_COMMANDS)
            else {
                return;
            };
            for command in batch {
                match command {
                    AgentCommand::Stop => {
                        stop_deadline.get_or_insert(boot_now() + router_exit_timeout);
                    }
                    command => self.handle(command),
                }
            }
            let now = boot_now();
            let may_stop = self.router.is_none() || stop_deadline.is_some_and(|stop_deadline| now >= stop_deadline);
            if stop_deadline.is_some() && may_stop {
                return;
            }
            if now >= next_tick {
                self.step(SubscriptionInput::Tick);
            }
            next_tick = self.subscription.next_tick(now);
        }
    }

    fn step(&mut self, input: SubscriptionInput) {
        let effects = self.subscription.step(input, boot_now());
        self.fleet.store(self.subscription.fleet().0, Ordering::SeqCst);
        for effect in effects {
            self.execute(effect);
        }
    }

    fn handle(&mut self, command: AgentCommand) {
        match command {
            AgentCommand::Core { dial_number, link_event } => {
                if dial_number != self.dial_number {
                    if let LinkEvent::Up(stale_link, _) = link_event {
                        stale_link.close();
                    }
                    return;
                }
                match link_event {
                    LinkEvent::Up(link, _) => {
                        self.core = Some(link);
                        self.step(SubscriptionInput::CoreConnected);
                    }
                    LinkEvent::Message(_, message) => self.step(SubscriptionInput::Core(message)),
                    LinkEvent::Down(..) => {}
                }
            }
            AgentCommand::CoreEnded { dial_number } => {
                if dial_number == self.dial_number {
                    self.core = None;
                    self.step(SubscriptionInput::CoreDisconnected);
                }
            }
            AgentCommand::Router(link_event) => self.handle_router_event(link_event),
            AgentCommand::Seeds(seeds) => self.step(SubscriptionInput::Seeds(seeds)),
            AgentCommand::Stop => {}
        }
    }

    fn is_router(&self, id: LinkId) -> bool {
        self.router.as_ref().is_some_and(|router| router.id == id)
    }

    fn handle_router_event(&mut self, link_event: LinkEvent<RouterToAgent>) {
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
            LinkEvent::Message(id, message) => {
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

    fn execute(&mut self, effect: SubscriptionEffect) {
        match effect {
            SubscriptionEffect::Dial(address) => self.dial(address),
            SubscriptionEffect::SendToCore(message) => {
                if let Some(core) = &self.core {
                    core.send(&wire::prelude::Inbound::Node(message));
                }
            }
            SubscriptionEffect::SendToRouter(message) => {
                if let Some(router) = &self.router {
                    router.send(&message);
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
            let on_event = |link_event| queue.send(AgentCommand::Core { dial_number, link_event }).is_ok();
            if let Err(reason) = dial_and_run(&address, own_hello, &on_event) {
                event!(debug, "dial_fault", address = address, reason = reason);
            }
            let _ = queue.send(AgentCommand::CoreEnded { dial_number });
        });
    }
}
