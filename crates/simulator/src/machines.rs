//! The simulated machines: keepers with disks, nodes with an agent's subscription and a router, and the links and
//! orders between machines.

use crate::prelude::*;

/// A machine's own clock, with an offset and a slightly wrong rate.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub offset: u64,
    /// Rate relative to virtual time, in parts per 100,000.
    pub rate: u64,
}

impl Clock {
    /// A clock with a random offset of up to 1,000,000 s and a rate within 0.5 % of virtual time.
    pub fn random(rng: &mut SeededRng) -> Clock {
        Clock { offset: rng.between(1_000, 1_000_000) * 1_000_000_000, rate: rng.between(99_500, 100_500) }
    }

    /// The clock's reading at an instant of virtual time.
    pub fn read(&self, at: Instant) -> Instant {
        Instant(self.offset + at.0 / 100_000 * self.rate)
    }
}

/// A keeper machine with its disk and the state of its duties.
pub struct SimKeeper {
    pub coordinator: Option<Coordinator>,
    pub id: NodeId,
    pub address: String,
    /// What survives a crash.
    pub disk: PersistedState,
    pub clock: Clock,
    /// Counts restarts; events of an earlier incarnation are ignored.
    pub incarnation: u64,
    pub frozen_until: Instant,
    /// Inputs wait until the disk has synced.
    pub busy_until: Instant,
    pub sync_span: Span,
    /// Effects that wait for the disk sync; they are forwarded out before the next input is taken.
    pub pending_effects: Option<Vec<Effect>>,
    pub listing_pending_since: Option<Instant>,
    /// When it last read the platform's listing.
    pub last_listing_read: Instant,
    pub conductor: Conductor,
    pub planner: WarmingPlanner,
    /// When it last queried the demand for adapters.
    pub last_demand_query: Instant,
    pub outstanding: BTreeMap<EngineName, Instant>,
}

impl SimKeeper {
    /// A keeper with an empty disk that has not started.
    pub fn new(number: usize, clock: Clock) -> SimKeeper {
        SimKeeper {
            coordinator: None,
            id: NodeId(number as u64 + 1),
            address: format!("k{number}"),
            disk: PersistedState::default(),
            clock,
            incarnation: 0,
            frozen_until: Instant(0),
            busy_until: Instant(0),
            pending_effects: None,
            sync_span: Span::millis(2),
            listing_pending_since: None,
            last_listing_read: Instant(0),
            conductor: Conductor::default(),
            planner: WarmingPlanner::default(),
            last_demand_query: Instant(0),
            outstanding: BTreeMap::new(),
        }
    }

    /// When it can take its next input: it is frozen or its disk syncs until then.
    pub fn free_at(&self) -> Instant {
        self.frozen_until.max(self.busy_until)
    }
}

/// A node with an agent's subscription and a router.
pub struct SimNode {
    pub subscription: Option<Subscription>,
    pub id: NodeId,
    pub clock: Clock,
    pub incarnation: u64,
    pub frozen_until: Instant,
    pub router: Option<SimRouter>,
    /// The router that is connected to the agent.
    pub connected_router: Option<NodeId>,
    pub link: Option<usize>,
}

impl SimNode {
    /// A node on which nothing has started.
    pub fn new(number: usize, clock: Clock) -> SimNode {
        SimNode {
            subscription: None,
            id: NodeId(1000 + number as u64),
            clock,
            incarnation: 0,
            frozen_until: Instant(0),
            router: None,
            connected_router: None,
            link: None,
        }
    }
}

/// A router: its fleet snapshot, its lease and its running requests.
pub struct SimRouter {
    pub id: NodeId,
    pub snapshot: FleetSnapshot,
    pub lease_until: Instant,
    pub picker: Picker,
    pub budget: RetryBudget,
    pub runs: BTreeMap<u64, SimRun>,
    pub next_run: u64,
    pub routers: Vec<RouterAddress>,
    pub attempts: u64,
    pub retries: u64,
    /// Counts the requests per adapter that arrived here.
    pub meter: DemandMeter,
}

impl SimRouter {
    pub fn new(id: NodeId, zone: Zone) -> SimRouter {
        SimRouter {
            id,
            snapshot: FleetSnapshot::default(),
            lease_until: Instant(0),
            picker: Picker::new(id, zone),
            budget: RetryBudget::default(),
            runs: BTreeMap::new(),
            next_run: 0,
            routers: Vec::new(),
            attempts: 0,
            retries: 0,
            meter: DemandMeter::default(),
        }
    }
}

/// A connection between a node's agent and a keeper.
pub struct SimLink {
    pub node: usize,
    pub keeper: usize,
    pub keeper_incarnation: u64,
    pub open: bool,
    /// Whether the keeper has accepted the connection; until then it still writes to the previous one.
    pub accepted: bool,
    pub to_keeper: VecDeque<AgentToKeeper>,
    pub to_node: VecDeque<KeeperToAgent>,
}

/// A conductor's order on its way to an engine.
#[derive(Clone, Debug)]
pub struct SimOrder {
    pub holder: String,
    pub term: Term,
    pub kind: SimOrderKind,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SimOrderKind {
    Open,
    LoadWeights(WeightsEdition),
    LoadAdapter(AdapterId),
    UnloadAdapter(AdapterId),
}

impl SimOrderKind {
    /// The order's name in the record and the notes.
    pub fn name(&self) -> &'static str {
        match self {
            SimOrderKind::Open => "open",
            SimOrderKind::LoadWeights(_) => "load",
            SimOrderKind::LoadAdapter(_) => "load adapter",
            SimOrderKind::UnloadAdapter(_) => "unload adapter",
        }
    }
}
