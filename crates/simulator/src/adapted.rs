//! Requests that run on adapters, in two regions, while their load moves from one to the other and an
//! engine, a router's node and the conductor are lost at drawn moments.

use crate::prelude::*;

/// How many adapters a simulated engine holds.
const ADAPTER_PLACES: usize = 2;
/// By when a question must be answered, however often it is asked.
pub(crate) const QUESTION_SPAN: Span = Span::seconds(10);
/// How long one attempt at it may take.
const ATTEMPT_SPAN: Span = Span::millis(3500);
const SHORTEST_ATTEMPT: Span = Span::millis(300);
const TELL_EVERY: Span = Span::seconds(1);
const DEMAND_EVERY: Span = Span::seconds(1);

/// Tenants with an adapter each; the others run on the bare model.
pub(crate) const ADAPTED: [(&str, &str); 3] = [("t1", "engraver"), ("t2", "clinic"), ("t3", "shop")];

/// How requests of adapters are spread over the regions, and how that changes.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// From when on, and for how long, the load of the first tenant moves south and that of the second north.
    pub shift_at: Instant,
    pub shift_span: Span,
    next_question: u64,
    /// What each tenant's requests run on, as any router saw it first, and in which edition.
    seen: BTreeMap<TenantName, (Edition, AdapterId)>,
    /// When the first tenant's adapter was warm in the south.
    pub warmed_at: Option<Instant>,
    pub loads: u64,
}

impl Scenario {
    pub fn new(shift_at: Instant, shift_span: Span) -> Scenario {
        Scenario { shift_at, shift_span, next_question: 0, seen: BTreeMap::new(), warmed_at: None, loads: 0 }
    }

    /// How much of the moving load has moved, in a hundred.
    fn moved(&self, now: Instant) -> u64 {
        (now.since(self.shift_at).0.saturating_mul(100) / self.shift_span.0.max(1)).min(100)
    }
}

/// What is lost at a drawn moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// An engine that holds the first tenant's adapter, with its machine or alone.
    Engine {
        with_machine: bool,
    },
    Node(usize),
    /// The keeper that holds the conductor's duty.
    Conductor,
    /// Every engine that holds an adapter, by place, is listed as leaving.
    Listing(usize),
    /// An operator drains every engine that holds an adapter, by place.
    Drain(usize),
}

/// An adapter as records write it; empty for the bare model.
pub(crate) fn written(adapter: Option<&AdapterId>) -> String {
    adapter.map(AdapterId::to_string).unwrap_or_default()
}

fn is_north(zone: &Zone) -> bool {
    ["a", "b"].contains(&zone.as_str())
}

impl SimEngine {
    /// Whether a request that runs on this adapter may begin here.
    pub fn holds(&self, adapter: Option<&AdapterId>) -> bool {
        adapter.is_none_or(|adapter| self.resident.contains(adapter))
    }

    /// Refused while a request runs on it.
    pub fn unload(&mut self, adapter: &AdapterId) {
        let in_use = self.attempts.values().any(|attempt| attempt.runs_on() == Some(adapter));
        if !in_use {
            self.resident.remove(adapter);
        }
    }
}

