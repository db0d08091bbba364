//! The world: machines, network, disk, and the queue of what happens when.

use crate::prelude::*;

pub const KEEPERS: usize = 4;
pub const NODES: usize = 9;
pub const ENGINES: usize = 20;
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
pub const MODEL: &str = "model";
pub const TENANTS: usize = 8;

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
    Enters { node: usize, caller: usize, request: SimRequest },
    RunInput { to: ShotPlaceName, input: CarriageInput<SimPiece> },
    EngineGets { engine: usize, ask: Box<EngineAsk> },
    EngineWorks { engine: usize, boot: u64, shot: String },
    EnginePrefills { engine: usize, ask: Box<EngineAsk> },
    Prefilled { to: ShotPlaceName },
    EngineAllows { engine: usize, shot: String, span: Span },
    EngineLosesCaller { engine: usize, shot: String },
    OrderLeaves { keeper: usize, life: u64, engine: usize, order: SimOrder },
    Ordered { engine: usize, order: SimOrder },
    EngineLoads { engine: usize, boot: u64, weights: WeightsEdition },
    AdapterLoads { engine: usize, boot: u64, adapter: AdapterId },
    TellsDemand { node: usize },
    AdapterLoss(Loss),
    Returns(Returning),
    RaisesRevision,
    Polls { node: usize, life: u64 },
    WorkLook { node: usize, life: u64 },
    ClaimAgain { node: usize, router: NodeId, ticket: u64, submission: Submission, until: Instant },
    PatienceEnds { caller: usize },
    CallerLeft(CallerLeft),
    ComesBack { node: usize, caller: usize },
    Resumes { node: usize, caller: usize, carried: bool },
    AsksAgain { node: usize, request: SimRequest },
    Loses { keeper: usize },
    IsolatesHolder { again: u64 },
    Revives,
    Heals,
    WithdrawsBehind { node: usize, key_hash: String },
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
    /// The number of what happens now.
    present: u64,
    pub net: Net,
    pub keepers: Vec<SimKeeper>,
    pub nodes: Vec<SimNode>,
    pub engines: Vec<SimEngine>,
    pub listing_number: u64,
    pub links: Vec<SimLink>,
    pub record: Record,
    pub extra: Vec<String>,
    /// What each ticket asked, and what its acknowledgement means.
    pub asked: BTreeMap<u64, AskedChange>,
    pub next_ticket: u64,
    pub acked: BTreeMap<RequestId, Edition>,
    /// Which request was committed under each edition, wherever that was seen.
    pub committed: BTreeMap<Edition, RequestId>,
    /// Keys whose adding was acknowledged: hash, tenant, number.
    pub live_keys: Vec<(String, String, u64)>,
    /// Every key there ever was, with its tenant, in force or not.
    pub keys: Vec<(String, String)>,
    pub next_key: u64,
    pub wanted_weights: u64,
    /// Two operators' changes on one base, and whether one of them was taken.
    pub raced: BTreeMap<u64, u32>,
    /// The next acknowledgement is followed by a loss of power in the whole core.
    pub power_fails: bool,
    /// The next campaign for a view loses keepers in its midst.
    pub campaign_fails: bool,
    /// The node that freezes when it next connects a shot.
    pub freezing: Option<usize>,
    pub faults_over: bool,
    /// Nodes that stay cut off from the core for a while, whatever heals.
    pub held_cuts: Vec<(usize, Instant)>,
    pub callers: Vec<SimCaller>,
    /// Claims that routers wait for: node, router, run.
    pub tickets: BTreeMap<u64, (usize, NodeId, u64)>,
    pub store: SimMemory,
    pub store_up: bool,
    /// How far the callers are from the routers.
    pub caller_distance: Span,
    pub fault_kinds: Vec<&'static str>,
    /// Unwallings asked for and not answered, and the edition of the last one answered, by tenant.
    pub unwallings: BTreeMap<String, (u64, Edition)>,
    /// Requests run on adapters, and their load moves between regions.
    pub scenario: Option<Scenario>,
    /// Questions about demand: ticket, keeper and its life.
    pub demand_asks: BTreeMap<u64, (usize, u64)>,
    pub notes: Vec<String>,
    pub keeps_notes: bool,
}

