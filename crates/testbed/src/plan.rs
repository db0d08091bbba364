//! What a fleet is made of.

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Whose day is played.
    pub office: String,
    /// Core machines.
    pub keepers: usize,
    /// Edge machines.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Flags for every engine besides the usual ones.
    pub engine_flags: Vec<String>,
    /// Where routers take overlap from: `events`, `history` or `occupancy`.
    pub overlap_source: String,
    /// The default policy's weight.
    pub weight: f64,
    /// How much agents, routers and keepers log.
    pub log_level: String,
    /// Routers record the day under the fleet's folder.
    pub records_days: bool,
    /// Keepers are reached through relays, which can be cut.
    pub relayed: bool,
    /// The first engine prefills, the others decode.
    pub split_roles: bool,
    /// Keepers are those built with pretended disks, which `set_disk_fault` makes misbehave.
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
