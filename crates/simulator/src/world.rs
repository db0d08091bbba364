//! The world: machines, network, disk, and the queue of what happens when.

use crate::prelude::*;

pub const KEEPERS: usize = 4;
pub const NODES: usize = 4;
pub const ENGINES: usize = 6;
const MODEL: &str = "model";

#[derive(Clone, Debug)]
pub enum Happening {
    KeeperPulse { keeper: usize, life: u64 },
    KeeperInput { keeper: usize, life: Option<u64>, input: Input },
    CarryOut { keeper: usize, life: u64, plan: Vec<Effect> },
    NodePulse { node: usize, life: u64 },
    NodeInput { node: usize, life: u64, input: CourierInput },
    RouterDials { node: usize, life: u64, router: NodeId },
    RouterInput { node: usize, router: NodeId, message: RouterDown },
    Dialled { node: usize, life: u64, address: String },
    PumpUp { link: usize },
    PumpDown { link: usize },
    LinkEnds { link: usize },
    Traffic { node: usize },
    Operator,
    Platform,
    Fault(Fault),
    StopKeeper { keeper: usize, life: u64 },
    Sample,
}

pub struct World {
    pub draw: Draw,
    pub now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    happenings: HashMap<u64, Happening>,
    next_happening: u64,
    pub net: Net,
    pub keepers: Vec<SimKeeper>,
    pub nodes: Vec<SimNode>,
    pub engines: Vec<SimEngine>,
    pub listing_number: u64,
    pub links: Vec<SimLink>,
    pub record: Record,
    pub extra: Vec<String>,
    /// What each ticket asked, and what its acknowledgement means.
    asked: BTreeMap<u64, AskedChange>,
    next_ticket: u64,
    pub acked: BTreeMap<RequestId, Edition>,
    /// Which request was committed under each edition, wherever that was seen.
    committed: BTreeMap<Edition, RequestId>,
    /// Keys whose adding was acknowledged: hash, tenant, number.
    live_keys: Vec<(String, String, u64)>,
    next_key: u64,
    wanted_weights: u64,
    next_run: u64,
    pub notes: Vec<String>,
    pub keeps_notes: bool,
}

#[derive(Clone, Debug)]
struct AskedChange {
    request: RequestId,
    means: Option<Meaning>,
}

#[derive(Clone, Debug)]
enum Meaning {
    KeyAdded {
        key: String,
        tenant: String,
        number: u64,
    },
    KeyWithdrawn(String),
    Weights(u64),
    /// The conductor's word on an engine: it waits for this before it goes on.
    Stands {
        keeper: usize,
        engine: EngineName,
    },
    /// An intent was stated; its plan is confirmed next, through any keeper.
    Intended,
    Plain,
}