#[derive(Clone, Debug)]
pub struct AskedChange {
    pub request: RequestId,
    pub means: Option<Meaning>,
}

#[derive(Clone, Debug)]
pub enum Meaning {
    KeyAdded {
        key: String,
        tenant: String,
        number: u64,
    },
    KeyWithdrawn(String),
    Weights(u64),
    Walled(String),
    Unwalled(String),
    /// The conductor's word on an engine: it waits for this before it goes on.
    Stands {
        keeper: usize,
        engine: EngineName,
    },
    /// An intent was stated; its plan is confirmed next, through any keeper.
    Intended,
    /// One of two changes made on one base.
    Raced(u64),
    Plain,
}

fn draw_clock(draw: &mut Draw) -> Clock {
    Clock { offset: draw.between(1_000, 1_000_000) * 1_000_000_000, rate: draw.between(99_500, 100_500) }
}

impl World {
    pub fn new(seed: u64) -> World {
        World::with(seed, None)
    }

    /// A world whose tenants run on adapters, if there is a scenario for them.
    pub fn with(seed: u64, scenario: Option<Scenario>) -> World {
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
                planner: WarmingPlanner::default(),
                demand_asked: Instant(0),
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
        let is_split = Draw::new(seed ^ 0x0511_7000).chance(25);
        let engines = (0..ENGINES)
            .map(|number| SimEngine {
                name: EngineName(format!("e{number}")),
                zone: Zone(ZONES[number % 4].into()),
                role: match (is_split, number % 3) {
                    (false, _) => Role::Whole,
                    (true, 0) => Role::Prefill,
                    (true, _) => Role::Decode,
                },
                weights: WeightsEdition(1),
                listed: Some(Listed::Open),
                up: false,
                accepting: false,
                highest_term: 0,
                memory: SimMemory::default(),
                shots: BTreeMap::new(),
                manner: Manner::Good,
                manner_until: Instant(0),
                hides_until: Instant(0),
                keeps_on_load: false,
                resident: BTreeSet::new(),
                loading: BTreeSet::new(),
            })
            .collect();
        let keys = (0..TENANTS).map(|tenant| (format!("{:064x}", tenant + 1), format!("t{tenant}"))).collect();
        let caller_distance = if draw.chance(50) { Span::millis(25) } else { Span::millis(2) };
        let mut world = World {
            draw,
            now: Instant(1_000_000_000),
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            next_happening: 0,
            present: 0,
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
            keys,
            next_key: TENANTS as u64,
            wanted_weights: 1,
            raced: BTreeMap::new(),
            power_fails: false,
            campaign_fails: false,
            freezing: None,
            faults_over: false,
            held_cuts: Vec::new(),
            callers: Vec::new(),
            tickets: BTreeMap::new(),
            store: SimMemory::default(),
            store_up: true,
            caller_distance,
            fault_kinds: Vec::new(),
            unwallings: BTreeMap::new(),
            scenario,
            demand_asks: BTreeMap::new(),
            notes: Vec::new(),
            keeps_notes: false,
        };
        world.store.restart();
        world.found();
        for number in 0..KEEPERS {
            world.start_keeper(number);
        }
        for number in 0..ENGINES {
            world.start_engine(number);
        }
        for number in 0..NODES {
            world.start_node(number);
            world.later(Span::millis(number as u64), Happening::Traffic { node: number });
        }
        world.later(Span::millis(100), Happening::Sample);
        if world.scenario.is_some() {
            (0..NODES).for_each(|node| world.later(Span::seconds(1), Happening::TellsDemand { node }));
        }
        world
    }

