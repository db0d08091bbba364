//! The rollout of new weights to engines that serve several models.

use conductor::prelude::*;
use desired::prelude::*;
use units::prelude::*;

const ENGINES: usize = 12;

fn apply(state: &mut FleetState, command: Command) {
    let outcome = state.apply(&Submission { request: RequestId::random(), command });
    assert!(matches!(outcome, CommandOutcome::Applied(_)), "{outcome:?}");
}

fn name(number: usize) -> EngineName {
    EngineName(format!("e{number:02}"))
}

fn at(millis: u64) -> Instant {
    Instant(0) + Span::millis(millis)
}

/// Engines that serve two models on their first weights; new weights are named for the models in `named`.
fn fleet(named: &[&str]) -> FleetState {
    let mut state = FleetState::default();
    apply(&mut state, Command::Merge { base: None, patch: r#"{"models":{"m0":{},"m1":{}}}"#.into() });
    let listed = ListedEngine {
        model: "m0".into(),
        weights: Some(WeightsEdition(1)),
        further_models: [("m1".into(), WeightsEdition(1))].into(),
        ..ListedEngine::default()
    };
    let engines = (0..ENGINES).map(|number| (name(number), listed.clone())).collect();
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines }));
    apply(&mut state, Command::Appoint { kind: DutyKind::Conductor, from_term: Term(0), holder: NodeId(1) });
    for model in named {
        apply(&mut state, Command::RaiseWeights { model: (*model).into(), weights: WeightsEdition(2) });
    }
    state
}

/// A load that an engine was ordered to carry out.
#[derive(Clone, Debug, PartialEq)]
struct Loading {
    model: ModelName,
    weights: WeightsEdition,
    ready_at: u64,
}

/// Runs the rollout until every engine is open on the wanted weights. Returns the orders that each engine got, in
/// order, and the time it took in ms.
fn play(state: &mut FleetState) -> (Vec<Vec<Loading>>, u64) {
    let mut rollout = WeightsRollout::default();
    let mut ordered: Vec<Vec<Loading>> = vec![Vec::new(); ENGINES];
    for now in (0..60_000).step_by(10) {
        for step in rollout.next_steps(state, true, at(now)) {
            match step {
                RolloutStep::SetEngineStatus { engine, status } => {
                    apply(state, Command::SetEngineStatus { term: Term(1), engine, status });
                }
                RolloutStep::Order { engine, model, weights, .. } => {
                    assert!(state.engine_statuses[&engine].closed, "only a closed engine is ordered");
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    let is_free = ordered[number].iter().all(|loading| loading.ready_at <= now);
                    assert!(is_free, "one order at a time");
                    ordered[number].push(Loading { model, weights, ready_at: now + 1800 });
                    rollout.record_answer(&engine, OrderAnswer::Accepted, at(now));
                }
                RolloutStep::OrderIfWaiting { .. } => panic!("no order out of turn is expected"),
                RolloutStep::QueryWeights { engine, model, .. } => {
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    let loading = ordered[number].iter().rfind(|loading| loading.model == model).unwrap();
                    let is_loading = now < loading.ready_at;
                    let weights = if is_loading { WeightsEdition(1) } else { loading.weights };
                    rollout.record_report(&engine, Some((weights, is_loading)), at(now));
                }
            }
        }
        let under_way = ordered.iter().flatten().filter(|loading| loading.ready_at > now).count();
        assert!(under_way <= ENGINES / 6, "{under_way} load at once");
        let closed = state.engine_statuses.values().filter(|status| status.closed).count();
        if closed == 0 && rollout.next_steps(state, true, at(now)).is_empty() {
            return (ordered, now);
        }
    }
    panic!("the rollout never ends")
}

#[test]
fn new_weights_of_a_model_that_is_not_the_first_are_loaded() {
    let mut state = fleet(&["m1"]);
    let (ordered, took) = play(&mut state);
    assert!(took < 15_000, "took {took} ms");
    for (number, orders) in ordered.iter().enumerate() {
        let [only] = &orders[..] else { panic!("{orders:?}") };
        assert_eq!((only.model.as_str(), only.weights), ("m1", WeightsEdition(2)));
        let (status, listed) = (&state.engine_statuses[&name(number)], &state.listing.engines[&name(number)]);
        assert_eq!(status.held_weights(listed, &"m1".into()), Some(WeightsEdition(2)));
        assert_eq!(status.held_weights(listed, &"m0".into()), Some(WeightsEdition(1)));
    }
}

#[test]
fn new_weights_of_both_models_are_loaded_one_after_the_other() {
    let mut state = fleet(&["m0", "m1"]);
    let (ordered, took) = play(&mut state);
    assert!(took < 30_000, "took {took} ms");
    for orders in &ordered {
        let models: Vec<&str> = orders.iter().map(|loading| loading.model.as_str()).collect();
        assert_eq!(models, ["m0", "m1"]);
    }
}
