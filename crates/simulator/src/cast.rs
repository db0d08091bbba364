//! Who plays: keepers with disks, nodes of courier and router, engines, the platform's list.

use crate::prelude::*;

/// A machine's own clock: an offset and a slightly wrong rate.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub offset: u64,
    /// Parts in a hundred thousand.
    pub rate: u64,
}

impl Clock {
    pub fn read(&self, at: Instant) -> Instant {
        Instant(self.offset + at.0 / 100_000 * self.rate)
    }
}

pub struct SimKeeper {
    pub warden: Option<Warden>,
    pub id: NodeId,
    pub address: String,
    /// What a crash leaves behind.
    pub disk: Kept,
    pub clock: Clock,
    /// Counts lives; events of an earlier life are void.
    pub life: u64,
    pub frozen_until: Instant,
    /// While the disk syncs, inputs wait.
    pub busy_until: Instant,
    pub sync_span: Span,
    pub census_since: Option<Instant>,
    /// When it read the platform's listing last.
    pub census_read: Instant,
    pub conductor: Conductor,
    pub submitted: BTreeMap<EngineName, Instant>,
}

pub struct SimNode {
    pub courier: Option<Courier>,
    pub id: NodeId,
    pub clock: Clock,
    pub life: u64,
    pub frozen_until: Instant,
    pub router: Option<SimRouter>,
    /// The router whose stream the agent holds.
    pub fed_router: Option<NodeId>,
    pub link: Option<usize>,
}

/// The router as far as the core matters: what is in force, and until when it may start.
pub struct SimRouter {
    pub id: NodeId,
    pub sight: FleetSight,
    pub lease_until: Instant,
}

impl SimRouter {
    pub fn new(id: NodeId) -> SimRouter {
        SimRouter { id, sight: FleetSight::default(), lease_until: Instant(0) }
    }
}

pub struct SimEngine {
    pub name: EngineName,
    pub weights: WeightsEdition,
    pub listed: Option<Listed>,
}

/// A stream between a node and a keeper.
pub struct SimLink {
    pub node: usize,
    pub keeper: usize,
    pub keeper_life: u64,
    pub open: bool,
    pub up: VecDeque<NodeUp>,
    pub down: VecDeque<NodeDown>,
}