    fn found(&mut self) {
        let mut state = FleetState::default();
        let tenants: Vec<String> = self
            .keys
            .iter()
            .map(|(key, tenant)| {
                let walled = tenant == "t5";
                format!(r#""{tenant}":{{"walled":{walled},"share":400,"keys":{{"main":"{key}"}}}}"#)
            })
            .collect();
        let document = format!(
            r#"{{"operators":{{"o":"{:064}"}},"models":{{"model":{{"weights":1}}}},"tenants":{{{}}},
                "kinds":["k"],"store":"127.0.0.1:9","routing":{{"fetch":{{"setup_us":100}}}}}}"#,
            0,
            tenants.join(",")
        );
        let at = self.millis();
        self.record.world.push(WorldLine::Walled { at, tenant: "t5".into() });
        let command = Command::Replace { base: None, text: document };
        state.apply(&Submission { request: RequestId(1), command });
        self.found_adapters(&mut state);
        let founder = self.member(0);
        for stored in Warden::founding(&founder, FleetId(77), state) {
            keep(&mut self.keepers[0].disk, stored);
        }
    }

    pub fn member(&self, keeper: usize) -> Member {
        let address = self.keepers[keeper].address.clone();
        Member { id: self.keepers[keeper].id, door: address.clone(), address, zone: Zone(ZONES[keeper].into()) }
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

    /// Puts off what happens now until a machine is awake again, in the order in which it came first.
    pub fn defer(&mut self, instant: Instant, happening: Happening) {
        self.happenings.insert(self.present, happening);
        self.queue.push(Reverse((instant, self.present)));
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
                self.present = number;
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
                match self.scenario {
                    Some(_) => self.call_adapted(node),
                    None => self.call(node),
                }
                let pause = Span::millis(self.draw.between(40, 260));
                self.later(pause, Happening::Traffic { node });
            }
            Happening::Enters { node, caller, request } => self.enter(node, caller, request),
            Happening::RunInput { to, input } => self.hear_engine(to, input),
            Happening::EngineGets { engine, ask } => self.engine_gets(engine, *ask),
            Happening::EngineWorks { engine, boot, shot } => self.engine_works(engine, boot, shot),
            Happening::EnginePrefills { engine, ask } => self.engine_prefills(engine, *ask),
            Happening::Prefilled { to } => self.hear_prefilled(to),
            Happening::EngineAllows { engine, shot, span } => self.engine_allows(engine, &shot, span),
            Happening::EngineLosesCaller { engine, shot } => self.engine_loses_caller(engine, &shot),
            Happening::OrderLeaves { keeper, life, engine, order } => self.order_leaves(keeper, life, engine, order),
            Happening::Ordered { engine, order } => self.engine_ordered(engine, order),
            Happening::EngineLoads { engine, boot, weights } => self.engine_loads(engine, boot, weights),
            Happening::AdapterLoads { engine, boot, adapter } => self.engine_holds(engine, boot, adapter),
            Happening::TellsDemand { node } => self.tell_demand(node),
            Happening::AdapterLoss(loss) => self.lose(loss),
            Happening::Returns(returning) => self.hear_returns(returning),
            Happening::RaisesRevision => self.raise_revision(),
            Happening::Polls { node, life } => self.poll_sources(node, life),
            Happening::WorkLook { node, life } => self.work_pulse(node, life),
            Happening::ClaimAgain { node, router, ticket, submission, until } => {
                self.say_submission(node, router, ticket, submission, until);
            }
            Happening::PatienceEnds { caller } => self.lose_patience(caller),
            Happening::CallerLeft(left) => self.hear_caller_left(left),
            Happening::ComesBack { node, caller } => self.hear_comes_back(node, caller),
            Happening::Resumes { node, caller, carried } => self.resume(node, caller, carried),
            Happening::AsksAgain { node, request } => self.ask_again(node, request),
            Happening::IsolatesHolder { again } => self.isolate_holder(again),
            Happening::Loses { keeper } => self.kill_keeper(keeper),
            Happening::Revives => self.revive(),
            Happening::Heals => self.heal_but_held(true),
            Happening::WithdrawsBehind { node, key_hash } => self.hear_withdraws_behind(node, &key_hash),
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

    pub fn sample(&mut self) {
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
                shots: router.shots,
                retries: router.retries,
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
            self.extra.push(format!("rule 8: two active tails at {at}: {active_tails:?}"));
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
}
