//! The simulated world: machines, network and the event queue.

use crate::prelude::*;

/// Number of keepers, one in each zone.
pub const KEEPERS: usize = 4;
/// Number of nodes, each with an agent and a router.
pub const NODES: usize = 9;
/// Number of engines.
pub const ENGINES: usize = 20;
/// Zones; machines are assigned to them in turn.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// The only model of the fleet.
pub const MODEL: &str = "model";
/// Number of tenants, named `t0`, `t1` and so on.
pub const TENANTS: usize = 8;

/// The whole simulated fleet, its event queue and the record of the run.
pub struct World {
    pub rng: SeededRng,
    pub now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, SimEvent>,
    next_event: u64,
    /// Number of the event that is being handled.
    current_event: u64,
    pub net: SimNetwork,
    pub keepers: Vec<SimKeeper>,
    pub nodes: Vec<SimNode>,
    pub engines: Vec<SimEngine>,
    pub listing_number: u64,
    pub links: Vec<SimLink>,
    pub record: Record,
    pub extra_violations: Vec<String>,
    /// Submitted changes by ticket, until their outcome is known.
    pub pending_changes: BTreeMap<u64, PendingChange>,
    pub next_ticket: u64,
    pub acked: BTreeMap<RequestId, Edition>,
    /// The request committed under each edition, as first seen on any machine.
    pub committed: BTreeMap<Edition, RequestId>,
    /// Keys whose addition was acknowledged: hash, tenant, number.
    pub live_keys: Vec<(String, String, u64)>,
    /// Every key ever created with its tenant, whether valid or not.
    pub keys: Vec<(String, String)>,
    pub next_key: u64,
    pub wanted_weights: u64,
    /// How many changes of each race between two operators were applied.
    pub races_taken: BTreeMap<u64, u32>,
    /// The whole core loses power right after the next acknowledgement.
    pub power_loss_pending: bool,
    /// Keepers crash in the middle of the next view change.
    pub campaign_loss_pending: bool,
    /// The node that freezes when it next connects an attempt.
    pub freeze_on_connect: Option<usize>,
    pub faults_over: bool,
    /// Nodes that stay cut off from the core until the given time, even if the network heals.
    pub held_cuts: Vec<(usize, Instant)>,
    pub callers: Vec<SimCaller>,
    /// Claims that routers wait for, by ticket: node, router, run.
    pub claim_tickets: BTreeMap<u64, (usize, NodeId, u64)>,
    pub store: SimBlockCache,
    pub store_up: bool,
    /// Network latency between callers and routers.
    pub caller_distance: Span,
    pub fault_kinds: Vec<&'static str>,
    /// By tenant: the number of unanswered requests to unwall it, and the edition of the last answered one.
    pub pending_unwalls: BTreeMap<String, (u64, Edition)>,
    /// Requests for adapters and their shift between regions, if the run has them.
    pub scenario: Option<Scenario>,
    /// Demand queries by ticket: keeper and its incarnation.
    pub demand_queries: BTreeMap<u64, (usize, u64)>,
    pub notes: Vec<String>,
    pub keeps_notes: bool,
}

/// A submitted change whose outcome is not known yet.
#[derive(Clone, Debug)]
pub struct PendingChange {
    pub request: RequestId,
    pub kind: Option<ChangeKind>,
}

/// What a submitted change was, which decides what follows its acknowledgement.
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
    /// A conductor's change to an engine or plan; the conductor waits for it before its next one.
    ConductorStep {
        keeper: usize,
        engine: EngineName,
    },
    /// A stated intent; its plan is confirmed next, through a random keeper.
    IntentStated,
    /// One of two changes made on the same base; holds the number of the race.
    Race(u64),
    Other,
}

impl World {
    /// Creates a world and starts its machines; tenants use adapters if there is a scenario for them.
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

    /// Schedules an event after a span of virtual time.
    pub fn schedule_after(&mut self, span: Span, event: SimEvent) {
        self.schedule_at(self.now + span, event);
    }

    /// Schedules an event at an instant of virtual time.
    pub fn schedule_at(&mut self, instant: Instant, event: SimEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((instant, self.next_event)));
    }

    /// Puts the current event off until a machine is free again; deferred events keep their original order.
    pub fn defer(&mut self, instant: Instant, event: SimEvent) {
        self.events.insert(self.current_event, event);
        self.queue.push(Reverse((instant, self.current_event)));
    }

    /// Runs all events up to an instant.
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

    /// The current virtual time in milliseconds.
    pub fn millis(&self) -> u64 {
        self.now.0 / 1_000_000
    }

    /// Adds a note with a timestamp, if notes are kept.
    pub fn note(&mut self, text: String) {
        if self.keeps_notes {
            self.notes.push(format!("{:>7} {text}", self.millis()));
        }
    }
}