impl World {
    /// Adapters, their owners and the regions of zones, in the first document.
    pub fn found_adapters(&mut self, state: &mut FleetState) {
        if self.scenario.is_none() {
            return;
        }
        let tenants: Vec<String> =
            ADAPTED.iter().map(|(tenant, adapter)| format!(r#""{tenant}":{{"adapters":["{adapter}"]}}"#)).collect();
        let adapters: Vec<String> = ADAPTED
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
        self.note_in_force(state);
    }

    /// Notes what requests run on from now on, when any router sees it first.
    pub fn note_in_force(&mut self, state: &FleetState) {
        let at = self.millis();
        let Some(scenario) = self.scenario.as_mut() else { return };
        for (tenant, _) in ADAPTED {
            let Some(adapter) = state.adapter_for(&tenant.into(), &MODEL.into()) else { continue };
            let known = scenario.seen.get(&TenantName::from(tenant));
            if known.is_none_or(|(edition, known)| *edition < state.edition && *known != adapter) {
                scenario.seen.insert(tenant.into(), (state.edition, adapter.clone()));
                let adapter = adapter.to_string();
                self.record.world.push(WorldLine::AdapterInForce { at, tenant: tenant.into(), adapter });
            }
        }
    }

    // Requests.

    /// A request as the region of the node and the moment would bring it.
    pub fn call_adapted(&mut self, node: usize) {
        let Some(moved) = self.scenario.as_ref().map(|scenario| scenario.moved(self.now)) else { return };
        let (stayed, is_in_north) = (100 - moved, is_north(&Zone(ZONES[node % 4].into())));
        let (first, second) = if is_in_north { (stayed, moved) } else { (moved, stayed) };
        let shares = [first * 4, second * 4, 200, 100, 100];
        let tenants = ["t1", "t2", "t3", "t0", "t4"];
        let tenant = tenants[self.draw.weighted_index(shares.into_iter())];
        let Some((key_hash, _)) = self.keys.iter().find(|(_, owner)| owner == tenant).cloned() else { return };
        let drawn = self.draw_request();
        let repeatable = self.draw.chance(60);
        let tokens = self.draw.between(1, 8);
        let Some(scenario) = self.scenario.as_mut() else { return };
        scenario.next_question += 1;
        let question = Some((scenario.next_question, self.now + QUESTION_SPAN));
        let request = SimRequest {
            tenant: tenant.into(),
            key_hash,
            tokens,
            repeatable,
            resumes: false,
            idempotency_key: None,
            limit: ATTEMPT_SPAN,
            question,
            ..drawn
        };
        self.ask_router(node, request);
    }

    /// A caller asks again what surely did not run, or may be repeated, while there is time.
    pub fn ask_question_again(&mut self, caller: usize, outcome: &str) {
        let request = self.callers[caller].request.clone();
        let Some((_, answered_by)) = request.question else { return };
        let may_repeat = request.repeatable && matches!(outcome, "unknown" | "no_answer" | "cut");
        let never_arrived = outcome == "no_answer" && self.callers[caller].line.run.is_empty();
        if outcome != "not_run" && !never_arrived && !may_repeat {
            return;
        }
        let pause = Span::millis(if outcome == "not_run" { 1000 } else { self.draw.between(50, 300) });
        let left = answered_by.since(self.now + pause);
        if left < SHORTEST_ATTEMPT {
            return;
        }
        let was_north = self.callers[caller].line.router[1..].parse().is_ok_and(|node: usize| node % 4 < 2);
        let up: Vec<usize> =
            (0..NODES).filter(|node| self.nodes[*node].router.is_some() && (node % 4 < 2) == was_north).collect();
        if up.is_empty() {
            return;
        }
        let node = up[self.draw.below(up.len() as u64) as usize];
        let request = SimRequest { limit: ATTEMPT_SPAN.min(left), ..request };
        self.later(pause, SimEvent::AsksAgain { node, request });
    }

    /// A router tells its agent which adapters' requests arrive; now and then that is lost.
    pub fn tell_demand(&mut self, number: usize) {
        let now = self.now;
        self.later(TELL_EVERY, SimEvent::TellsDemand { node: number });
        let span = Span::millis(4000);
        let node = &mut self.nodes[number];
        let (local_now, fed) = (node.clock.read(now), node.fed_router);
        let Some(router) = node.router.as_mut().filter(|router| node.frozen_until <= now && fed == Some(router.id))
        else {
            return;
        };
        let (router_id, rates) = (router.id, router.meter.rates(span, local_now));
        if rates.is_empty() || self.draw.chance(15) {
            return;
        }
        let report = DemandReport { router: router_id, zone: Zone(ZONES[number % 4].into()), rates };
        self.tell_node(number, SubscriptionInput::Router(RouterToAgent::Demand(report)));
    }

    // The conductor's part.

    /// With the duty named but not held yet, it looks and does nothing.
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
        self.ask_demand(number, local_now);
        let seen = self.seen_adapters(local_now);
        for act in self.keepers[number].planner.next_actions(state, &seen, local_now) {
            match act {
                _ if !may_act => {}
                WarmingAction::Place { engine, adapter, stage } => {
                    let naming = EngineName(format!("{engine} {adapter}"));
                    self.submit_once(number, naming, Command::PlaceCopy { term, engine, adapter, stage });
                }
                WarmingAction::UseRevision { adapter } => {
                    let naming = EngineName(format!("revision {}", adapter.name));
                    self.submit_once(number, naming, Command::ActivateRevision { term, adapter });
                }
                WarmingAction::Load { engine, adapter, .. } => {
                    let naming = EngineName(format!("order {engine} {adapter}"));
                    self.order(number, term, engine, naming, SimWish::LoadAdapter(adapter));
                }
                WarmingAction::Unload { engine, adapter, .. } => {
                    let naming = EngineName(format!("order {engine} {adapter}"));
                    self.order(number, term, engine, naming, SimWish::UnloadAdapter(adapter));
                }
            }
        }
    }

    fn seen_adapters(&self, local_now: Instant) -> BTreeMap<EngineName, AdapterReport> {
        let up = self.engines.iter().filter(|engine| engine.up);
        let told = up.map(|engine| {
            let told = AdapterReport {
                boot: engine.memory.boot.to_string(),
                resident: engine.resident.iter().cloned().collect(),
                places: ADAPTER_PLACES as u64,
                at: local_now,
            };
            (engine.name.clone(), told)
        });
        told.collect()
    }

    /// Whether an engine may be closed for new weights for the sake of the adapters it holds.
    pub fn may_close(&mut self, number: usize, state: &FleetState, engine: &EngineName) -> bool {
        if self.scenario.is_none() {
            return true;
        }
        let local_now = self.keepers[number].clock.read(self.now);
        let seen = self.seen_adapters(local_now);
        self.keepers[number].planner.closings.may_close(state, &seen, engine, local_now)
    }

    /// Whether a plan's next step may be taken for the sake of the adapters its engine holds.
    pub fn may_do_step(&mut self, number: usize, state: &FleetState, plan: Edition) -> bool {
        if self.scenario.is_none() {
            return true;
        }
        let local_now = self.keepers[number].clock.read(self.now);
        let seen = self.seen_adapters(local_now);
        self.keepers[number].planner.closings.may_do_step(state, &seen, plan, local_now)
    }

    fn submit_once(&mut self, number: usize, naming: EngineName, command: Command) {
        if self.keepers[number].submitted.contains_key(&naming) {
            return;
        }
        self.keepers[number].submitted.insert(naming.clone(), self.now + Span::seconds(5));
        let request = RequestId(self.draw.next_u64());
        let means = Meaning::Stands { keeper: number, engine: naming };
        self.ask(number, Submission { request, command }, Some(means));
    }

    fn ask_demand(&mut self, number: usize, local_now: Instant) {
        if local_now.since(self.keepers[number].demand_asked) < DEMAND_EVERY {
            return;
        }
        self.keepers[number].demand_asked = local_now;
        self.next_ticket += 1;
        let (ticket, life) = (self.next_ticket, self.keepers[number].life);
        self.demand_asks.insert(ticket, (number, life));
        let input = Input::Query { ticket, query: CoreQuery::Demand, deadline: local_now + Span::seconds(2) };
        self.later(Span::millis(1), SimEvent::KeeperInput { keeper: number, life: Some(life), input });
    }

    /// Whether an outcome is one about demand; the planner that asked is told.
    pub fn hear_demand(&mut self, ticket: u64, outcome: &QueryOutcome) -> bool {
        let Some((number, life)) = self.demand_asks.remove(&ticket) else { return false };
        let keeper = &mut self.keepers[number];
        if let QueryOutcome::Demand(heard) = outcome
            && keeper.life == life
        {
            let local_now = keeper.clock.read(self.now);
            keeper.planner.demand.record(heard.clone(), local_now);
        }
        true
    }

    // Engines.

    pub fn begin_adapter_load(&mut self, number: usize, adapter: AdapterId) {
        let engine = &mut self.engines[number];
        let is_known = engine.resident.contains(&adapter) || engine.loading.contains(&adapter);
        if is_known || engine.resident.len() + engine.loading.len() >= ADAPTER_PLACES {
            return;
        }
        engine.loading.insert(adapter.clone());
        let boot = engine.memory.boot;
        let span = Span::millis(self.draw.between(200, 900));
        self.later(span, SimEvent::AdapterLoads { engine: number, boot, adapter });
    }

    pub fn engine_holds(&mut self, number: usize, boot: u64, adapter: AdapterId) {
        let now = self.now;
        let engine = &mut self.engines[number];
        if !engine.up || engine.memory.boot != boot || !engine.loading.remove(&adapter) {
            return;
        }
        let is_south = !is_north(&engine.zone);
        let is_first_tenants = adapter.name.as_str() == ADAPTED[0].1;
        engine.resident.insert(adapter);
        if let Some(scenario) = self.scenario.as_mut() {
            scenario.loads += 1;
            if is_south && is_first_tenants && now >= scenario.shift_at {
                scenario.warmed_at.get_or_insert(now);
            }
        }
    }

    // Losses.

    pub fn lose(&mut self, loss: Loss) {
        let span = Span::millis(self.draw.between(4_000, 9_000));
        let at = self.millis();
        self.note(format!("loss {loss:?}"));
        self.record.world.push(WorldLine::Fault { at, what: format!("{loss:?}") });
        match loss {
            Loss::Engine { with_machine } => {
                let holds = |engine: &SimEngine| {
                    engine.up && engine.resident.iter().any(|adapter| adapter.name.as_str() == ADAPTED[0].1)
                };
                let holders: Vec<usize> = (0..ENGINES).filter(|number| holds(&self.engines[*number])).collect();
                if holders.is_empty() {
                    return;
                }
                let engine = holders[self.draw.below(holders.len() as u64) as usize];
                let what = self.engines[engine].name.0.clone();
                self.record.world.push(WorldLine::Lost { at, what });
                self.crash_engine(engine, with_machine);
                self.later(span, SimEvent::Returns(Returning::Engine(engine)));
            }
            Loss::Listing(adapter) => self.list_holders_leaving(ADAPTED[adapter].1),
            Loss::Drain(adapter) => self.drain_holders(ADAPTED[adapter].1),
            Loss::Node(node) => {
                self.record.world.push(WorldLine::Lost { at, what: format!("n{node}") });
                self.kill_node(node);
                self.later(span, SimEvent::Returns(Returning::Node(node)));
            }
            Loss::Conductor => {
                let states =
                    self.keepers.iter().filter_map(|keeper| keeper.coordinator.as_ref()).map(Coordinator::state);
                let newest = states.max_by_key(|state| state.edition);
                let duty = newest.and_then(|state| state.duties.get(&DutyKind::Conductor).copied());
                let holder = duty.and_then(|duty| self.keepers.iter().position(|keeper| keeper.id == duty.holder));
                let Some(keeper) = holder else { return };
                self.kill_keeper(keeper);
                self.later(span, SimEvent::Returns(Returning::Keeper(keeper)));
            }
        }
    }

    pub fn hear_returns(&mut self, returning: Returning) {
        match returning {
            Returning::Engine(engine) => self.start_engine(engine),
            Returning::Node(node) => self.start_node(node),
            Returning::Keeper(keeper) => self.start_keeper(keeper),
            Returning::Listing(engine) => self.list_open(engine),
            Returning::Drained(engine) => self.undrain(engine),
        }
    }
}

/// What comes back after a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Returning {
    Engine(usize),
    Node(usize),
    Keeper(usize),
    /// An engine is listed open again.
    Listing(usize),
    /// An engine's drain ends.
    Drained(usize),
}
