//! The planner with simulated engines whose loads take time and requests from two regions: minimum numbers of
//! copies, resource bounds, demand shifts, engine losses, and stability under noisy demand.

use adapters::prelude::*;
use desired::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use units::prelude::*;

const STEP: Span = Span::millis(300);
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const LOAD_STEPS: u64 = 4;

struct SimEngine {
    up: bool,
    boot: u64,
    resident: BTreeSet<AdapterId>,
    loading: BTreeMap<AdapterId, u64>,
}

/// A fleet of engines over four zones in two regions, `a` and `b` in the north, `c` and `d` in the south.
struct Fleet {
    state: FleetState,
    planner: WarmingPlanner,
    engines: BTreeMap<EngineName, SimEngine>,
    meters: BTreeMap<&'static str, DemandMeter>,
    now: Instant,
    steps: u64,
    /// Stage changes in the fleet state, other than those that only follow an engine's report.
    moves: usize,
    loads: usize,
    places: usize,
}

fn submit(state: &mut FleetState, command: Command) -> CommandOutcome {
    state.apply(&Submission { request: RequestId::random(), command })
}

impl Fleet {
    fn new(engines: usize, places: usize, adapters: usize, warming: &str) -> Fleet {
        let mut state = FleetState::default();
        let tenants: Vec<String> = (0..adapters).map(|n| format!(r#""t{n}":{{"adapters":["x{n}"]}}"#)).collect();
        let specs: Vec<String> =
            (0..adapters).map(|n| format!(r#""x{n}":{{"model":"m","owners":["t{n}"],"revision":1}}"#)).collect();
        let document = format!(
            r#"{{"models":{{"m":{{"adapter_places":{places}}}}},"tenants":{{{}}},"adapters":{{{}}},"warming":{warming},
            "zones":{{"a":"north","b":"north","c":"south","d":"south"}}}}"#,
            tenants.join(","),
            specs.join(",")
        );
        let taken = submit(&mut state, Command::Merge { base: None, patch: document });
        assert!(matches!(taken, CommandOutcome::Applied(_)), "{taken:?}");
        submit(&mut state, Command::Appoint { kind: DutyKind::Conductor, from_term: Term(0), holder: NodeId(1) });
        let names: Vec<EngineName> = (0..engines).map(|number| EngineName(format!("e{number}"))).collect();
        let listed = |number: usize| ListedEngine {
            model: "m".into(),
            zone: ZONES[number % 4].into(),
            ..ListedEngine::default()
        };
        let listing = names.iter().enumerate().map(|(number, name)| (name.clone(), listed(number))).collect();
        submit(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines: listing }));
        for name in &names {
            let status = EngineStatus {
                confirmed: Some((WeightsEdition(1), "x".into())),
                closed: false,
                ..EngineStatus::default()
            };
            state.engine_statuses.insert(name.clone(), status);
        }
        let empty = || SimEngine { up: true, boot: 1, resident: BTreeSet::new(), loading: BTreeMap::new() };
        Fleet {
            state,
            planner: WarmingPlanner::default(),
            engines: names.into_iter().map(|name| (name, empty())).collect(),
            meters: ZONES.into_iter().map(|zone| (zone, DemandMeter::default())).collect(),
            now: Instant(1_000_000_000_000),
            steps: 0,
            moves: 0,
            loads: 0,
            places,
        }
    }

    fn seen(&self) -> BTreeMap<EngineName, AdapterReport> {
        let report = |engine: &SimEngine| AdapterReport {
            boot: engine.boot.to_string(),
            resident: engine.resident.iter().cloned().collect(),
            places: self.places as u64,
            at: self.now,
        };
        let up = self.engines.iter().filter(|(_, engine)| engine.up);
        up.map(|(name, engine)| (name.clone(), report(engine))).collect()
    }

    fn request(&mut self, zone: &'static str, adapter: &str) {
        let span = self.state.desired.warming.demand_window;
        let now = self.now;
        self.meters.get_mut(zone).unwrap().record(&adapter.into(), span, now);
    }

