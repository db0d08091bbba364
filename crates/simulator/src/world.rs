//! The world: machines, network, disk, and the queue of what happens when.

use crate::prelude::*;

pub const KEEPERS: usize = 4;
pub const NODES: usize = 9;
pub const ENGINES: usize = 20;
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
pub const MODEL: &str = "model";
pub const TENANTS: usize = 8;

pub struct World {
    pub rng: SeededRng,
    pub now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, SimEvent>,
    next_event: u64,
    /// The number of what happens now.
    current_event: u64,
    pub net: SimNetwork,
    pub keepers: Vec<SimKeeper>,
    pub nodes: Vec<SimNode>,
    pub engines: Vec<SimEngine>,
    pub listing_number: u64,
    pub links: Vec<SimLink>,
    pub record: Record,
    pub extra_violations: Vec<String>,
    /// What each ticket asked, and what its acknowledgement means.
    pub pending_changes: BTreeMap<u64, PendingChange>,
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
    pub races_taken: BTreeMap<u64, u32>,
    /// The next acknowledgement is followed by a loss of power in the whole core.
    pub power_loss_pending: bool,
    /// The next campaign for a view loses keepers in its midst.
    pub campaign_loss_pending: bool,
    /// The node that freezes when it next connects an attempt.
    pub freeze_on_connect: Option<usize>,
    pub faults_over: bool,
    /// Nodes that stay cut off from the core for a while, whatever heals.
    pub held_cuts: Vec<(usize, Instant)>,
    pub callers: Vec<SimCaller>,
    /// Claims that routers wait for: node, router, run.
    pub claim_tickets: BTreeMap<u64, (usize, NodeId, u64)>,
    pub store: SimBlockCache,
    pub store_up: bool,
    /// How far the callers are from the routers.
    pub caller_distance: Span,
    pub fault_kinds: Vec<&'static str>,
    /// Unwallings asked for and not answered, and the edition of the last one answered, by tenant.
    pub pending_unwalls: BTreeMap<String, (u64, Edition)>,
    /// Requests run on adapters, and their load moves between regions.
    pub scenario: Option<Scenario>,
    /// Questions about demand: ticket, keeper and its life.
    pub demand_queries: BTreeMap<u64, (usize, u64)>,
    pub notes: Vec<String>,
    pub keeps_notes: bool,
}

#[derive(Clone, Debug)]
pub struct PendingChange {
    pub request: RequestId,
    pub kind: Option<ChangeKind>,
}

#[derive(Clone, Debug)]
pub enum ChangeKind {
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
    ConductorStep {
        keeper: usize,
        engine: EngineName,
    },
    /// An intent was stated; its plan is confirmed next, through any keeper.
    IntentStated,
    /// One of two changes made on one base.
    Race(u64),
    Other,
}

impl World {
    /// A world that begins; its tenants run on adapters if there is a scenario for them.
    pub fn new(seed: u64, scenario: Option<Scenario>) -> World {
        let mut rng = SeededRng::new(seed);
        let keepers = (0..KEEPERS).map(|number| SimKeeper::new(number, Clock::random(&mut rng))).collect();
        let nodes = (0..NODES).map(|number| SimNode::new(number, Clock::random(&mut rng))).collect();
        let is_split = SeededRng::new(seed ^ 0x0511_7000).chance(25);
        let engines = (0..ENGINES).map(|number| SimEngine::new(number, is_split)).collect();
        let keys = (0..TENANTS).map(|tenant| (format!("{:064x}", tenant + 1), format!("t{tenant}"))).collect();
        let caller_distance = if rng.chance(50) { Span::millis(25) } else { Span::millis(2) };
        let mut world = World {
            rng,
            now: Instant(1_000_000_000),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            current_event: 0,
            net: SimNetwork::default(),
            keepers,
            nodes,
            engines,
            listing_number: 1,
            links: Vec::new(),
            record: Record::default(),
            extra_violations: Vec::new(),
            pending_changes: BTreeMap::new(),
            next_ticket: 0,
            acked: BTreeMap::new(),
            committed: BTreeMap::new(),
            live_keys: Vec::new(),
            keys,
            next_key: TENANTS as u64,
            wanted_weights: 1,
            races_taken: BTreeMap::new(),
            power_loss_pending: false,
            campaign_loss_pending: false,
            freeze_on_connect: None,
            faults_over: false,
            held_cuts: Vec::new(),
            callers: Vec::new(),
            claim_tickets: BTreeMap::new(),
            store: SimBlockCache::default(),
            store_up: true,
            caller_distance,
            fault_kinds: Vec::new(),
            pending_unwalls: BTreeMap::new(),
            scenario,
            demand_queries: BTreeMap::new(),
            notes: Vec::new(),
            keeps_notes: false,
        };
        world.bootstrap();
        world
    }

    pub fn schedule_after(&mut self, span: Span, event: SimEvent) {
        self.schedule_at(self.now + span, event);
    }

    pub fn schedule_at(&mut self, instant: Instant, event: SimEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((instant, self.next_event)));
    }

    /// Puts off what happens now until a machine is awake again, in the order in which it came first.
    pub fn defer(&mut self, instant: Instant, event: SimEvent) {
        self.events.insert(self.current_event, event);
        self.queue.push(Reverse((instant, self.current_event)));
    }

    /// Runs until an instant.
    pub fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((instant, number))) = self.queue.peek().copied() {
            if instant > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(instant);
            if let Some(event) = self.events.remove(&number) {
                self.current_event = number;
                self.handle(event);
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
}
