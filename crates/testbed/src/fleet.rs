//! A fleet: platform, keepers, engines, and nodes of agent and router each.

use crate::prelude::*;

pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const QUICK_LINK_US: u64 = 100;
const SLOW_LINK_US: u64 = 900;
const ASK_LIMIT: Span = Span::seconds(12);

#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub office: String,
    pub keepers: usize,
    pub nodes: usize,
    pub engines: usize,
    /// Flags for every engine besides the usual ones.
    pub engine_flags: Vec<String>,
    pub sight: String,
    pub weight: f64,
    pub log_level: String,
    /// Routers record the day under the fleet's folder.
    pub records: bool,
    /// Keepers are reached through relays, which can be cut.
    pub relayed: bool,
    /// The first engine prefills, the others decode.
    pub split: bool,
    /// Keepers are those built with pretended disks, which `trouble_disk` makes misbehave.
    pub frail: bool,
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
            sight: "events".into(),
            weight: 1.0,
            log_level: "info".into(),
            records: false,
            relayed: false,
            split: false,
            frail: false,
        }
    }

    /// A whole office: nine edge machines, four core machines, twenty engines.
    pub fn office(name: &str) -> FleetPlan {
        let (office, engine_flags) = (name.into(), Vec::new());
        FleetPlan { office, nodes: 9, engines: 20, engine_flags, ..FleetPlan::small() }
    }
}

pub struct Node {
    pub agent: Option<Process>,
    pub router: Option<Process>,
    agent_address: String,
    router_address: String,
}

pub struct Keeper {
    pub process: Option<Process>,
    pub address: String,
    pub door: String,
    pub id: String,
    pub data: PathBuf,
    pub relay: Option<Relay>,
    bound: String,
    zone: String,
}

pub struct Engine {
    pub process: Option<Process>,
    pub name: String,
    pub address: String,
    /// Listed as leaving for now.
    pub away: bool,
    zone: String,
}

pub struct Fleet {
    pub plan: FleetPlan,
    pub folder: PathBuf,
    pub platform: Process,
    pub store: Option<Process>,
    pub store_address: String,
    pub keepers: Vec<Keeper>,
    pub nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    pub operator_key: String,
    /// Tenant and key, eight of them.
    pub tenants: Vec<(String, String)>,
    pub world: Mutex<Vec<WorldLine>>,
    runtime: tokio::runtime::Runtime,
    keeps_folder: bool,
}

pub fn boot_millis() -> u64 {
    boot_now().0 / 1_000_000
}

