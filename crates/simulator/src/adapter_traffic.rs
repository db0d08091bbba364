//! Requests for adapters in two regions. Their load shifts from one region to the other while an engine, a router's
//! node and the conductor are lost at random times.

use crate::prelude::*;

/// How many adapters a simulated engine can hold.
const ADAPTER_PLACES: usize = 2;
/// A question must be answered within this time, over all its attempts.
pub(crate) const QUESTION_TIMEOUT: Span = Span::seconds(10);
/// Time limit of a single request for a question.
const ATTEMPT_TIMEOUT: Span = Span::millis(3500);
const MIN_ATTEMPT_TIMEOUT: Span = Span::millis(300);
const REPORT_INTERVAL: Span = Span::seconds(1);
const DEMAND_QUERY_INTERVAL: Span = Span::seconds(1);

/// Tenants with one adapter each, as (tenant, adapter); all other tenants use the base model.
pub(crate) const ADAPTER_TENANTS: [(&str, &str); 3] = [("t1", "engraver"), ("t2", "clinic"), ("t3", "shop")];

/// Distribution of adapter requests over the two regions, and its shift.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Start and length of the shift: the load of the first tenant moves south and that of the second north.
    pub shift_at: Instant,
    pub shift_span: Span,
    next_question: u64,
    /// Latest adapter binding of each tenant that any router has seen, with the edition it was seen in.
    newest_bindings: BTreeMap<TenantName, (Edition, AdapterId)>,
    /// When the first tenant's adapter was first loaded in the south after the shift began.
    pub warmed_at: Option<Instant>,
    pub loads: u64,
}

impl Scenario {
    pub fn new(shift_at: Instant, shift_span: Span) -> Scenario {
        Scenario {
            shift_at,
            shift_span,
            next_question: 0,
            newest_bindings: BTreeMap::new(),
            warmed_at: None,
            loads: 0,
        }
    }

    /// Share of the shifting load that has moved so far, in percent.
    fn moved_percent(&self, now: Instant) -> u64 {
        (now.since(self.shift_at).0.saturating_mul(100) / self.shift_span.0.max(1)).min(100)
    }
}

/// A loss that is scheduled at a random time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// An engine that holds the first tenant's adapter, either the process alone or its whole machine.
    Engine {
        with_machine: bool,
    },
    Node(usize),
    /// The keeper that holds the conductor duty.
    Conductor,
    /// The platform lists every engine that holds this adapter (index into `ADAPTER_TENANTS`) as leaving.
    Listing(usize),
    /// An operator drains every engine that holds this adapter (index into `ADAPTER_TENANTS`).
    Drain(usize),
}

/// The adapter as written to the run's record; empty for the base model.
pub(crate) fn adapter_text(adapter: Option<&AdapterId>) -> String {
    adapter.map(AdapterId::to_string).unwrap_or_default()
}

fn is_north(zone: &Zone) -> bool {
    ["a", "b"].contains(&zone.as_str())
}

impl SimEngine {
    /// Whether the engine can serve a request for this adapter; the base model is always served.
    pub fn holds(&self, adapter: Option<&AdapterId>) -> bool {
        adapter.is_none_or(|adapter| self.resident.contains(adapter))
    }

    /// Unloads an adapter, unless a running request uses it.
    pub fn unload_adapter(&mut self, adapter: &AdapterId) {
        let in_use = self.attempts.values().any(|attempt| attempt.runs_on() == Some(adapter));
        if !in_use {
            self.resident.remove(adapter);
        }
    }
}

