//! The configuration of a fleet.

/// The configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The office whose day is played.
    pub office: String,
    /// Number of core machines.
    pub keepers: usize,
    /// Number of edge machines.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Additional flags for every engine.
    pub engine_flags: Vec<String>,
    /// What routers take prefix overlap from: `events`, `history` or `occupancy`.
    pub overlap_source: String,
    /// Weight of the default policy.
    pub weight: f64,
    /// Log level of agents, routers and keepers.
    pub log_level: String,
    /// Whether routers record the day in the fleet's folder.
    pub records_days: bool,
    /// Whether keepers are reached through relays, which can be cut.
    pub relayed: bool,
    /// Whether the first engine only prefills and the others only decode.
    pub split_roles: bool,
    /// Whether keepers use simulated disks, whose faults `Fleet::set_disk_fault` sets.
    pub faulty_disks: bool,
}

impl FleetPlan {
    /// A small fleet for tests.
    pub fn small() -> FleetPlan {
        FleetPlan {
            office: "engraving".into(),
            keepers: 4,
            nodes: 2,
            engines: 3,
            engine_flags: vec!["--prefill-us=200".into(), "--decode-us=1000".into(), "--load-ms=100".into()],
            overlap_source: "events".into(),
            weight: 1.0,
            log_level: "info".into(),
            records_days: false,
            relayed: false,
            split_roles: false,
            faulty_disks: false,
        }
    }

    /// A whole office: nine edge machines, four core machines, twenty engines.
    pub fn office(name: &str) -> FleetPlan {
        let (office, engine_flags) = (name.into(), Vec::new());
        FleetPlan { office, nodes: 9, engines: 20, engine_flags, ..FleetPlan::small() }
    }
}
