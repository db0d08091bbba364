//! The agent beside a router: holds the stream to the core, renews the node's lease, and feeds the
//! router over loopback. One duty owns the courier and works through a queue; each stream has its own
//! threads. It keeps nothing on disk: a restarted agent starts from nothing and asks.

mod prelude;

use crate::prelude::*;

static TRADE: Trade = Trade {
    program: "agent",
    about: "Holds a machine's stream to the core and feeds its router.",
    settings: &[
        setting("listen", Kind::Address, Some("127.0.0.1:0"), "where this machine's router reaches the agent"),
        setting("seeds", Kind::Addresses, None, "keepers to make contact with"),
        setting("zone", Kind::Text, Some("a"), "the zone this machine stands in"),
        LOG_LEVEL,
    ],
};

enum AgentCommand {
    Core { dial_number: u64, link_event: LinkEvent<NodeDown> },
    CoreEnded { dial_number: u64 },
    Router(LinkEvent<RouterUp>),
    Seeds(Vec<String>),
    Stop,
}

struct Agent {
    courier: Courier,
    node: NodeId,
    queue: Sender<AgentCommand>,
    core: Option<Link>,
    router: Option<Link>,
    dial_number: u64,
    fleet: Arc<AtomicU64>,
}

fn main() -> std::process::ExitCode {
    run_trade(&TRADE, serve_node)
}

fn serve_node(settings: Settings) -> Result<(), Report> {
    let logs = start_logs(TRADE.program, settings.text("log_level")?)?;
    let seeds = settings.addresses("seeds");
    if seeds.is_empty() {
        return Err(miette!("seeds is missing: give it in the settings file or as --seeds"));
    }
    let listener = std::net::TcpListener::bind(settings.address("listen")?)
        .map_err(|fault| miette!("listen: {}: {fault}", settings.text("listen").unwrap_or("")))?;
    let address = listener.local_addr().map_err(|fault| miette!("listen: {fault}"))?;
    if !address.ip().is_loopback() {
        return Err(miette!("listen: {address}: an agent serves its own machine only; take a loopback address"));
    }
    let node = NodeId::random();
    let fleet = Arc::new(AtomicU64::new(0));
    let (queue, commands) = ring::<AgentCommand>(4096);
    let router_queue = queue.clone();
    let hello_fleet = Arc::clone(&fleet);
    let own_hello = move || Hello::new(FleetId(hello_fleet.load(Ordering::SeqCst)), node, Purpose::Agent);
    accept_links(listener, own_hello, move |link_event| router_queue.send(AgentCommand::Router(link_event)).is_ok());
    let stop_queue = queue.clone();
    let stop = move || {
        let _ = stop_queue.send(AgentCommand::Stop);
    };
    let seeds_queue = queue.clone();
    let reload = move |settings: &Settings| {
        let _ = seeds_queue.send(AgentCommand::Seeds(settings.addresses("seeds")));
    };
    tend_signals(&TRADE, settings, logs, stop, reload)?;
    say_ready(&[("id", node.to_string()), ("address", address.to_string())]);
    event!(info, "started", id = node, address = address);
    let courier = Courier::new(seeds, node.0 as usize % 64);
    let mut agent = Agent { courier, node, queue, core: None, router: None, dial_number: 0, fleet };
    agent.work(&commands);
    event!(info, "stopped");
    Ok(())
}

impl Agent {
    fn work(&mut self, commands: &Receiver<AgentCommand>) {
        let mut last_pulse = Instant(0);
        while let Some(batch) = drain(commands, Duration::from_millis(20), 256) {
            for command in batch {
                if matches!(command, AgentCommand::Stop) {
                    return;
                }
                self.take(command);
            }
            let now = boot_now();
            if now.since(last_pulse) >= Span::millis(40) {
                last_pulse = now;
                self.step(CourierInput::Pulse);
            }
        }
    }

    fn step(&mut self, input: CourierInput) {
        let plan = self.courier.step(input, boot_now());
        self.fleet.store(self.courier.fleet().0, Ordering::SeqCst);
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
                        self.step(CourierInput::CoreUp);
                    }
                    LinkEvent::Said(_, message) => self.step(CourierInput::Core(message)),
                    LinkEvent::Down(..) => {}
                }
            }
            AgentCommand::CoreEnded { dial_number } => {
                if dial_number == self.dial_number {
                    self.core = None;
                    self.step(CourierInput::CoreDown);
                }
            }
            AgentCommand::Router(link_event) => self.take_router(link_event),
            AgentCommand::Seeds(seeds) => self.step(CourierInput::Seeds(seeds)),
            AgentCommand::Stop => {}
        }
    }

    fn is_router(&self, id: LinkId) -> bool {
        self.router.as_ref().is_some_and(|router| router.id == id)
    }

    fn take_router(&mut self, link_event: LinkEvent<RouterUp>) {
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
                self.step(CourierInput::RouterUp);
            }
            LinkEvent::Said(id, message) => {
                if self.is_router(id) {
                    self.step(CourierInput::Router(message));
                }
            }
            LinkEvent::Down(id, reason) => {
                if self.is_router(id) {
                    self.router = None;
                    event!(warn, "router_down", reason = reason);
                    self.step(CourierInput::RouterDown);
                }
            }
        }
    }

    fn carry_out(&mut self, effect: CourierEffect) {
        match effect {
            CourierEffect::Dial(address) => self.dial(address),
            CourierEffect::SayCore(message) => {
                if let Some(core) = &self.core {
                    core.say(&wire::prelude::Inbound::Node(message));
                }
            }
            CourierEffect::SayRouter(message) => {
                if let Some(router) = &self.router {
                    router.say(&message);
                }
            }
            CourierEffect::Note { event, detail } => log::warn!(target: "haremount", "event={event} {detail}"),
        }
    }

    fn dial(&mut self, address: String) {
        if let Some(core) = self.core.take() {
            core.close();
        }
        self.dial_number += 1;
        let dial_number = self.dial_number;
        let own_hello = Hello::new(self.courier.fleet(), self.node, Purpose::Agent);
        let queue = self.queue.clone();
        event!(debug, "dials", address = address);
        duty("core-link", move || {
            let tell = |link_event| queue.send(AgentCommand::Core { dial_number, link_event }).is_ok();
            if let Err(reason) = dial_and_hold(&address, own_hello, &tell) {
                event!(debug, "dial_fault", address = address, reason = reason);
            }
            let _ = queue.send(AgentCommand::CoreEnded { dial_number });
        });
    }
}