    /// Runs one planning round and carries out its actions, then checks the bounds.
    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        let span = self.state.desired.warming.demand_window;
        for (number, zone) in ZONES.into_iter().enumerate() {
            let rates = self.meters.get_mut(zone).unwrap().rates(span, self.now);
            let report = DemandReport { router: NodeId(number as u64 + 1), zone: zone.into(), rates };
            self.planner.demand.record(vec![AgedDemandReport { report, age: Span(0) }], self.now);
        }
        let seen = self.seen();
        for action in self.planner.next_actions(&self.state, &seen, self.now) {
            self.carry_out(action);
        }
        self.finish_loads();
        self.check_bounds();
    }

    fn carry_out(&mut self, action: WarmingAction) {
        match action {
            WarmingAction::Place { engine, adapter, stage } => {
                self.moves += usize::from(!matches!(stage, None | Some(CopyStage::Warm { .. })));
                let outcome = submit(&mut self.state, Command::PlaceCopy { term: Term(1), engine, adapter, stage });
                assert!(
                    matches!(outcome, CommandOutcome::Applied(_)),
                    "the planner must keep to the bounds: {outcome:?}"
                );
            }
            WarmingAction::UseRevision { adapter } => {
                submit(&mut self.state, Command::ActivateRevision { term: Term(1), adapter });
            }
            WarmingAction::Load { engine, adapter, .. } => {
                let loaded_at = self.steps + LOAD_STEPS;
                let engine = self.engines.get_mut(&engine).unwrap();
                if engine.up && !engine.loading.contains_key(&adapter) {
                    engine.loading.insert(adapter, loaded_at);
                    self.loads += 1;
                }
            }
            WarmingAction::Unload { engine, adapter, .. } => {
                self.engines.get_mut(&engine).unwrap().resident.remove(&adapter);
            }
        }
    }

    fn finish_loads(&mut self) {
        for engine in self.engines.values_mut() {
            let steps = self.steps;
            let done: Vec<AdapterId> =
                engine.loading.iter().filter(|(_, until)| **until <= steps).map(|(id, _)| id.clone()).collect();
            for adapter in done {
                engine.loading.remove(&adapter);
                engine.resident.insert(adapter);
            }
        }
    }

    fn check_bounds(&self) {
        let at_once = self.state.desired.warming.loads_at_once as usize;
        let loading: usize = self.engines.values().map(|engine| engine.loading.len()).sum();
        assert!(loading <= at_once, "{loading} loads at once");
        for (name, engine) in &self.engines {
            let held = engine.resident.len() + engine.loading.len();
            assert!(held <= self.places, "{name} holds {held} in {} places", self.places);
        }
    }

    fn run(&mut self, steps: u64) {
        (0..steps).for_each(|_| self.step());
    }

    /// Runs steps, each with one request for every zone and adapter in `demand`.
    fn run_with(&mut self, steps: u64, demand: &[(&'static str, &str)]) {
        for _ in 0..steps {
            for (zone, adapter) in demand {
                self.request(zone, adapter);
            }
            self.step();
        }
    }

    /// The running engines that hold the revision in force warm.
    fn warm(&self, adapter: &str) -> Vec<EngineName> {
        let revision = self.state.adapters.active_revisions[&AdapterName::from(adapter)];
        let id = AdapterId { name: adapter.into(), revision };
        let holders = self.state.adapters.warm_engines(&id);
        holders.filter(|name| self.engines[*name].up && self.engines[*name].resident.contains(&id)).cloned().collect()
    }

    fn warm_in(&self, adapter: &str, region: &str) -> Vec<EngineName> {
        let mut warm = self.warm(adapter);
        warm.retain(|name| self.state.desired.region_of(&self.state.listing.engines[name].zone).as_str() == region);
        warm
    }

    fn lose(&mut self, name: &EngineName) {
        let engine = self.engines.get_mut(name).unwrap();
        engine.up = false;
        engine.resident.clear();
        engine.loading.clear();
    }

    fn restart(&mut self, name: &EngineName) {
        let engine = self.engines.get_mut(name).unwrap();
        engine.up = true;
        engine.boot += 1;
    }
}

const QUICK: &str = r#"{"loads_at_once":3,"demand_ms":3000,"hold_ms":6000}"#;

#[test]
fn every_adapter_is_warm_somewhere_without_any_request() {
    let mut fleet = Fleet::new(8, 2, 5, QUICK);
    fleet.run(60);
    for number in 0..5 {
        assert_eq!(fleet.warm(&format!("x{number}")).len(), 1);
    }
    assert_eq!(fleet.planner.unplaced(), 0);
    let moves = fleet.moves;
    fleet.run(200);
    assert_eq!(fleet.moves, moves, "nothing changes without demand");
}

#[test]
fn a_demand_shift_warms_the_new_region_before_the_old_one_is_evicted() {
    let mut fleet = Fleet::new(8, 1, 2, QUICK);
    fleet.run_with(60, &[("a", "x0"), ("b", "x0"), ("c", "x1")]);
    let north = fleet.warm_in("x0", "north");
    assert_eq!(north.len(), 2);
    let zones: BTreeSet<&Zone> = north.iter().map(|name| &fleet.state.listing.engines[name].zone).collect();
    assert_eq!(zones.len(), 2, "spread over the zones of the region");
    for _ in 0..20 {
        fleet.run_with(1, &[("a", "x0"), ("c", "x0"), ("c", "x1")]);
        assert_eq!(fleet.warm_in("x0", "north").len(), 2, "its requests continue");
    }
    assert_eq!(fleet.warm_in("x0", "south").len(), 2);
    fleet.run_with(100, &[("c", "x0"), ("c", "x1")]);
    assert_eq!(fleet.warm_in("x0", "south").len(), 2);
    assert_eq!(fleet.warm_in("x1", "south").len(), 2);
    // Now the places in the north are needed: only copies that are not wanted there are evicted.
    fleet.run_with(100, &[("c", "x0"), ("c", "x1"), ("a", "x1")]);
    assert_eq!(fleet.warm_in("x1", "north").len(), 2);
    assert_eq!(fleet.warm_in("x0", "south").len(), 2);
}

#[test]
fn after_the_loss_of_an_engine_a_copy_in_its_region_remains_and_the_lost_one_is_replaced() {
    let mut fleet = Fleet::new(8, 2, 2, QUICK);
    let demand = [("a", "x0"), ("b", "x1")];
    fleet.run_with(60, &demand);
    let lost = fleet.warm_in("x0", "north")[0].clone();
    fleet.lose(&lost);
    for _ in 0..40 {
        fleet.run_with(1, &demand);
        assert!(!fleet.warm_in("x0", "north").is_empty());
        assert!(!fleet.warm_in("x1", "north").is_empty());
    }
    assert_eq!(fleet.warm_in("x0", "north").len(), 2);
    fleet.restart(&lost);
    fleet.run_with(40, &demand);
    let copies = fleet.state.adapters.copies_at(&lost);
    assert!(copies.iter().all(|copy| fleet.engines[&lost].resident.contains(&copy.adapter)), "{copies:?}");
}

#[test]
fn a_newer_revision_takes_over_without_a_gap_even_if_every_place_is_taken() {
    for places in [1, 2] {
        let mut fleet = Fleet::new(4, places, if places == 1 { 1 } else { 2 }, QUICK);
        let demand = [("a", "x0"), ("b", "x0"), ("c", "x0"), ("d", "x0")];
        fleet.run_with(60, &demand);
        assert_eq!(fleet.warm("x0").len(), 4);
        submit(
            &mut fleet.state,
            Command::Merge { base: None, patch: r#"{"adapters":{"x0":{"revision":2}}}"#.into() },
        );
        for _ in 0..200 {
            fleet.run_with(1, &demand);
            assert!(!fleet.warm("x0").is_empty(), "a warm copy must exist at all times");
        }
        assert_eq!(fleet.state.adapters.active_revisions[&AdapterName::from("x0")], AdapterRevision(2));
        assert_eq!(fleet.warm("x0").len(), 4, "all copies are replaced");
        let old = AdapterId::new("x0", 1);
        assert!(fleet.engines.values().all(|engine| !engine.resident.contains(&old)));
    }
}

#[test]
fn a_new_conductor_continues_from_the_fleet_state_without_changes() {
    let mut fleet = Fleet::new(8, 2, 3, QUICK);
    let demand = [("a", "x0"), ("b", "x1"), ("c", "x2")];
    fleet.run_with(80, &demand);
    let (moves, loads) = (fleet.moves, fleet.loads);
    fleet.planner = WarmingPlanner::default();
    fleet.run_with(80, &demand);
    assert_eq!((fleet.moves, fleet.loads), (moves, loads));
}

#[test]
fn an_adapter_held_without_an_order_is_unloaded() {
    let mut fleet = Fleet::new(2, 2, 1, QUICK);
    fleet.run(40);
    let untracked = AdapterId::new("foreign", 7);
    let name = EngineName::from("e0");
    fleet.engines.get_mut(&name).unwrap().resident.insert(untracked.clone());
    fleet.run(5);
    assert!(!fleet.engines[&name].resident.contains(&untracked));
}

/// For random fleets: the bounds hold at each step, an adapter stays warm except after the loss of an engine, and
/// is finally warm in the region where its requests arrive.
#[test]
fn random_fleets_keep_their_minimums_through_demand_shifts_and_losses() {
    for seed in 0..200u64 {
        arbtest::arbtest(|source| {
            let engine_count = source.int_in_range(8..=16)?;
            let places = source.int_in_range(1..=3)?;
            let adapter_count = source.int_in_range(1..=4usize)?.min(places * 2);
            let mut fleet = Fleet::new(engine_count, places, adapter_count, QUICK);
            let mut homes: Vec<usize> = Vec::new();
            for _ in 0..adapter_count {
                homes.push(source.int_in_range(0..=3)?);
            }
            let names: Vec<String> = (0..adapter_count).map(|number| format!("x{number}")).collect();
            fleet.run(40);
            for _ in 0..source.int_in_range(1..=4)? {
                let demand: Vec<(&'static str, &str)> =
                    homes.iter().zip(&names).map(|(home, name)| (ZONES[*home], name.as_str())).collect();
                let lost = source.int_in_range(0..=engine_count - 1)?;
                let is_lost = source.ratio(1, 2)?;
                for moment in 0..130 {
                    if is_lost && moment == 60 {
                        fleet.lose(&EngineName(format!("e{lost}")));
                    }
                    if is_lost && moment == 95 {
                        fleet.restart(&EngineName(format!("e{lost}")));
                    }
                    fleet.run_with(1, &demand);
                    let is_after_loss = is_lost && moment >= 60;
                    for (name, home) in names.iter().zip(&homes) {
                        assert!(!fleet.warm(name).is_empty() || is_after_loss, "{name} is warm nowhere");
                        let region = if *home < 2 { "north" } else { "south" };
                        if moment >= 55 {
                            assert!(!fleet.warm_in(name, region).is_empty(), "{name} is not warm in the {region}");
                        }
                    }
                }
                let moved = source.int_in_range(0..=adapter_count - 1)?;
                homes[moved] = source.int_in_range(0..=3)?;
            }
            Ok(())
        })
        .seed(seed << 32 | 200)
        .run();
    }
}

#[test]
fn noisy_demand_changes_almost_nothing() {
    for seed in 0..40u64 {
        let mut rng = SeededRng::new(seed);
        let mut fleet = Fleet::new(8, 2, 4, r#"{"loads_at_once":3,"demand_ms":6000,"hold_ms":20000}"#);
        let mut noisy = |fleet: &mut Fleet, steps: u64| {
            for _ in 0..steps {
                for number in 0..4 {
                    let home = if rng.chance(97) { number } else { (number + 2) % 4 };
                    if rng.chance(50) {
                        fleet.request(ZONES[home as usize], &format!("x{number}"));
                    }
                }
                fleet.step();
            }
        };
        noisy(&mut fleet, 300);
        let moves = fleet.moves;
        noisy(&mut fleet, 1000);
        let more = fleet.moves - moves;
        assert!(more <= 8, "seed {seed}: {more} moves in five minutes of noise");
    }
}

#[test]
fn new_weights_roll_out_without_a_gap() {
    let mut fleet = Fleet::new(8, 2, 3, QUICK);
    let demand = [("a", "x0"), ("b", "x1"), ("c", "x2")];
    fleet.run_with(60, &demand);
    submit(&mut fleet.state, Command::Merge { base: None, patch: r#"{"models":{"m":{"weights":2}}}"#.into() });
    let names: Vec<EngineName> = fleet.engines.keys().cloned().collect();
    let mut loads_until: BTreeMap<EngineName, u64> = BTreeMap::new();
    for _ in 0..300 {
        let seen = fleet.seen();
        for name in &names {
            let status = fleet.state.engine_statuses[name].clone();
            let is_done = status.confirmed == Some((WeightsEdition(2), "x".into()));
            if is_done || status.closed {
                continue;
            }
            let closed = fleet.state.engine_statuses.values().filter(|status| status.closed).count();
            if closed < 4 && fleet.planner.closings.may_close(&fleet.state, &seen, name, fleet.now) {
                fleet.state.engine_statuses.insert(name.clone(), EngineStatus { closed: true, ..status });
                loads_until.insert(name.clone(), fleet.steps + 3);
            }
        }
        for (name, until) in loads_until.clone() {
            if fleet.steps >= until {
                loads_until.remove(&name);
                fleet.engines.get_mut(&name).unwrap().resident.clear();
                let confirmed = Some((WeightsEdition(2), "x".into()));
                fleet
                    .state
                    .engine_statuses
                    .insert(name, EngineStatus { confirmed, closed: false, ..EngineStatus::default() });
            }
        }
        fleet.run_with(1, &demand);
        for adapter in ["x0", "x1", "x2"] {
            let serving = fleet.warm(adapter).into_iter().filter(|name| !fleet.state.engine_statuses[name].closed);
            assert!(serving.count() > 0, "{adapter} is served nowhere");
        }
    }
    assert!(fleet.state.engine_statuses.values().all(|status| !status.closed));
    let confirmed = Some((WeightsEdition(2), "x".to_owned()));
    assert!(
        fleet.state.engine_statuses.values().all(|status| status.confirmed == confirmed),
        "all engines hold the new weights"
    );
}

#[test]
fn copies_follow_the_load_and_do_not_flap() {
    let mut fleet = Fleet::new(12, 1, 1, QUICK);
    let patch = r#"{"adapters":{"x0":{"copy_requests":100}}}"#;
    submit(&mut fleet.state, Command::Merge { base: None, patch: patch.into() });
    // One request a step of 300 ms is 200 a minute in each zone.
    fleet.run_with(80, &[("a", "x0"), ("b", "x0")]);
    assert_eq!(fleet.warm_in("x0", "north").len(), 4, "380 a minute, as reported just before the next request");
    let moves = fleet.moves;
    fleet.run_with(200, &[("a", "x0"), ("b", "x0")]);
    assert_eq!(fleet.moves, moves);
}

/// Confirms weights for an engine, as the conductor would.
fn confirm(fleet: &mut Fleet, engine: &EngineName, weights: u64) {
    let confirmed = Some((WeightsEdition(weights), "x".to_owned()));
    fleet.state.engine_statuses.insert(engine.clone(), EngineStatus { confirmed, ..EngineStatus::default() });
}

#[test]
fn a_copy_on_weights_no_longer_used_does_not_count_and_its_engine_does_not_wait() {
    let mut fleet = Fleet::new(8, 1, 1, QUICK);
    fleet.run_with(60, &[("a", "x0"), ("c", "x0")]);
    let holders = fleet.warm("x0");
    assert_eq!(holders.len(), 4, "two in each region");
    submit(&mut fleet.state, Command::Merge { base: None, patch: r#"{"models":{"m":{"weights":2}}}"#.into() });
    fleet.step();
    // Only one of the holders gets the new weights; those of the others are no longer used.
    confirm(&mut fleet, &holders[0], 2);
    fleet.now = fleet.now + OLD_WEIGHTS_SPAN;
    submit(&mut fleet.state, Command::Merge { base: None, patch: r#"{"models":{"m":{"weights":3}}}"#.into() });
    let (seen, now) = (fleet.seen(), fleet.now);
    let mut may_close = |engine: &EngineName| fleet.planner.closings.may_close(&fleet.state, &seen, engine, now);
    assert!(!may_close(&holders[0]), "it holds the only copy that routers may use");
    for holder in &holders[1..] {
        assert!(may_close(holder), "nothing runs on {holder}");
    }
}

#[test]
fn a_copy_on_weights_no_longer_used_is_replaced_elsewhere() {
    let mut fleet = Fleet::new(8, 1, 1, QUICK);
    let demand = [("a", "x0")];
    fleet.run_with(60, &demand);
    let holders = fleet.warm("x0");
    submit(&mut fleet.state, Command::Merge { base: None, patch: r#"{"models":{"m":{"weights":2}}}"#.into() });
    fleet.step();
    let others: Vec<EngineName> = fleet.engines.keys().filter(|name| !holders.contains(name)).cloned().collect();
    others.iter().for_each(|name| confirm(&mut fleet, name, 2));
    fleet.now = fleet.now + OLD_WEIGHTS_SPAN;
    fleet.run_with(30, &demand);
    let served = fleet.warm("x0").into_iter().filter(|name| !holders.contains(name));
    assert!(served.count() > 0, "by engines on the wanted weights");
}

#[test]
fn the_last_copy_of_a_leaving_engine_is_replaced_before_anything_else_is_loaded() {
    let mut fleet = Fleet::new(8, 2, 3, r#"{"loads_at_once":1,"demand_ms":3000,"hold_ms":6000}"#);
    fleet.run(60);
    let holder = fleet.warm("x2")[0].clone();
    fleet.state.listing.engines.get_mut(&holder).unwrap().listed = Listed::Leaving;
    // At the same time two other adapters need further copies, and only one load may run at a time.
    for _ in 0..6 {
        for adapter in ["x0", "x1"] {
            ["a", "b", "c", "d"].into_iter().for_each(|zone| fleet.request(zone, adapter));
        }
    }
    fleet.step();
    let loading: Vec<&AdapterId> = fleet
        .state
        .adapters
        .copies
        .values()
        .flatten()
        .filter(|copy| copy.stage == CopyStage::Loading)
        .map(|copy| &copy.adapter)
        .collect();
    assert_eq!(loading, [&AdapterId::new("x2", 1)]);
    assert!(fleet.state.adapters.is_warm(&holder, &AdapterId::new("x2", 1)), "it keeps serving");
}

/// Requests a drain of an engine and confirms its plan.
fn plan_drain(fleet: &mut Fleet, engine: &EngineName) -> Edition {
    let CommandOutcome::Applied(plan) =
        submit(&mut fleet.state, Command::Intend(Intent::Drain { engine: engine.clone() }))
    else {
        panic!("the drain was not accepted")
    };
    assert!(matches!(submit(&mut fleet.state, Command::Confirm { plan }), CommandOutcome::Applied(_)));
    plan
}

#[test]
fn a_drain_waits_until_the_copies_of_its_engine_are_warm_elsewhere() {
    let mut fleet = Fleet::new(8, 2, 3, QUICK);
    fleet.run(60);
    let holder = fleet.warm("x2")[0].clone();
    let plan = plan_drain(&mut fleet, &holder);
    for _ in 0..60 {
        let (seen, now) = (fleet.seen(), fleet.now);
        if fleet.planner.closings.may_do_step(&fleet.state, &seen, plan, now) {
            let elsewhere = fleet.warm("x2").into_iter().filter(|name| *name != holder).count();
            assert_eq!(elsewhere, 1, "as many as held it before");
            return;
        }
        fleet.step();
    }
    panic!("the drain was never permitted");
}

#[test]
fn a_drain_without_a_place_elsewhere_waits_no_longer_than_a_closing() {
    let mut fleet = Fleet::new(2, 1, 2, QUICK);
    fleet.run(60);
    let holder = fleet.warm("x1")[0].clone();
    let plan = plan_drain(&mut fleet, &holder);
    let mut waited = 0;
    loop {
        let (seen, now) = (fleet.seen(), fleet.now);
        if fleet.planner.closings.may_do_step(&fleet.state, &seen, plan, now) {
            break;
        }
        fleet.step();
        waited += 1;
    }
    let waited = Span(STEP.0 * waited);
    assert!(waited >= Span::seconds(15) && waited <= Span::seconds(17), "{} ms", waited.as_millis());
}
