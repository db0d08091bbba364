//! A fleet: platform, keepers, engines, and nodes of agent and router each.

use crate::prelude::*;

/// The zones of an office.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// An edge machine.
pub struct Node {
    /// Its agent, if it runs.
    pub agent: Option<Process>,
    /// Its router, if it runs.
    pub router: Option<Process>,
    pub(crate) agent_address: String,
    pub(crate) router_address: String,
}

/// A core machine.
pub struct Keeper {
    /// Its keeper, if it runs.
    pub process: Option<Process>,
    /// Where keepers and agents reach it: the relay, if there is one.
    pub address: String,
    /// Where operators reach it.
    pub operator_address: String,
    /// Its id, as it told.
    pub id: String,
    /// Its data folder.
    pub data: PathBuf,
    /// The relay before it, if the fleet has such.
    pub relay: Option<Relay>,
    pub(crate) bound_address: String,
    pub(crate) zone: String,
}

/// An engine of the pool.
pub struct Engine {
    /// The engine, if it runs.
    pub process: Option<Process>,
    /// Its name in the listing.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// Listed as leaving for now.
    pub listed_away: bool,
    pub(crate) zone: String,
}

/// A running fleet; its processes end with it.
pub struct Fleet {
    /// What it is made of.
    pub plan: FleetPlan,
    /// Where its data and logs are.
    pub folder: PathBuf,
    /// The stand-in for the platform.
    pub platform: Process,
    /// The prompt store, if it runs.
    pub store: Option<Process>,
    /// Where the store is reached.
    pub store_address: String,
    /// The core machines.
    pub keepers: Vec<Keeper>,
    /// The edge machines.
    pub nodes: Vec<Node>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The key of the operator.
    pub operator_key: String,
    /// Tenant and key, eight of them.
    pub tenants: Vec<(String, String)>,
    /// What operators, the platform and the test did so far.
    pub events: Mutex<Vec<EventLine>>,
    pub(crate) runtime: tokio::runtime::Runtime,
    keeps_folder: bool,
}

/// Milliseconds since the machine started.
pub fn boot_millis() -> u64 {
    boot_now().0 / 1_000_000
}

impl Fleet {
    /// Starts everything and waits until requests are served by every router.
    pub fn start(plan: FleetPlan) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("testbed-{}", NodeId::random()));
        Fleet::start_in(plan, folder, false)
    }

    /// Starts everything in a folder, which may be kept.
    pub fn start_in(plan: FleetPlan, folder: PathBuf, keeps_folder: bool) -> Result<Fleet, String> {
        std::fs::create_dir_all(&folder).map_err(|fault| format!("{}: {fault}", folder.display()))?;
        let runtime = small_runtime(2).map_err(|fault| fault.to_string())?;
        let platform = Process::start("platform", "platform", &[], &folder)?;
        let store = Process::start("store", "store", &[], &folder)?;
        let store_address = store.address();
        let operator_key = format!("operator-{}", NodeId::random());
        std::fs::write(folder.join("operator.key"), &operator_key).map_err(|fault| fault.to_string())?;
        let tenants = (0..8).map(|number| (format!("tenant{number}"), format!("key-{number}-{}", NodeId::random())));
        let mut fleet = Fleet {
            plan: plan.clone(),
            folder,
            platform,
            store: Some(store),
            store_address,
            keepers: Vec::new(),
            nodes: Vec::new(),
            engines: Vec::new(),
            operator_key,
            tenants: tenants.collect(),
            events: Mutex::new(Vec::new()),
            runtime,
            keeps_folder,
        };
        for number in 0..plan.keepers {
            fleet.add_keeper(number == 0)?;
        }
        for _ in 0..plan.engines {
            fleet.add_engine()?;
        }
        for _ in 0..plan.nodes {
            fleet.add_node()?;
        }
        fleet.wait_for_chain(plan.keepers)?;
        let document = fleet.initial_document();
        let edition = fleet.put_document(&document)?;
        fleet.wait_until_served(edition)?;
        Ok(fleet)
    }

    /// Adds a line to the record.
    pub fn record_event(&self, line: EventLine) {
        if let Ok(mut events) = self.events.lock() {
            events.push(line);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        self.engines.clear();
        self.keepers.clear();
        self.store = None;
        self.platform.kill();
        if !self.keeps_folder && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
