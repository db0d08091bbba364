//! Starts the processes of a fleet, each at its previous address after a restart, and lists engines with the
//! platform.

use crate::prelude::*;

/// Transfer time of a block in microseconds over an office's fast links.
pub(crate) const QUICK_LINK_US: u64 = 100;
/// Transfer time of a block in microseconds over an office's slow links.
pub(crate) const SLOW_LINK_US: u64 = 900;

impl Fleet {
    /// Addresses of up to three keepers, preferring running ones.
    pub fn seed_addresses(&self) -> String {
        let running = self.keepers.iter().filter(|keeper| keeper.process.is_some());
        let mut addresses: Vec<&str> = running.map(|keeper| keeper.address.as_str()).collect();
        if addresses.is_empty() {
            addresses = self.keepers.iter().map(|keeper| keeper.address.as_str()).collect();
        }
        addresses.truncate(3);
        addresses.join(",")
    }

    /// Adds and starts a keeper; returns its index.
    pub fn add_keeper(&mut self, founds: bool) -> Result<usize, String> {
        let number = self.keepers.len();
        let data = self.folder.join(format!("keeper{number}.data"));
        let relay = if self.plan.relayed { Some(Relay::start()?) } else { None };
        let keeper = Keeper {
            process: None,
            address: "127.0.0.1:0".into(),
            operator_address: "127.0.0.1:0".into(),
            id: String::new(),
            data,
            relay,
            bound_address: "127.0.0.1:0".into(),
            zone: ZONES[number % 4].into(),
        };
        self.keepers.push(keeper);
        self.start_keeper(number, founds)?;
        Ok(number)
    }

    /// The program and arguments that a keeper is started with.
    pub fn keeper_command(&self, number: usize, founds: bool) -> (&'static str, Vec<String>) {
        let seeds = self.seed_addresses();
        let keeper = &self.keepers[number];
        let mut arguments = vec![
            format!("--listen={}", keeper.bound_address),
            format!("--door={}", keeper.operator_address),
            format!("--data={}", keeper.data.display()),
            format!("--zone={}", keeper.zone),
            format!("--platform={}", self.platform.address()),
            format!("--log-level={}", self.plan.log_level),
            format!("--core-size={}", self.plan.keepers),
        ];
        if let Some(relay) = &keeper.relay {
            arguments.push(format!("--advertise={}", relay.address));
        }
        if founds {
            arguments.push("--found".into());
            arguments.push(format!("--operator-key-file={}", self.folder.join("operator.key").display()));
        } else {
            arguments.push(format!("--seeds={seeds}"));
        }
        let program = if self.plan.faulty_disks { FAULTY_DISK_KEEPER } else { "keeper" };
        if self.plan.faulty_disks {
            arguments.push(format!("--disk-faults={}", self.disk_fault_file(number).display()));
        }
        (program, arguments)
    }

    /// Starts a keeper on its data folder, at its previous address.
    pub fn start_keeper(&mut self, number: usize, founds: bool) -> Result<(), String> {
        let (program, arguments) = self.keeper_command(number, founds);
        let process = Process::start(program, &format!("keeper{number}"), &arguments, &self.folder)?;
        let keeper = &mut self.keepers[number];
        keeper.address = process.address();
        keeper.bound_address = process.ready.get("bound").cloned().unwrap_or_default();
        if let Some(relay) = &keeper.relay {
            relay.set_target(&keeper.bound_address);
        }
        keeper.operator_address = process.ready.get("door").cloned().unwrap_or_default();
        keeper.id = process.ready.get("id").cloned().unwrap_or_default();
        keeper.process = Some(process);
        Ok(())
    }

    /// The file that controls the faults of a keeper's simulated disk.
    pub fn disk_fault_file(&self, number: usize) -> PathBuf {
        self.folder.join(format!("keeper{number}.disk"))
    }

    /// Sets the fault of a keeper's simulated disk: `slow MILLIS`, `stall`, `full`, `fail`, or the empty string for
    /// none.
    pub fn set_disk_fault(&self, number: usize, state: &str) -> Result<(), String> {
        std::fs::write(self.disk_fault_file(number), state).map_err(|fault| fault.to_string())
    }