fn draw_clock(draw: &mut Draw) -> Clock {
    Clock { offset: draw.between(1_000, 1_000_000) * 1_000_000_000, rate: draw.between(99_500, 100_500) }
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut draw = Draw::new(seed);
        let keepers = (0..KEEPERS)
            .map(|number| SimKeeper {
                warden: None,
                id: NodeId(number as u64 + 1),
                address: format!("k{number}"),
                disk: Kept::default(),
                clock: draw_clock(&mut draw),
                life: 0,
                frozen_until: Instant(0),
                busy_until: Instant(0),
                sync_span: Span::millis(2),
                census_since: None,
                census_read: Instant(0),
                conductor: Conductor::default(),
                submitted: BTreeMap::new(),
            })
            .collect();
        let nodes = (0..NODES)
            .map(|number| SimNode {
                courier: None,
                id: NodeId(1000 + number as u64),
                clock: draw_clock(&mut draw),
                life: 0,
                frozen_until: Instant(0),
                router: None,
                fed_router: None,
                link: None,
            })
            .collect();
        let engines = (0..ENGINES)
            .map(|number| SimEngine {
                name: EngineName(format!("e{number}")),
                weights: WeightsEdition(1),
                listed: Some(Listed::Open),
            })
            .collect();
        let mut world = World {
            draw,
            now: Instant(1_000_000_000),
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            next_happening: 0,
            net: Net::default(),
            keepers,
            nodes,
            engines,
            listing_number: 1,
            links: Vec::new(),
            record: Record::default(),
            extra: Vec::new(),
            asked: BTreeMap::new(),
            next_ticket: 0,
            acked: BTreeMap::new(),
            committed: BTreeMap::new(),
            live_keys: Vec::new(),
            next_key: 0,
            wanted_weights: 1,
            next_run: 0,
            notes: Vec::new(),
            keeps_notes: false,
        };
        world.found();
        for number in 0..KEEPERS {
            world.start_keeper(number);
        }
        for number in 0..NODES {
            world.start_node(number);
            world.later(Span::millis(number as u64), Happening::Traffic { node: number });
        }
        world.later(Span::millis(100), Happening::Sample);
        world
    }

    fn found(&mut self) {
        let mut state = FleetState::default();
        let document = r#"{"operators":{"o":"0000000000000000000000000000000000000000000000000000000000000000"},
            "models":{"model":{"weights":1}},"tenants":{"a":{},"b":{"walled":true}},"kinds":["k"]}"#;
        let command = Command::Replace { base: None, text: document.into() };
        state.apply(&Submission { request: RequestId(1), command });
        let founder = self.member(0);
        for stored in Warden::founding(&founder, FleetId(77), state) {
            keep(&mut self.keepers[0].disk, stored);
        }
    }

    fn member(&self, keeper: usize) -> Member {
        let address = self.keepers[keeper].address.clone();
        Member { id: self.keepers[keeper].id, door: address.clone(), address, zone: Zone("z".into()) }
    }

    // Time.

    pub fn later(&mut self, span: Span, happening: Happening) {
        self.at(self.now + span, happening);
    }

    pub fn at(&mut self, instant: Instant, happening: Happening) {
        self.next_happening += 1;
        self.happenings.insert(self.next_happening, happening);
        self.queue.push(Reverse((instant, self.next_happening)));
    }

    /// Runs until an instant.
    pub fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((instant, number))) = self.queue.peek().copied() {
            if instant > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(instant);
            if let Some(happening) = self.happenings.remove(&number) {
                self.happen(happening);
            }
        }
        self.now = end;
    }

    pub fn millis(&self) -> u64 {
        self.now.0 / 1_000_000
    }

    pub fn note(&mut self, text: String) {
        if self.keeps_notes {
            self.notes.push(format!("{:>7} {text}", self.millis()));
        }
    }

    // Machines.

    pub fn start_keeper(&mut self, number: usize) {
        let member = self.member(number);
        let seeds = (0..3).map(|seed| format!("k{seed}")).collect();
        let now = self.now;
        let keeper = &mut self.keepers[number];
        if keeper.warden.is_some() {
            return;
        }
        keeper.life += 1;
        keeper.busy_until = now;
        keeper.frozen_until = now;
        keeper.conductor = Conductor::default();
        keeper.submitted.clear();
        keeper.census_since = None;
        let wishes = Wishes { has_census: true, core_size: KEEPERS, seeds };
        let life = keeper.life.wrapping_mul(1_000_003).wrapping_add(keeper.id.0.wrapping_mul(7919));
        keeper.warden = Some(Warden::restore(member, keeper.disk.clone(), wishes, life, keeper.clock.read(now)));
        let life = keeper.life;
        self.later(Span::millis(1), Happening::KeeperPulse { keeper: number, life });
    }

    pub fn kill_keeper(&mut self, number: usize) {
        self.keepers[number].warden = None;
        self.keepers[number].life += 1;
        for link in 0..self.links.len() {
            if self.links[link].open && self.links[link].keeper == number {
                self.end_link(link);
            }
        }
    }

    /// An empty machine in the place of a lost one.
    pub fn replace_keeper(&mut self, number: usize, moves: bool) {
        self.kill_keeper(number);
        let new_id = NodeId(self.draw.number() | 1 << 60);
        let keeper = &mut self.keepers[number];
        keeper.id = new_id;
        keeper.disk = Kept::default();
        if moves {
            keeper.address = format!("{}x", keeper.address);
        }
        self.start_keeper(number);
    }

    pub fn start_node(&mut self, number: usize) {
        let spread = self.draw.below(64) as usize;
        let node = &mut self.nodes[number];
        if node.courier.is_none() {
            node.life += 1;
            node.id = NodeId(1000 + number as u64 + 10_000 * node.life);
            node.courier = Some(Courier::new((0..3).map(|seed| format!("k{seed}")).collect(), spread));
            let life = node.life;
            self.later(Span::millis(1), Happening::NodePulse { node: number, life });
        }
        self.start_router(number);
    }

    pub fn start_router(&mut self, number: usize) {
        if self.nodes[number].router.is_some() {
            return;
        }
        let router = NodeId(self.draw.number() | 1);
        self.nodes[number].router = Some(SimRouter::new(router));
        let life = self.nodes[number].life;
        self.later(Span::millis(1), Happening::RouterDials { node: number, life, router });
    }

    pub fn kill_router(&mut self, number: usize) {
        self.nodes[number].router = None;
        self.tell_node(number, CourierInput::RouterDown);
    }

    pub fn kill_node(&mut self, number: usize) {
        self.nodes[number].courier = None;
        self.nodes[number].router = None;
        self.nodes[number].life += 1;
        if let Some(link) = self.nodes[number].link.take() {
            self.end_link(link);
        }
    }

    fn tell_node(&mut self, node: usize, input: CourierInput) {
        let life = self.nodes[node].life;
        self.later(Span::millis(1), Happening::NodeInput { node, life, input });
    }

    fn end_link(&mut self, link: usize) {
        self.links[link].open = false;
        self.later(Span::millis(2), Happening::LinkEnds { link });
    }

    // What happens.

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::KeeperPulse { keeper, life } => {
                if self.keepers[keeper].life != life || self.keepers[keeper].warden.is_none() {
                    return;
                }
                self.step_keeper(keeper, Some(life), Input::Pulse);
                self.tend_keeper(keeper);
                self.later(Span::millis(50), Happening::KeeperPulse { keeper, life });
            }
            Happening::KeeperInput { keeper, life, input } => self.step_keeper(keeper, life, input),
            Happening::CarryOut { keeper, life, plan } => self.carry_out(keeper, life, plan),
            Happening::NodePulse { node, life } => {
                if self.nodes[node].life == life && self.nodes[node].courier.is_some() {
                    self.step_node(node, life, CourierInput::Pulse);
                    self.later(Span::millis(50), Happening::NodePulse { node, life });
                }
            }
            Happening::NodeInput { node, life, input } => self.step_node(node, life, input),
            Happening::RouterDials { node, life, router } => self.feed_router(node, life, router),
            Happening::RouterInput { node, router, message } => self.step_router(node, router, message),
            Happening::Dialled { node, life, address } => self.connect(node, life, &address),
            Happening::PumpUp { link } => self.pump(link, true),
            Happening::PumpDown { link } => self.pump(link, false),
            Happening::LinkEnds { link } => self.finish_link(link),
            Happening::Traffic { node } => {
                self.try_start(node);
                let pause = Span::millis(self.draw.between(10, 60));
                self.later(pause, Happening::Traffic { node });
            }
            Happening::Operator => self.operate(),
            Happening::Platform => self.change_listing(),
            Happening::StopKeeper { keeper, life } => {
                if self.keepers[keeper].life == life {
                    self.kill_keeper(keeper);
                }
            }
            Happening::Fault(fault) => self.cause(fault),
            Happening::Sample => {
                self.sample();
                self.later(Span::millis(100), Happening::Sample);
            }
        }
    }

    fn step_keeper(&mut self, number: usize, life: Option<u64>, input: Input) {
        let now = self.now;
        let keeper = &mut self.keepers[number];
        if life.is_some_and(|life| life != keeper.life) {
            return;
        }
        let free_at = keeper.frozen_until.max(keeper.busy_until);
        if free_at > now {
            let life = Some(keeper.life);
            self.at(free_at, Happening::KeeperInput { keeper: number, life, input });
            return;
        }
        let Some(warden) = keeper.warden.as_mut() else { return };
        let plan = warden.step(input, keeper.clock.read(now));
        if plan.is_empty() {
            return;
        }
        let syncs = plan.iter().any(|effect| matches!(effect, Effect::Store(_)));
        let life = keeper.life;
        if syncs {
            keeper.busy_until = now + keeper.sync_span;
            let synced_at = keeper.busy_until;
            self.at(synced_at, Happening::CarryOut { keeper: number, life, plan });
        } else {
            self.carry_out(number, life, plan);
        }
    }

    fn carry_out(&mut self, number: usize, life: u64, plan: Vec<Effect>) {
        if self.keepers[number].life != life {
            return;
        }
        if self.keepers[number].frozen_until > self.now {
            let woken_at = self.keepers[number].frozen_until;
            self.at(woken_at, Happening::CarryOut { keeper: number, life, plan });
            return;
        }
        let local_now = self.keepers[number].clock.read(self.now);
        for effect in plan {
            match effect {
                Effect::Store(stored) => keep(&mut self.keepers[number].disk, stored),
                Effect::Send { address, message, until, .. } => {
                    if until.is_none_or(|until| local_now < until) {
                        self.post(number, &address, message);
                    }
                }
                Effect::Knock { address, message } => self.post(number, &address, message),
                Effect::Tell { node, message, until } => {
                    if until.is_none_or(|until| local_now < until) {
                        self.tell(number, node, message);
                    }
                }
                Effect::Outcome { ticket, outcome } => self.take_outcome(ticket, outcome),
                Effect::Note { event, detail } => self.note(format!("k{number} {event} {detail}")),
            }
        }
    }

    fn post(&mut self, from: usize, address: &str, message: CoreMessage) {
        let Some(to) = self.keepers.iter().position(|keeper| keeper.address == address) else { return };
        if self.net.is_cut(from, to) {
            return;
        }
        let delay = self.net.delay(&mut self.draw);
        let input = Input::Peer { from: self.keepers[from].id, message };
        self.later(delay, Happening::KeeperInput { keeper: to, life: None, input });
    }

    fn tell(&mut self, keeper: usize, node_id: NodeId, message: NodeDown) {
        let life = self.keepers[keeper].life;
        let found = self.links.iter().rposition(|link| {
            link.open && link.keeper == keeper && link.keeper_life == life && self.nodes[link.node].id == node_id
        });
        let Some(link) = found else { return };
        self.links[link].down.push_back(message);
        let delay = self.net.delay(&mut self.draw);
        self.later(delay, Happening::PumpDown { link });
    }

    fn step_node(&mut self, number: usize, life: u64, input: CourierInput) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.life != life {
            return;
        }
        if node.frozen_until > now {
            let woken_at = node.frozen_until;
            self.at(woken_at, Happening::NodeInput { node: number, life, input });
            return;
        }
        let Some(courier) = node.courier.as_mut() else { return };
        let plan = courier.step(input, node.clock.read(now));
        for effect in plan {
            match effect {
                CourierEffect::Dial(address) => {
                    if let Some(link) = self.nodes[number].link.take() {
                        self.end_link(link);
                    }
                    let delay = self.net.delay(&mut self.draw);
                    self.later(delay, Happening::Dialled { node: number, life, address });
                }
                CourierEffect::SayCore(message) => {
                    let Some(link) = self.nodes[number].link else { continue };
                    self.links[link].up.push_back(message);
                    let delay = self.net.delay(&mut self.draw);
                    self.later(delay, Happening::PumpUp { link });
                }
                CourierEffect::SayRouter(message) => {
                    let Some(router) = self.nodes[number].fed_router else { continue };
                    self.later(Span::millis(1), Happening::RouterInput { node: number, router, message });
                }
                CourierEffect::Note { event, detail } => self.note(format!("n{number} {event} {detail}")),
            }
        }
    }

    /// The router's stream to its agent comes up, in the agent's own order of things.
    fn feed_router(&mut self, number: usize, life: u64, router: NodeId) {
        let node = &mut self.nodes[number];
        if node.frozen_until > self.now {
            let woken_at = node.frozen_until;
            self.at(woken_at, Happening::RouterDials { node: number, life, router });
            return;
        }
        if node.life == life && node.router.as_ref().is_some_and(|known| known.id == router) {
            node.fed_router = Some(router);
            self.step_node(number, life, CourierInput::RouterUp);
        }
    }

    fn connect(&mut self, number: usize, life: u64, address: &str) {
        if self.nodes[number].life != life || self.nodes[number].courier.is_none() {
            return;
        }
        let found = self.keepers.iter().position(|keeper| keeper.address == address);
        let machine = NODE_BASE + number;
        let reached = found.filter(|keeper| {
            let is_up = self.keepers[*keeper].warden.is_some();
            is_up && !self.net.is_cut(machine, *keeper) && !self.net.is_cut(*keeper, machine)
        });
        let Some(keeper) = reached else {
            self.tell_node(number, CourierInput::CoreDown);
            return;
        };
        let keeper_life = self.keepers[keeper].life;
        self.links.push(SimLink {
            node: number,
            keeper,
            keeper_life,
            open: true,
            up: VecDeque::new(),
            down: VecDeque::new(),
        });
        self.nodes[number].link = Some(self.links.len() - 1);
        let input = Input::NodeGone { node: self.nodes[number].id };
        self.later(Span(0), Happening::KeeperInput { keeper, life: Some(keeper_life), input });
        self.tell_node(number, CourierInput::CoreUp);
    }

    /// Moves one message along a stream; while the way is cut, or the receiver frozen, it waits.
    fn pump(&mut self, number: usize, is_up: bool) {
        let link = &self.links[number];
        if !link.open {
            return;
        }
        let (node_machine, keeper) = (NODE_BASE + link.node, link.keeper);
        let way = if is_up { (node_machine, keeper) } else { (keeper, node_machine) };
        if self.net.is_cut(way.0, way.1) {
            let again = if is_up { Happening::PumpUp { link: number } } else { Happening::PumpDown { link: number } };
            self.later(Span::millis(40), again);
            return;
        }
        let (node, keeper_life) = (link.node, link.keeper_life);
        if is_up {
            let Some(message) = self.links[number].up.pop_front() else { return };
            let input = Input::Node { node: self.nodes[node].id, message };
            self.step_keeper(keeper, Some(keeper_life), input);
        } else if let Some(message) = self.links[number].down.pop_front() {
            let life = self.nodes[node].life;
            if self.nodes[node].link == Some(number) {
                self.step_node(node, life, CourierInput::Core(message));
            }
        }
    }

    fn finish_link(&mut self, number: usize) {
        let (node, keeper, keeper_life) =
            (self.links[number].node, self.links[number].keeper, self.links[number].keeper_life);
        let machine = NODE_BASE + node;
        let still_linked = self.links.iter().any(|link| link.open && link.node == node && link.keeper == keeper);
        if !self.net.is_cut(machine, keeper) && !still_linked {
            let input = Input::NodeGone { node: self.nodes[node].id };
            self.step_keeper(keeper, Some(keeper_life), input);
        }
        if self.nodes[node].link == Some(number) && !self.net.is_cut(keeper, machine) {
            self.nodes[node].link = None;
            self.tell_node(node, CourierInput::CoreDown);
        }
        self.links[number].up.clear();
        self.links[number].down.clear();
    }

    fn step_router(&mut self, number: usize, router_id: NodeId, message: RouterDown) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.frozen_until > now {
            let woken_at = node.frozen_until;
            self.at(woken_at, Happening::RouterInput { node: number, router: router_id, message });
            return;
        }
        let local_now = node.clock.read(now);
        let Some(router) = node.router.as_mut().filter(|router| router.id == router_id) else { return };
        let (state, age) = match message {
            RouterDown::Settled { .. } | RouterDown::Doors(_) => return,
            RouterDown::Lease { until } => {
                router.lease_until = router.lease_until.max(until);
                return;
            }
            RouterDown::Snapshot(state) => {
                if state.edition <= router.sight.state.edition {
                    return;
                }
                (*state, None)
            }
            RouterDown::Push { number, submission, age } => {
                if number != router.sight.state.edition.next() {
                    return;
                }
                let mut state = (*router.sight.state).clone();
                state.apply(&submission);
                (state, age)
            }
        };
        let edition = state.edition;
        let last_settled = state.settled.back().map(|(request, _)| *request);
        router.sight = router.sight.following(state, age, local_now);
        if let Some(request) = last_settled {
            self.see_committed(edition, request, &format!("n{number}"));
        }
        self.tell_node(number, CourierInput::Router(RouterUp::Applied { edition }));
    }

    /// Two different records under one edition would be a lost or forked change.
    fn see_committed(&mut self, edition: Edition, request: RequestId, seen_at: &str) {
        let known = *self.committed.entry(edition).or_insert(request);
        if known != request {
            self.extra.push(format!("edition {edition} is {known} and, at {seen_at}, {request}"));
        }
    }

    // Traffic, operators, platform.

    fn try_start(&mut self, number: usize) {
        let now = self.now;
        let key_drawn = self.draw.below(8);
        let engine_drawn = self.draw.below(ENGINES as u64) as usize;
        let node = &self.nodes[number];
        if node.frozen_until > now {
            return;
        }
        let at = now.0 / 1_000_000;
        self.next_run += 1;
        let mut line =
            CallerLine { at, ended: at, repeatable: false, outcome: "not_run".into(), ..CallerLine::default() };
        let Some(router) = &node.router else {
            line.outcome = "no_answer".into();
            self.record.callers.push(line);
            return;
        };
        let local_now = node.clock.read(now);
        let run = format!("{}.{}", router.id, self.next_run);
        line.run = run.clone();
        line.router = router.id.to_string();
        let key = format!("{:064x}", self.next_key.saturating_sub(key_drawn));
        let usable: Vec<(usize, WeightsEdition)> = (0..ENGINES)
            .map(|place| (place + engine_drawn) % ENGINES)
            .filter_map(|place| {
                let weights = router.sight.usable_weights(&self.engines[place].name, local_now)?;
                (self.engines[place].weights == weights).then_some((place, weights))
            })
            .collect();
        let known_tenant = router.sight.tenants_by_key.get(&key).cloned();
        let tenant = known_tenant.clone().unwrap_or(TenantName("a".into()));
        line.tenant = tenant.0.clone();
        if local_now < router.lease_until
            && let Some((place, weights)) = usable.first().copied()
        {
            line.outcome = "whole".into();
            if known_tenant.is_some() {
                line.key = key;
            }
            let wall = router.sight.state.wall_of(&tenant);
            let salt = Salt::of(&ModelName(MODEL.into()), weights, wall.id, wall.edition);
            self.record.engines.push(EngineLine::Start(StartLine {
                at,
                engine: self.engines[place].name.0.clone(),
                shot: format!("{run}.1"),
                salt: salt.0,
                weights: weights.0,
                prompt_blocks: 1,
                cached_blocks: 0,
            }));
        }
        if line.outcome != "whole" && self.keeps_notes {
            let leased = local_now < router.lease_until;
            let usable_count = usable.len();
            self.note(format!("n{number} starts nothing: leased={leased} usable={usable_count}"));
        }
        self.record.callers.push(line);
    }

    fn sample(&mut self) {
        let at = self.millis();
        for node in &self.nodes {
            let Some(router) = node.router.as_ref().filter(|_| node.frozen_until <= self.now) else { continue };
            let leased = node.clock.read(self.now) < router.lease_until;
            let edition = router.sight.state.edition.0;
            self.record.world.push(WorldLine::Sample {
                at,
                router: router.id.to_string(),
                edition,
                leased,
                shots: 0,
                retries: 0,
            });
        }
        let active_tails: Vec<usize> = (0..self.keepers.len())
            .filter(|number| {
                let keeper = &self.keepers[*number];
                let is_awake = keeper.frozen_until <= self.now;
                let local_now = keeper.clock.read(self.now);
                is_awake && keeper.warden.as_ref().is_some_and(|warden| warden.tail_is_active(local_now))
            })
            .collect();
        if active_tails.len() > 1 {
            self.extra.push(format!("two active tails at {at}: {active_tails:?}"));
        }
        if let Some(tail) = active_tails.first()
            && let Some(warden) = &self.keepers[*tail].warden
        {
            let (edition, last_settled) = (warden.state().edition, warden.state().settled.back().cloned());
            if let Some((request, _)) = last_settled {
                self.see_committed(edition, request, &format!("tail k{tail}"));
            }
        }
    }

    /// Census and conductor of one keeper, as the daemon's duties do them.
    fn tend_keeper(&mut self, number: usize) {
        let now = self.now;
        let keeper = &mut self.keepers[number];
        if keeper.frozen_until > now || keeper.busy_until > now {
            return;
        }
        let local_now = keeper.clock.read(now);
        let Some(warden) = keeper.warden.as_ref() else { return };
        if !warden.has_view() {
            return;
        }
        let reading =
            Input::ListingRead { read: Some(("p".into(), ListingNumber(self.listing_number))), asked: local_now };
        let life = keeper.life;
        let reads_now = now.since(keeper.census_read) >= Span::millis(250);
        if reads_now {
            keeper.census_read = now;
        }
        let state = warden.state().clone();
        let census = warden.holds_duty(DutyKind::Census, local_now);
        let conductor_term = warden.holds_duty(DutyKind::Conductor, local_now);
        if reads_now {
            self.later(Span::millis(3), Happening::KeeperInput { keeper: number, life: Some(life), input: reading });
        }
        let keeper = &mut self.keepers[number];
        if state.listing.number.0 < self.listing_number {
            let since = *keeper.census_since.get_or_insert(now);
            if census.is_some() || now.since(since) >= Span::millis(500) {
                keeper.census_since = Some(now);
                let listing = self.listing();
                let request = RequestId(0xce00_0000 + self.listing_number);
                self.ask(number, Submission { request, command: Command::List(listing) }, None);
            }
        } else {
            keeper.census_since = None;
        }
        if let Some((term, _)) = conductor_term {
            self.conduct(number, term, &state, local_now);
        }
    }

    fn listing(&self) -> Listing {
        let engines = self
            .engines
            .iter()
            .filter_map(|engine| {
                let listed_engine = ListedEngine {
                    address: engine.name.0.clone(),
                    zone: Zone("z".into()),
                    model: ModelName(MODEL.into()),
                    role: Default::default(),
                    listed: engine.listed?,
                };
                Some((engine.name.clone(), listed_engine))
            })
            .collect();
        Listing { boot: "p".into(), number: ListingNumber(self.listing_number), engines }
    }

    fn conduct(&mut self, number: usize, term: Term, state: &FleetState, local_now: Instant) {
        let observed: BTreeMap<EngineName, Observed> = self
            .engines
            .iter()
            .map(|engine| {
                let seen = Observed {
                    boot: "x".into(),
                    weights: engine.weights,
                    running: 0,
                    accepting: true,
                    at: local_now,
                };
                (engine.name.clone(), seen)
            })
            .collect();
        let now = self.now;
        self.keepers[number].submitted.retain(|_, until| now < *until);
        let acts = self.keepers[number].conductor.direct(state, &observed, local_now);
        for act in acts {
            match act {
                Act::Stand { engine, standing } => {
                    let now = self.now;
                    let waits = self.keepers[number].submitted.get(&engine).is_some_and(|until| now < *until);
                    if waits {
                        continue;
                    }
                    self.keepers[number].submitted.insert(engine.clone(), now + Span::seconds(5));
                    let means = Meaning::Stands { keeper: number, engine: engine.clone() };
                    let request = RequestId(self.draw.number());
                    self.ask(
                        number,
                        Submission { request, command: Command::Stand { term, engine, standing } },
                        Some(means),
                    );
                }
                Act::Load { engine, .. } if self.keepers[number].submitted.contains_key(&engine) => {}
                Act::Load { engine, weights, .. } => {
                    let at = self.millis();
                    let holder = self.keepers[number].id.to_string();
                    self.record.engines.push(EngineLine::Order {
                        at,
                        engine: engine.0.clone(),
                        holder,
                        term: term.0,
                        taken: true,
                        order: "load".into(),
                    });
                    if let Some(loaded) = self.engines.iter_mut().find(|known| known.name == engine) {
                        loaded.weights = weights;
                    }
                }
                Act::Open { .. } => {}
                Act::DoStep { plan, step } => self.step_plan(number, plan, Command::DoStep { term, plan, step }),
                Act::EndPlan { plan, halted } => {
                    self.step_plan(number, plan, Command::EndPlan { term, plan, halted });
                }
            }
        }
    }

    fn step_plan(&mut self, number: usize, plan: Edition, command: Command) {
        let naming = EngineName(format!("plan {plan}"));
        if self.keepers[number].submitted.contains_key(&naming) {
            return;
        }
        self.keepers[number].submitted.insert(naming.clone(), self.now + Span::seconds(5));
        let request = RequestId(self.draw.number());
        let means = Meaning::Stands { keeper: number, engine: naming };
        self.ask(number, Submission { request, command }, Some(means));
    }

    fn ask(&mut self, keeper: usize, submission: Submission, means: Option<Meaning>) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.asked.insert(ticket, AskedChange { request: submission.request, means });
        let limit = self.keepers[keeper].clock.read(self.now) + Span::seconds(8);
        let input = Input::Ask { ticket, question: Question::Submit(submission), limit };
        let life = self.keepers[keeper].life;
        self.later(Span::millis(1), Happening::KeeperInput { keeper, life: Some(life), input });
    }

    fn take_outcome(&mut self, ticket: u64, outcome: AskOutcome) {
        let Some(asked) = self.asked.remove(&ticket) else { return };
        if let Some(Meaning::Stands { keeper, engine }) = &asked.means {
            self.keepers[*keeper].submitted.remove(engine);
        }
        let AskOutcome::Settled(Settled::Taken(edition)) = outcome else { return };
        let at = self.millis();
        self.acked.insert(asked.request, edition);
        self.see_committed(edition, asked.request, "an answer");
        self.note(format!("acked {edition} request {}", asked.request));
        let Some(meaning) = asked.means else { return };
        self.record.world.push(WorldLine::Acked { at, edition: edition.0 });
        match meaning {
            Meaning::KeyWithdrawn(key) => self.record.world.push(WorldLine::KeyWithdrawn { at, key }),
            Meaning::KeyAdded { key, tenant, number } => self.live_keys.push((key, tenant, number)),
            Meaning::Weights(weights) => self.record.world.push(WorldLine::WeightsAcked { at, weights }),
            Meaning::Intended => {
                let keeper = self.draw.below(KEEPERS as u64) as usize;
                let request = RequestId(self.draw.number());
                let command = Command::Confirm { plan: edition };
                self.ask(keeper, Submission { request, command }, Some(Meaning::Plain));
            }
            Meaning::Plain | Meaning::Stands { .. } => {}
        }
    }

    /// An operator changes something through a keeper drawn by lot.
    fn operate(&mut self) {
        let keeper = self.draw.below(KEEPERS as u64) as usize;
        let (patch, means) = match self.draw.below(10) {
            0..=2 => {
                self.next_key += 1;
                let tenant = if self.draw.chance(30) { "b" } else { "a" };
                let key = format!("{:064x}", self.next_key);
                let patch = format!(r#"{{"tenants":{{"{tenant}":{{"keys":{{"k{}":"{key}"}}}}}}}}"#, self.next_key);
                (patch, Meaning::KeyAdded { key, tenant: tenant.into(), number: self.next_key })
            }
            3..=5 if !self.live_keys.is_empty() => {
                let place = self.draw.below(self.live_keys.len() as u64) as usize;
                let (key, tenant, number) = self.live_keys.remove(place);
                let patch = format!(r#"{{"tenants":{{"{tenant}":{{"keys":{{"k{number}":null}}}}}}}}"#);
                (patch, Meaning::KeyWithdrawn(key))
            }
            6 => {
                self.wanted_weights += 1;
                let patch = format!(r#"{{"models":{{"model":{{"weights":{}}}}}}}"#, self.wanted_weights);
                (patch, Meaning::Weights(self.wanted_weights))
            }
            _ => {
                let patch = format!(r#"{{"kinds":["k","x{}"]}}"#, self.draw.below(1000));
                (patch, Meaning::Plain)
            }
        };
        if self.draw.chance(10) {
            self.intend(keeper);
            return;
        }
        self.note(format!("operator via k{keeper}: {patch}"));
        let request = RequestId(self.draw.number());
        self.ask(keeper, Submission { request, command: Command::Merge { base: None, patch } }, Some(means));
    }

    /// An operator states an intent; the conductor carries the plan out.
    fn intend(&mut self, keeper: usize) {
        let intent = match self.draw.below(3) {
            0 => Intent::Wall { tenant: "a".into() },
            1 => Intent::Unwall { tenant: "a".into() },
            _ => {
                self.wanted_weights += 1;
                Intent::MoveWeights { model: MODEL.into(), weights: WeightsEdition(self.wanted_weights) }
            }
        };
        self.note(format!("operator via k{keeper} intends {intent:?}"));
        let request = RequestId(self.draw.number());
        self.ask(keeper, Submission { request, command: Command::Intend(intent) }, Some(Meaning::Intended));
    }

    fn change_listing(&mut self) {
        let number = self.draw.below(ENGINES as u64) as usize;
        let at = self.millis();
        let engine = self.engines[number].name.0.clone();
        let away_count = self.engines.iter().filter(|engine| engine.listed != Some(Listed::Open)).count();
        let comes_back = self.engines[number].listed != Some(Listed::Open);
        if !comes_back && away_count >= 2 {
            return;
        }
        self.listing_number += 1;
        self.note(format!(
            "platform: listing {} {engine} {}",
            self.listing_number,
            if comes_back { "open" } else { "away" }
        ));
        if comes_back {
            self.engines[number].listed = Some(Listed::Open);
            self.record.world.push(WorldLine::ListedOpen { at, engine });
        } else {
            self.engines[number].listed = if self.draw.chance(50) { Some(Listed::Leaving) } else { None };
            self.record.world.push(WorldLine::ListedAway { at, engine });
        }
    }

    fn cause(&mut self, fault: Fault) {
        self.note(format!("fault {fault:?}"));
        let what = format!("{fault:?}");
        let at = self.millis();
        self.record.world.push(WorldLine::Fault { at, what });
        let all_keepers: Vec<usize> = (0..KEEPERS).collect();
        let all_nodes: Vec<usize> = (0..NODES).map(|node| NODE_BASE + node).collect();
        let now = self.now;
        match fault {
            Fault::KillKeeper(keeper) => self.kill_keeper(keeper),
            Fault::StopKeeper(keeper) => {
                let life = self.keepers[keeper].life;
                self.step_keeper(keeper, Some(life), Input::Retire);
                self.later(Span::millis(300), Happening::StopKeeper { keeper, life });
            }
            Fault::KillKeepers(keepers) => keepers.into_iter().for_each(|keeper| self.kill_keeper(keeper)),
            Fault::StartKeepers => all_keepers.into_iter().for_each(|keeper| self.start_keeper(keeper)),
            Fault::ReplaceKeeper { keeper, moves } => {
                if self.may_lose(keeper) {
                    self.replace_keeper(keeper, moves);
                }
            }
            Fault::FreezeKeeper { keeper, span } => self.keepers[keeper].frozen_until = now + span,
            Fault::SlowDisk { keeper, span } => self.keepers[keeper].sync_span = span,
            Fault::StallDisk { keeper, span } => {
                let busy_until = self.keepers[keeper].busy_until.max(now);
                self.keepers[keeper].busy_until = busy_until + span;
            }
            Fault::KillNode(node) => {
                self.kill_node(node);
                self.start_node(node);
            }
            Fault::KillRouter(node) => {
                self.kill_router(node);
                self.start_router(node);
            }
            Fault::FreezeNode { node, span } => self.nodes[node].frozen_until = now + span,
            Fault::SplitCore(group) => {
                let others: Vec<usize> = all_keepers.into_iter().filter(|keeper| !group.contains(keeper)).collect();
                self.net.cut_between(&group, &others, true);
                if self.draw.chance(50) {
                    self.net.cut_between(&group, &all_nodes, true);
                }
            }
            Fault::IsolateKeeper { keeper, both_ways } => {
                let others: Vec<usize> = all_keepers.into_iter().chain(all_nodes).collect();
                let inward = self.draw.chance(50);
                if inward {
                    self.net.cut_between(&others, &[keeper], both_ways);
                } else {
                    self.net.cut_between(&[keeper], &others, both_ways);
                }
            }
            Fault::IsolateNode { node, both_ways } => {
                if self.draw.chance(50) {
                    self.net.cut_between(&all_keepers, &[NODE_BASE + node], both_ways);
                } else {
                    self.net.cut_between(&[NODE_BASE + node], &all_keepers, both_ways);
                }
            }
            Fault::CutOffCore => self.net.cut_between(&all_keepers, &all_nodes, true),
            Fault::SlowNet => self.net.slow = true,
            Fault::Heal => self.net.heal(),
        }
    }

    /// A disk may be lost if the promise made for it holds: one at a time, the others whole.
    fn may_lose(&self, keeper: usize) -> bool {
        let id = self.keepers[keeper].id;
        let newest_view =
            self.keepers.iter().filter_map(|other| other.disk.view.as_ref()).max_by_key(|view| view.number);
        let Some(view) = newest_view else { return false };
        let others_aligned = self
            .keepers
            .iter()
            .filter(|other| other.id != id && view.in_chain(other.id) && other.disk.whole == view.number)
            .count();
        let voters_left = self.keepers.iter().filter(|other| other.id != id && view.votes(other.id)).count();
        others_aligned >= 1 && voters_left >= view.majority() && view.voters.len() == KEEPERS
    }

    /// Ends every fault: what is down starts, what is cut or slow is healed, what is frozen wakes.
    pub fn end_faults(&mut self) {
        self.net.heal();
        let now = self.now;
        for number in 0..KEEPERS {
            self.keepers[number].frozen_until = now;
            self.keepers[number].busy_until = now;
            self.keepers[number].sync_span = Span::millis(2);
            self.start_keeper(number);
        }
        for number in 0..NODES {
            self.nodes[number].frozen_until = now;
            self.start_node(number);
        }
        let at = self.millis();
        self.record.world.push(WorldLine::LastFaultOver { at });
        self.note("faults over".into());
    }
}

/// What a synced store leaves on a simulated disk.
pub fn keep(disk: &mut Kept, stored: Stored) {
    match stored {
        Stored::Record(record) => disk.records.push(record),
        Stored::Snapshot { mark, state } => {
            disk.mark = mark;
            disk.state = *state;
            disk.records.clear();
        }
        Stored::View(view) => disk.view = Some(view),
        Stored::Vote(vote) => disk.vote = vote,
        Stored::Aligned(view_number) => disk.aligned = view_number,
        Stored::Whole(view_number) => disk.whole = view_number,
    }
}