impl World {
    /// Adds the adapters, their owners and the regions of the zones to the initial configuration.
    pub fn configure_adapters(&mut self, state: &mut FleetState) {
        if self.scenario.is_none() {
            return;
        }
        let tenants: Vec<String> = ADAPTER_TENANTS
            .iter()
            .map(|(tenant, adapter)| format!(r#""{tenant}":{{"adapters":["{adapter}"]}}"#))
            .collect();
        let adapters: Vec<String> = ADAPTER_TENANTS
            .iter()
            .map(|(tenant, adapter)| format!(r#""{adapter}":{{"model":"{MODEL}","owners":["{tenant}"]}}"#))
            .collect();
        let patch = format!(
            r#"{{"models":{{"{MODEL}":{{"adapter_places":{ADAPTER_PLACES}}}}},"tenants":{{{}}},"adapters":{{{}}},
                "zones":{{"a":"north","b":"north","c":"south","d":"south"}},
                "warming":{{"loads_at_once":4,"demand_ms":4000,"hold_ms":10000}}}}"#,
            tenants.join(","),
            adapters.join(",")
        );
        let command = Command::Merge { base: None, patch };
        let settled = state.apply(&Submission { request: RequestId(2), command });
        assert!(matches!(settled, CommandOutcome::Applied(_)), "{settled:?}");
        self.record_bindings(state);
    }

    /// Records a tenant's new adapter binding when the first router applies it.
    pub fn record_bindings(&mut self, state: &FleetState) {
        let at = self.millis();
        let Some(scenario) = self.scenario.as_mut() else { return };
        for (tenant, _) in ADAPTER_TENANTS {
            let Some(adapter) = state.adapter_for(&tenant.into(), &MODEL.into()) else { continue };
            let known = scenario.newest_bindings.get(&TenantName::from(tenant));
            if known.is_none_or(|(edition, known)| *edition < state.edition && *known != adapter) {
                scenario.newest_bindings.insert(tenant.into(), (state.edition, adapter.clone()));
                let adapter = adapter.to_string();
                self.record.events.push(EventLine::AdapterInForce { at, tenant: tenant.into(), adapter });
            }
        }
    }

    /// Sends a request whose tenant is drawn from the current load of the node's region.
    pub fn send_adapter_request(&mut self, node: usize) {
        let Some(moved) = self.scenario.as_ref().map(|scenario| scenario.moved_percent(self.now)) else { return };
        let (stayed, is_in_north) = (100 - moved, is_north(&Zone(ZONES[node % 4].into())));
        let (first, second) = if is_in_north { (stayed, moved) } else { (moved, stayed) };
        let shares = [first * 4, second * 4, 200, 100, 100];
        let tenants = ["t1", "t2", "t3", "t0", "t4"];
        let tenant = tenants[self.rng.weighted_index(shares.into_iter())];
        let Some((key_hash, _)) = self.keys.iter().find(|(_, owner)| owner == tenant).cloned() else { return };
        let base = self.random_request();
        let repeatable = self.rng.chance(60);
        let tokens = self.rng.between(1, 8);
        let Some(scenario) = self.scenario.as_mut() else { return };
        scenario.next_question += 1;
        let question = Some((scenario.next_question, self.now + QUESTION_TIMEOUT));
        let request = SimRequest {
            tenant: tenant.into(),
            key_hash,
            tokens,
            repeatable,
            resumes: false,
            idempotency_key: None,
            limit: ATTEMPT_TIMEOUT,
            question,
            ..base
        };
        self.send_request(node, request);
    }

    /// Retries a question that certainly did not run or that may be repeated, as long as there is time left.
    pub fn retry_question(&mut self, caller: usize, outcome: &str) {
        let request = self.callers[caller].request.clone();
        let Some((_, answered_by)) = request.question else { return };
        let may_repeat = request.repeatable && matches!(outcome, "unknown" | "no_answer" | "cut");
        let never_arrived = outcome == "no_answer" && self.callers[caller].line.run.is_empty();
        if outcome != "not_run" && !never_arrived && !may_repeat {
            return;
        }
        let pause = Span::millis(if outcome == "not_run" { 1000 } else { self.rng.between(50, 300) });
        let left = answered_by.since(self.now + pause);
        if left < MIN_ATTEMPT_TIMEOUT {
            return;
        }
        let was_north = self.callers[caller].line.router[1..].parse().is_ok_and(|node: usize| node % 4 < 2);
        let up: Vec<usize> =
            (0..NODES).filter(|node| self.nodes[*node].router.is_some() && (node % 4 < 2) == was_north).collect();
        if up.is_empty() {
            return;
        }
        let node = up[self.rng.below(up.len() as u64) as usize];
        let request = SimRequest { limit: ATTEMPT_TIMEOUT.min(left), ..request };
        self.schedule_after(pause, SimEvent::CallerRetries { node, request });
    }

    /// A router reports its request rate per adapter to its agent; some of the reports are lost.
    pub fn report_demand(&mut self, number: usize) {
        let now = self.now;
        self.schedule_after(REPORT_INTERVAL, SimEvent::ReportDemand { node: number });
        let span = Span::millis(4000);
        let node = &mut self.nodes[number];
        let (local_now, connected) = (node.clock.read(now), node.connected_router);
        let Some(router) =
            node.router.as_mut().filter(|router| node.frozen_until <= now && connected == Some(router.id))
        else {
            return;
        };
        let (router_id, rates) = (router.id, router.meter.rates(span, local_now));
        if rates.is_empty() || self.rng.chance(15) {
            return;
        }
        let report = DemandReport { router: router_id, zone: Zone(ZONES[number % 4].into()), rates };
        self.send_to_subscription(number, SubscriptionInput::Router(RouterToAgent::Demand(report)));
    }

    /// Runs the warming planner of the conductor. A keeper that is named conductor but may not act yet only observes.
    pub fn keep_adapters_warm(
        &mut self,
        number: usize,
        term: Term,
        may_act: bool,
        state: &FleetState,
        local_now: Instant,
    ) {
        if self.scenario.is_none() {
            return;
        }
        self.query_demand(number, local_now);
        let reports = self.adapter_reports(local_now);
        for action in self.keepers[number].planner.next_actions(state, &reports, local_now) {
            match action {
                _ if !may_act => {}
                WarmingAction::Place { engine, adapter, stage } => {
                    let key = EngineName(format!("{engine} {adapter}"));
                    self.submit_once(number, key, Command::PlaceCopy { term, engine, adapter, stage });
                }
                WarmingAction::UseRevision { adapter } => {
                    let key = EngineName(format!("revision {}", adapter.name));
                    self.submit_once(number, key, Command::ActivateRevision { term, adapter });
                }
                WarmingAction::Load { engine, adapter, .. } => {
                    let key = EngineName(format!("order {engine} {adapter}"));
                    self.issue_order(number, term, engine, key, SimOrderKind::LoadAdapter(adapter));
                }
                WarmingAction::Unload { engine, adapter, .. } => {
                    let key = EngineName(format!("order {engine} {adapter}"));
                    self.issue_order(number, term, engine, key, SimOrderKind::UnloadAdapter(adapter));
                }
            }
        }
    }

    fn adapter_reports(&self, local_now: Instant) -> BTreeMap<EngineName, AdapterReport> {
        let up = self.engines.iter().filter(|engine| engine.up);
        let reports = up.map(|engine| {
            let report = AdapterReport {
                boot: engine.cache.boot.to_string(),
                resident: engine.resident.iter().cloned().collect(),
                places: ADAPTER_PLACES as u64,
                at: local_now,
            };
            (engine.name.clone(), report)
        });
        reports.collect()
    }

    /// Whether an engine may be closed for new weights without losing adapters that are still needed.
    pub fn may_close(&mut self, number: usize, state: &FleetState, engine: &EngineName) -> bool {
        if self.scenario.is_none() {
            return true;
        }
        let local_now = self.keepers[number].clock.read(self.now);
        let reports = self.adapter_reports(local_now);
        self.keepers[number].planner.closings.may_close(state, &reports, engine, local_now)
    }

    /// Whether a plan's next step may be taken without losing adapters that its engine holds.
    pub fn may_do_step(&mut self, number: usize, state: &FleetState, plan: Edition) -> bool {
        if self.scenario.is_none() {
            return true;
        }
        let local_now = self.keepers[number].clock.read(self.now);
        let reports = self.adapter_reports(local_now);
        self.keepers[number].planner.closings.may_do_step(state, &reports, plan, local_now)
    }

    fn submit_once(&mut self, number: usize, key: EngineName, command: Command) {
        if self.keepers[number].outstanding.contains_key(&key) {
            return;
        }
        self.keepers[number].outstanding.insert(key.clone(), self.now + Span::seconds(5));
        let request = RequestId(self.rng.next_u64());
        let kind = ChangeKind::ConductorStep { keeper: number, engine: key };
        self.submit(number, Submission { request, command }, Some(kind));
    }

    fn query_demand(&mut self, number: usize, local_now: Instant) {
        if local_now.since(self.keepers[number].last_demand_query) < DEMAND_QUERY_INTERVAL {
            return;
        }
        self.keepers[number].last_demand_query = local_now;
        self.next_ticket += 1;
        let (ticket, incarnation) = (self.next_ticket, self.keepers[number].incarnation);
        self.demand_queries.insert(ticket, (number, incarnation));
        let input = Input::Query { ticket, query: CoreQuery::Demand, deadline: local_now + Span::seconds(2) };
        self.schedule_after(
            Span::millis(1),
            SimEvent::KeeperInput { keeper: number, incarnation: Some(incarnation), input },
        );
    }

    /// Passes the answer to a demand query on to the planner that asked. Returns whether the ticket was a demand
    /// query.
    pub fn handle_demand_answer(&mut self, ticket: u64, outcome: &QueryOutcome) -> bool {
        let Some((number, incarnation)) = self.demand_queries.remove(&ticket) else { return false };
        let keeper = &mut self.keepers[number];
        if let QueryOutcome::Demand(demand) = outcome
            && keeper.incarnation == incarnation
        {
            let local_now = keeper.clock.read(self.now);
            keeper.planner.demand.record(demand.clone(), local_now);
        }
        true
    }

    pub fn begin_adapter_load(&mut self, number: usize, adapter: AdapterId) {
        let engine = &mut self.engines[number];
        let is_known = engine.resident.contains(&adapter) || engine.loading.contains(&adapter);
        if is_known || engine.resident.len() + engine.loading.len() >= ADAPTER_PLACES {
            return;
        }
        engine.loading.insert(adapter.clone());
        let boot = engine.cache.boot;
        let span = Span::millis(self.rng.between(200, 900));
        self.schedule_after(span, SimEvent::AdapterLoaded { engine: number, boot, adapter });
    }

    pub fn finish_adapter_load(&mut self, number: usize, boot: u64, adapter: AdapterId) {
        let now = self.now;
        let engine = &mut self.engines[number];
        if !engine.up || engine.cache.boot != boot || !engine.loading.remove(&adapter) {
            return;
        }
        let is_south = !is_north(&engine.zone);
        let is_first_tenants = adapter.name.as_str() == ADAPTER_TENANTS[0].1;
        engine.resident.insert(adapter);
        if let Some(scenario) = self.scenario.as_mut() {
            scenario.loads += 1;
            if is_south && is_first_tenants && now >= scenario.shift_at {
                scenario.warmed_at.get_or_insert(now);
            }
        }
    }

    pub fn inject_loss(&mut self, loss: Loss) {
        let span = Span::millis(self.rng.between(4_000, 9_000));
        let at = self.millis();
        self.note(format!("loss {loss:?}"));
        self.record.events.push(EventLine::Fault { at, what: format!("{loss:?}") });
        match loss {
            Loss::Engine { with_machine } => {
                let holds = |engine: &SimEngine| {
                    engine.up && engine.resident.iter().any(|adapter| adapter.name.as_str() == ADAPTER_TENANTS[0].1)
                };
                let holders: Vec<usize> = (0..ENGINES).filter(|number| holds(&self.engines[*number])).collect();
                if holders.is_empty() {
                    return;
                }
                let engine = holders[self.rng.below(holders.len() as u64) as usize];
                let what = self.engines[engine].name.0.clone();
                self.record.events.push(EventLine::Lost { at, what });
                self.crash_engine(engine, with_machine);
                self.schedule_after(span, SimEvent::Restore(RestoreTarget::Engine(engine)));
            }
            Loss::Listing(adapter) => self.list_holders_leaving(ADAPTER_TENANTS[adapter].1),
            Loss::Drain(adapter) => self.drain_holders(ADAPTER_TENANTS[adapter].1),
            Loss::Node(node) => {
                self.record.events.push(EventLine::Lost { at, what: format!("n{node}") });
                self.kill_node(node);
                self.schedule_after(span, SimEvent::Restore(RestoreTarget::Node(node)));
            }
            Loss::Conductor => {
                let states =
                    self.keepers.iter().filter_map(|keeper| keeper.coordinator.as_ref()).map(Coordinator::state);
                let newest = states.max_by_key(|state| state.edition);
                let duty = newest.and_then(|state| state.duties.get(&DutyKind::Conductor).copied());
                let holder = duty.and_then(|duty| self.keepers.iter().position(|keeper| keeper.id == duty.holder));
                let Some(keeper) = holder else { return };
                self.kill_keeper(keeper);
                self.schedule_after(span, SimEvent::Restore(RestoreTarget::Keeper(keeper)));
            }
        }
    }

    pub fn restore_lost(&mut self, target: RestoreTarget) {
        match target {
            RestoreTarget::Engine(engine) => self.start_engine(engine),
            RestoreTarget::Node(node) => self.start_node(node),
            RestoreTarget::Keeper(keeper) => self.start_keeper(keeper),
            RestoreTarget::Listing(engine) => self.list_open(engine),
            RestoreTarget::Drained(engine) => self.undrain(engine),
        }
    }
}

/// What is restored after a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreTarget {
    Engine(usize),
    Node(usize),
    Keeper(usize),
    /// The platform lists the engine as open again.
    Listing(usize),
    /// An operator ends the drain of the engine.
    Drained(usize),
}