    /// Adds and starts an engine and lists it as open; returns its index.
    pub fn add_engine(&mut self) -> Result<usize, String> {
        let number = self.engines.len();
        let engine = Engine {
            process: None,
            name: format!("engine{number}"),
            address: "127.0.0.1:0".into(),
            listed_away: false,
            zone: ZONES[number % 4].into(),
        };
        self.engines.push(engine);
        self.start_engine(number, 1)?;
        self.list_engine(number, "open")?;
        Ok(number)
    }

    /// Starts an engine on a weights edition, at its previous address.
    pub fn start_engine(&mut self, number: usize, weights: u64) -> Result<(), String> {
        let engine = &self.engines[number];
        let mut arguments = vec![
            format!("--listen={}", engine.address),
            format!("--name={}", engine.name),
            format!("--weights={weights}"),
            format!("--store={}", self.store_address),
            format!("--link-us={}", if self.plan.office == "sms" { SLOW_LINK_US } else { QUICK_LINK_US }),
            format!("--starts={}", self.folder.join(format!("{}.starts", engine.name)).display()),
            "--log-level=warn".into(),
        ];
        arguments.extend(self.plan.engine_flags.iter().cloned());
        let name = engine.name.clone();
        let process = Process::start("engine", &name, &arguments, &self.folder)?;
        self.engines[number].address = process.address();
        self.engines[number].process = Some(process);
        Ok(())
    }

    /// Lists an engine with the platform as `open`, `leaving` or `gone`.
    pub fn list_engine(&self, number: usize, state: &str) -> Result<(), String> {
        let engine = &self.engines[number];
        let path = format!("/v1/engines/{}", engine.name);
        let role = match (self.plan.split_roles, number) {
            (false, _) => "whole",
            (true, 0) => "prefill",
            (true, _) => "decode",
        };
        let body = json!({"name": engine.name, "address": engine.address, "zone": engine.zone, "model": "model", "role": role, "state": state});
        let request = match state {
            "gone" => OutgoingRequest { method: Method::DELETE, ..OutgoingRequest::get(&path) },
            _ => OutgoingRequest::with_json(Method::PUT, &path, &body),
        };
        self.runtime.block_on(fetch_json(&self.platform.address(), request, REQUEST_TIMEOUT))?;
        let (at, engine) = (boot_millis(), engine.name.clone());
        self.record_event(if state == "open" {
            EventLine::ListedOpen { at, engine }
        } else {
            EventLine::ListedAway { at, engine }
        });
        Ok(())
    }

    /// Adds a node and starts its agent and router; returns its index.
    pub fn add_node(&mut self) -> Result<usize, String> {
        let number = self.nodes.len();
        self.nodes.push(Node {
            agent: None,
            router: None,
            agent_address: "127.0.0.1:0".into(),
            router_address: "127.0.0.1:0".into(),
        });
        self.start_agent(number)?;
        self.start_router(number)?;
        Ok(number)
    }

    /// Starts a node's agent at its previous address.
    pub fn start_agent(&mut self, number: usize) -> Result<(), String> {
        let arguments = vec![
            format!("--listen={}", self.nodes[number].agent_address),
            format!("--seeds={}", self.seed_addresses()),
            format!("--zone={}", ZONES[number % 4]),
            format!("--log-level={}", self.plan.log_level),
        ];
        let process = Process::start("agent", &format!("agent{number}"), &arguments, &self.folder)?;
        self.nodes[number].agent_address = process.address();
        self.nodes[number].agent = Some(process);
        Ok(())
    }

    /// Starts a node's router at its previous address.
    pub fn start_router(&mut self, number: usize) -> Result<(), String> {
        let node = &self.nodes[number];
        let arguments = vec![
            format!("--listen={}", node.router_address),
            format!("--agent={}", node.agent_address),
            format!("--zone={}", ZONES[number % 4]),
            format!("--log-level={}", self.plan.log_level),
        ];
        let mut arguments = arguments;
        if self.plan.records_days {
            arguments.push(format!("--record={}", self.folder.join("days").display()));
        }
        let process = Process::start("router", &format!("router{number}"), &arguments, &self.folder)?;
        self.nodes[number].router_address = process.address();
        self.nodes[number].router = Some(process);
        Ok(())
    }

    /// Address of a node's router.
    pub fn router_address(&self, number: usize) -> String {
        self.nodes[number].router_address.clone()
    }
}