impl Fleet {
    /// Starts everything and waits until requests are served by every router.
    pub fn start(plan: FleetPlan) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("testbed-{}", NodeId::random()));
        Fleet::start_in(plan, folder, false)
    }

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
            world: Mutex::new(Vec::new()),
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
        fleet.wait_core(plan.keepers)?;
        let document = fleet.first_document();
        let edition = fleet.put_document(&document)?;
        fleet.wait_served(edition)?;
        Ok(fleet)
    }

    pub fn note(&self, line: WorldLine) {
        if let Ok(mut world) = self.world.lock() {
            world.push(line);
        }
    }

    // Starting parts.

    pub fn seeds(&self) -> String {
        let running = self.keepers.iter().filter(|keeper| keeper.process.is_some());
        let mut addresses: Vec<&str> = running.map(|keeper| keeper.address.as_str()).collect();
        if addresses.is_empty() {
            addresses = self.keepers.iter().map(|keeper| keeper.address.as_str()).collect();
        }
        addresses.truncate(3);
        addresses.join(",")
    }

    pub fn add_keeper(&mut self, founds: bool) -> Result<usize, String> {
        let number = self.keepers.len();
        let data = self.folder.join(format!("keeper{number}.data"));
        let relay = if self.plan.relayed { Some(Relay::start()?) } else { None };
        let keeper = Keeper {
            process: None,
            address: "127.0.0.1:0".into(),
            door: "127.0.0.1:0".into(),
            id: String::new(),
            data,
            relay,
            bound: "127.0.0.1:0".into(),
            zone: ZONES[number % 4].into(),
        };
        self.keepers.push(keeper);
        self.start_keeper(number, founds)?;
        Ok(number)
    }

    /// The program a keeper is, and what it is told at its start.
    pub fn keeper_call(&self, number: usize, founds: bool) -> (&'static str, Vec<String>) {
        let seeds = self.seeds();
        let keeper = &self.keepers[number];
        let mut arguments = vec![
            format!("--listen={}", keeper.bound),
            format!("--door={}", keeper.door),
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
        let program = if self.plan.frail { FRAIL_KEEPER } else { "keeper" };
        if self.plan.frail {
            arguments.push(format!("--disk-faults={}", self.disk_control(number).display()));
        }
        (program, arguments)
    }

    /// Starts a keeper in its folder, at the address it had before.
    pub fn start_keeper(&mut self, number: usize, founds: bool) -> Result<(), String> {
        let (program, arguments) = self.keeper_call(number, founds);
        let process = Process::start(program, &format!("keeper{number}"), &arguments, &self.folder)?;
        let keeper = &mut self.keepers[number];
        keeper.address = process.address();
        keeper.bound = process.ready.get("bound").cloned().unwrap_or_default();
        if let Some(relay) = &keeper.relay {
            relay.lead_to(&keeper.bound);
        }
        keeper.door = process.ready.get("door").cloned().unwrap_or_default();
        keeper.id = process.ready.get("id").cloned().unwrap_or_default();
        keeper.process = Some(process);
        Ok(())
    }

    pub fn disk_control(&self, number: usize) -> PathBuf {
        self.folder.join(format!("keeper{number}.disk"))
    }

    /// Makes a frail keeper's disk `slow MILLIS`, `stall`, `full`, `fail`, or well again with nothing.
    pub fn trouble_disk(&self, number: usize, wish: &str) -> Result<(), String> {
        std::fs::write(self.disk_control(number), wish).map_err(|fault| fault.to_string())
    }

    pub fn add_engine(&mut self) -> Result<usize, String> {
        let number = self.engines.len();
        let engine = Engine {
            process: None,
            name: format!("engine{number}"),
            address: "127.0.0.1:0".into(),
            away: false,
            zone: ZONES[number % 4].into(),
        };
        self.engines.push(engine);
        self.start_engine(number, 1)?;
        self.list_engine(number, "open")?;
        Ok(number)
    }

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

    /// Puts an engine into the platform's listing as open, leaving or gone.
    pub fn list_engine(&self, number: usize, state: &str) -> Result<(), String> {
        let engine = &self.engines[number];
        let path = format!("/v1/engines/{}", engine.name);
        let role = match (self.plan.split, number) {
            (false, _) => "whole",
            (true, 0) => "prefill",
            (true, _) => "decode",
        };
        let body = json!({"name": engine.name, "address": engine.address, "zone": engine.zone, "model": "model", "role": role, "state": state});
        let question = match state {
            "gone" => Question { method: Method::DELETE, ..Question::get(&path) },
            _ => Question::with_json(Method::PUT, &path, &body),
        };
        self.runtime.block_on(ask_json(&self.platform.address(), question, ASK_LIMIT))?;
        let (at, engine) = (boot_millis(), engine.name.clone());
        self.note(if state == "open" {
            WorldLine::ListedOpen { at, engine }
        } else {
            WorldLine::ListedAway { at, engine }
        });
        Ok(())
    }

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

    pub fn start_agent(&mut self, number: usize) -> Result<(), String> {
        let arguments = vec![
            format!("--listen={}", self.nodes[number].agent_address),
            format!("--seeds={}", self.seeds()),
            format!("--zone={}", ZONES[number % 4]),
            format!("--log-level={}", self.plan.log_level),
        ];
        let process = Process::start("agent", &format!("agent{number}"), &arguments, &self.folder)?;
        self.nodes[number].agent_address = process.address();
        self.nodes[number].agent = Some(process);
        Ok(())
    }

    pub fn start_router(&mut self, number: usize) -> Result<(), String> {
        let node = &self.nodes[number];
        let arguments = vec![
            format!("--listen={}", node.router_address),
            format!("--agent={}", node.agent_address),
            format!("--zone={}", ZONES[number % 4]),
            format!("--log-level={}", self.plan.log_level),
        ];
        let mut arguments = arguments;
        if self.plan.records {
            arguments.push(format!("--record={}", self.folder.join("days").display()));
        }
        let process = Process::start("router", &format!("router{number}"), &arguments, &self.folder)?;
        self.nodes[number].router_address = process.address();
        self.nodes[number].router = Some(process);
        Ok(())
    }

    pub fn router_address(&self, number: usize) -> String {
        self.nodes[number].router_address.clone()
    }

    // Asking.

    pub fn ask(
        &self,
        address: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), String> {
        let question = match body {
            Some(value) => Question::with_json(method, path, value),
            None => Question { method, ..Question::get(path) },
        };
        self.ask_question(address, question)
    }

    pub fn ask_question(&self, address: &str, question: Question) -> Result<(u16, Value), String> {
        let (status, value) = self.runtime.block_on(ask_json(address, question, ASK_LIMIT))?;
        Ok((status.as_u16(), value))
    }

    /// Asks as the operator, through the first keeper that answers; one that says it has no part in the core
    /// now is passed over for another.
    pub fn operate(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        if_match: Option<u64>,
    ) -> Result<(u16, Value), String> {
        let mut last_outcome = Err(String::from("no keeper runs"));
        for keeper in self.keepers.iter().filter(|keeper| keeper.process.is_some()) {
            match self.operate_at(&keeper.door, method.clone(), path, body, if_match) {
                Ok((503, answer)) => last_outcome = Ok((503, answer)),
                Ok(answer) => return Ok(answer),
                Err(reason) if last_outcome.is_err() => last_outcome = Err(reason),
                Err(_) => {}
            }
        }
        last_outcome
    }

    pub fn operate_at(
        &self,
        door: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
        if_match: Option<u64>,
    ) -> Result<(u16, Value), String> {
        let mut question = match body {
            Some(value) => Question::with_json(method, path, value),
            None => Question { method, ..Question::get(path) },
        };
        question = question.header("authorization", format!("Bearer {}", self.operator_key));
        if let Some(edition) = if_match {
            question = question.header("if-match", format!("\"{edition}\""));
        }
        self.ask_question(door, question)
    }

    pub fn desired_edition(&self) -> Result<u64, String> {
        for keeper in self.keepers.iter().filter(|keeper| keeper.process.is_some()) {
            let question =
                Question::get("/v1/desired-state").header("authorization", format!("Bearer {}", self.operator_key));
            let Ok((status, headers, _)) =
                self.runtime.block_on(ask_whole(&keeper.door, question, ASK_LIMIT, 4 << 20))
            else {
                continue;
            };
            let tag = headers.get("etag").and_then(|tag| tag.to_str().ok()).unwrap_or("");
            if status == StatusCode::OK
                && let Ok(edition) = tag.trim_matches('"').parse()
            {
                return Ok(edition);
            }
        }
        Err("no keeper tells the edition".into())
    }

    pub fn put_document(&self, document: &Value) -> Result<u64, String> {
        self.change(Method::PUT, document)
    }

    pub fn patch_document(&self, patch: &Value) -> Result<u64, String> {
        self.change(Method::PATCH, patch)
    }

    fn change(&self, method: Method, body: &Value) -> Result<u64, String> {
        let base = self.desired_edition()?;
        let (status, answer) = self.operate(method, "/v1/desired-state", Some(body), Some(base))?;
        if status != 200 {
            return Err(format!("the change was answered {status}: {answer}"));
        }
        let edition = answer["edition"].as_u64().ok_or("no edition in the answer")?;
        self.note(WorldLine::Acked { at: boot_millis(), edition });
        Ok(edition)
    }

    /// The document that a new fleet is given: eight tenants, two of them walled.
    pub fn first_document(&self) -> Value {
        let tenants: BTreeMap<String, Value> = self
            .tenants
            .iter()
            .enumerate()
            .map(|(number, (tenant, key))| {
                let walled = number == 1 || number == 5;
                if walled {
                    self.note(WorldLine::Walled { at: boot_millis(), tenant: tenant.clone() });
                }
                (tenant.clone(), json!({"walled": walled, "share": 200, "keys": {"main": sha256_hex(key)}}))
            })
            .collect();
        let kinds = if self.plan.office == "sms" {
            json!(["reminders", "payment", "classify"])
        } else {
            json!(["layout", "part", "check"])
        };
        json!({
            "models": {"model": {"weights": 1}}, "tenants": tenants, "kinds": kinds,
            "policies": {"default": {"weight": self.plan.weight}},
            "routing": {"sight": self.plan.sight, "fetch": self.fetch_wish()}, "store": self.store_address,
            "operators": {"founder": sha256_hex(&self.operator_key)},
        })
    }

    /// What the desired state says of links: those between Namibian engines are clearly slower.
    fn fetch_wish(&self) -> Value {
        match self.plan.office.as_str() {
            "sms" => json!({"same_zone_block_us": SLOW_LINK_US, "other_zone_block_us": SLOW_LINK_US,
                            "store_block_us": SLOW_LINK_US}),
            _ => json!({"same_zone_block_us": QUICK_LINK_US, "other_zone_block_us": QUICK_LINK_US,
                        "store_block_us": QUICK_LINK_US}),
        }
    }

    // Waiting.

    pub fn fleet_page(&self) -> Result<Value, String> {
        let (status, page) = self.operate(Method::GET, "/v1/fleet", None, None)?;
        if status == 200 { Ok(page) } else { Err(format!("fleet page answered {status}")) }
    }

    pub fn wait_core(&self, chain_length: usize) -> Result<(), String> {
        let formed = wait_until(Duration::from_secs(40), || {
            self.fleet_page().is_ok_and(|page| page["view"]["chain"].as_array().map(Vec::len) == Some(chain_length))
        });
        if formed { Ok(()) } else { Err(format!("the core did not form: {:?}", self.fleet_page())) }
    }

    /// What a process says of its readiness.
    pub fn is_ready(&self, address: &str) -> Result<bool, String> {
        let asked = ask_whole(address, Question::get("/ready"), Span::seconds(2), 1 << 10);
        self.runtime.block_on(asked).map(|(status, _, _)| status == StatusCode::OK)
    }

    /// What a process says on its page of metrics.
    pub fn metrics(&self, address: &str) -> Result<String, String> {
        let asked = ask_whole(address, Question::get("/metrics"), Span::seconds(2), 16 << 20);
        let (_, _, body) = self.runtime.block_on(asked)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    pub fn gauge(&self, address: &str, name: &str) -> Option<u64> {
        let text = self.metrics(address).ok()?;
        let line = text.lines().find(|line| line.split(' ').next() == Some(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Waits until every running router holds a lease with this edition, and every engine is confirmed.
    pub fn wait_served(&self, edition: u64) -> Result<(), String> {
        let served = wait_until(Duration::from_secs(40), || {
            let routers_serve = self.nodes.iter().filter(|node| node.router.is_some()).all(|node| {
                self.gauge(&node.router_address, "haremount_router_edition").is_some_and(|seen| seen >= edition)
                    && self.gauge(&node.router_address, "haremount_router_lease_left_ms").is_some_and(|left| left > 0)
            });
            routers_serve && self.engines_confirmed()
        });
        if served { Ok(()) } else { Err(format!("the fleet does not serve: {:?}", self.fleet_page())) }
    }

    pub fn engines_confirmed(&self) -> bool {
        let running_engines = self.engines.iter().filter(|engine| engine.process.is_some()).count();
        self.fleet_page().is_ok_and(|page| {
            let confirmed = page["engines"].as_array().map_or(0, |engines| {
                engines.iter().filter(|engine| engine["weights"].is_u64() && engine["closed"] == false).count()
            });
            confirmed >= running_engines
        })
    }

    /// Takes a look at every running router for the record.
    pub fn sample(&self) {
        for node in &self.nodes {
            let Some(router) = &node.router else { continue };
            let at = boot_millis();
            let edition = self.gauge(&node.router_address, "haremount_router_edition");
            let left = self.gauge(&node.router_address, "haremount_router_lease_left_ms");
            let shots = self.gauge(&node.router_address, "haremount_router_shots_total");
            let retries = self.gauge(&node.router_address, "haremount_router_retries_total");
            if let (Some(edition), Some(left), Some(shots), Some(retries)) = (edition, left, shots, retries) {
                let router = router.ready.get("id").cloned().unwrap_or_default();
                self.note(WorldLine::Sample { at, router, edition, leased: left > 0, shots, retries });
            }
        }
    }

    /// One request to a router; the status and the answer.
    pub fn complete(&self, router: usize, tenant: usize, prompt: &str) -> Result<(u16, Value), String> {
        let body = json!({"model": "model", "prompt": prompt, "max_tokens": 4});
        let question = Question::with_json(Method::POST, "/v1/completions", &body)
            .header("authorization", format!("Bearer {}", self.tenants[tenant].1));
        self.ask_question(&self.router_address(router), question)
    }

    // The record.

    pub fn engine_lines(&self) -> Vec<EngineLine> {
        let mut lines = Vec::new();
        for engine in &self.engines {
            let path = self.folder.join(format!("{}.starts", engine.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            lines.extend(text.lines().filter_map(|line| serde_json::from_str(line).ok()));
        }
        lines
    }

    pub fn record(&self, caller_files: &[PathBuf]) -> Record {
        let mut record = Record {
            engines: self.engine_lines(),
            world: self.world.lock().map(|world| world.clone()).unwrap_or_default(),
            ..Record::default()
        };
        for path in caller_files {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            record.callers.extend(text.lines().filter_map(|line| serde_json::from_str::<CallerLine>(line).ok()));
        }
        for node in self.nodes.iter().filter(|node| node.router.is_some()) {
            record.shots += self.gauge(&node.router_address, "haremount_router_shots_total").unwrap_or(0);
            record.retries += self.gauge(&node.router_address, "haremount_router_retries_total").unwrap_or(0);
        }
        record
    }

    /// Starts callers for a while; their lines go to the file named.
    pub fn start_caller(
        &self,
        name: &str,
        seconds: u64,
        rate: u64,
        seed: u64,
    ) -> Result<(std::thread::JoinHandle<Result<Process, String>>, PathBuf), String> {
        let keys_path = self.folder.join("keys.json");
        std::fs::write(&keys_path, json!(self.tenants).to_string()).map_err(|fault| fault.to_string())?;
        let out_path = self.folder.join(format!("{name}.calls"));
        let routers: Vec<String> = self.nodes.iter().map(|node| node.router_address.clone()).collect();
        let arguments = vec![
            format!("--routers={}", routers.join(",")),
            format!("--office={}", self.plan.office),
            format!("--keys={}", keys_path.display()),
            format!("--out={}", out_path.display()),
            format!("--seconds={seconds}"),
            format!("--rate={rate}"),
            format!("--seed={seed}"),
        ];
        let (folder, name) = (self.folder.clone(), name.to_owned());
        let cap = Duration::from_secs(seconds + 60);
        let calling = std::thread::spawn(move || Process::start_within("caller", &name, &arguments, &folder, cap));
        Ok((calling, out_path))
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
