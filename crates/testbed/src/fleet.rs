//! A fleet: the platform, the store, keepers, engines, and nodes with an agent and a router each.

use crate::prelude::*;

/// Zones that machines are assigned to in turn.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// An edge machine, which runs an agent and a router.
pub struct Node {
    /// The agent process, if it is running.
    pub agent: Option<Process>,
    /// The router process, if it is running.
    pub router: Option<Process>,
    pub(crate) agent_address: String,
    pub(crate) router_address: String,
}

/// A core machine, which runs a keeper.
pub struct Keeper {
    /// The keeper process, if it is running.
    pub process: Option<Process>,
    /// Address for keepers and agents; that of the relay, if there is one.
    pub address: String,
    /// Address of the operators' API.
    pub operator_address: String,
    /// Node id, as reported in the ready line.
    pub id: String,
    /// Data folder.
    pub data: PathBuf,
    /// The relay in front of the keeper, if the fleet uses relays.
    pub relay: Option<Relay>,
    pub(crate) bound_address: String,
    pub(crate) zone: String,
}

/// An engine.
pub struct Engine {
    /// The engine process, if it is running.
    pub process: Option<Process>,
    /// Name in the platform's listing.
    pub name: String,
    /// Address of the engine.
    pub address: String,
    /// Whether a fault has listed the engine as leaving.
    pub listed_away: bool,
    pub(crate) zone: String,
}

/// A running fleet; dropping it ends its processes.
pub struct Fleet {
    /// The plan that the fleet was started from.
    pub plan: FleetPlan,
    /// Folder of data and logs.
    pub folder: PathBuf,
    /// The stand-in platform process.
    pub platform: Process,
    /// The prompt store process, if it is running.
    pub store: Option<Process>,
    /// Address of the prompt store.
    pub store_address: String,
    /// The core machines.
    pub keepers: Vec<Keeper>,
    /// The edge machines.
    pub nodes: Vec<Node>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The key of the operator.
    pub operator_key: String,
    /// Names and keys of the eight tenants.
    pub tenants: Vec<(String, String)>,
    /// Recorded actions of operators, the platform and the test.
    pub events: Mutex<Vec<EventLine>>,
    pub(crate) runtime: tokio::runtime::Runtime,
    keeps_folder: bool,
}

/// Milliseconds since the machine started.
pub fn boot_millis() -> u64 {
    boot_now().0 / 1_000_000
}

impl Fleet {
    /// Starts a fleet in a temporary folder and waits until every router serves.
    pub fn start(plan: FleetPlan) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("testbed-{}", NodeId::random()));
        Fleet::start_in(plan, folder, false)
    }

    /// Starts a fleet in a folder, which is optionally kept afterwards.
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

    /// Adds an event to the record.
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
