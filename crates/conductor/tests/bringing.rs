//! The rollout of new weights by the platform's listing and the engines' reports.

use conductor::prelude::*;
use desired::prelude::*;
use units::prelude::*;

const ENGINES: usize = 18;

fn apply(state: &mut FleetState, command: Command) {
    let outcome = state.apply(&Submission { request: RequestId::random(), command });
    assert!(matches!(outcome, CommandOutcome::Applied(_)), "{outcome:?}");
}

fn name(number: usize) -> EngineName {
    EngineName(format!("e{number:02}"))
}

fn listed(weights: u64) -> ListedEngine {
    ListedEngine { model: "m".into(), weights: Some(WeightsEdition(weights)), ..ListedEngine::default() }
}

/// A fleet whose engines all hold the first weights.
fn fleet() -> FleetState {
    let mut state = FleetState::default();
    apply(&mut state, Command::Merge { base: None, patch: r#"{"models":{"m":{}}}"#.into() });
    let engines = (0..ENGINES).map(|number| (name(number), listed(1))).collect();
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines }));
    apply(&mut state, Command::Appoint { kind: DutyKind::Conductor, from_term: Term(0), holder: NodeId(1) });
    state
}

fn name_new_weights(state: &mut FleetState) {
    apply(state, Command::RaiseWeights { model: "m".into(), weights: WeightsEdition(2) });
}

fn at(millis: u64) -> Instant {
    Instant(0) + Span::millis(millis)
}

#[test]
fn engines_that_hold_the_wanted_weights_are_left_alone() {
    let state = fleet();
    assert!(WeightsRollout::default().next_steps(&state, true, at(0)).is_empty());
}

/// Rolls new weights out to engines that take 1.8 s to load; the `dead` ones never answer. Returns the final state,
/// the time it took in ms and the number of queries.
fn play(dead: &[usize]) -> (FleetState, u64, usize) {
    let mut state = fleet();
    name_new_weights(&mut state);
    let mut rollout = WeightsRollout::default();
    let mut ready_at: Vec<Option<u64>> = vec![None; ENGINES];
    let mut queries = 0;
    for now in (0..60_000).step_by(10) {
        for step in rollout.next_steps(&state, true, at(now)) {
            match step {
                RolloutStep::SetEngineStatus { engine, status } => {
                    apply(&mut state, Command::SetEngineStatus { term: Term(1), engine, status });
                }
                RolloutStep::Order { engine, weights, .. } => {
                    assert_eq!(weights, WeightsEdition(2));
                    assert!(state.engine_statuses[&engine].closed, "only a closed engine is ordered");
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    if dead.contains(&number) {
                        rollout.record_answer(&engine, OrderAnswer::NoAnswer, at(now));
                        continue;
                    }
                    assert!(ready_at[number].is_none(), "ordered twice");
                    ready_at[number] = Some(now + 1800);
                    rollout.record_answer(&engine, OrderAnswer::Accepted, at(now));
                }
                RolloutStep::OrderIfWaiting { .. } => panic!("no order out of turn is expected"),
                RolloutStep::QueryWeights { engine, .. } => {
                    queries += 1;
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    let report = ready_at[number].map(|ready| {
                        let weights = WeightsEdition(if now >= ready { 2 } else { 1 });
                        (weights, now < ready)
                    });
                    rollout.record_report(&engine, report, at(now));
                }
            }
        }
        let loading = ready_at.iter().flatten().filter(|ready| **ready > now).count();
        assert!(loading <= ENGINES / 6, "{loading} load at once");
        let serving = state.engine_statuses.values().filter(|status| status.closed).count();
        assert!(serving <= ENGINES / 6 + 1 + dead.len(), "{serving} are closed at once");
        let done = (0..ENGINES).filter(|number| !dead.contains(number)).all(|number| {
            state
                .engine_statuses
                .get(&name(number))
                .is_some_and(|status| !status.closed && status.confirmed.is_some())
        });
        if done {
            return (state, now, queries);
        }
    }
    panic!("the rollout never ends")
}

#[test]
fn new_weights_roll_out_in_a_sliding_window() {
    let (_, took, queries) = play(&[]);
    assert!(took < 13_500, "took {took} ms");
    assert!(queries <= 4 * ENGINES, "{queries} queries");
}

#[test]
fn an_engine_that_does_not_answer_delays_no_other() {
    let (state, took, _) = play(&[0, 1, 2, 3]);
    assert!(took < 25_000, "took {took} ms");
    assert!(state.engine_statuses[&name(0)].closed, "it stays closed meanwhile");
}

#[test]
fn weights_shown_in_the_listing_open_an_engine_without_a_query() {
    let mut state = fleet();
    name_new_weights(&mut state);
    let status = EngineStatus { confirmed: None, closed: true, ..EngineStatus::default() };
    apply(&mut state, Command::SetEngineStatus { term: Term(1), engine: name(0), status });
    let mut engines = state.listing.engines.clone();
    engines.insert(name(0), listed(2));
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(2), engines }));
    let steps = WeightsRollout::default().next_steps(&state, true, at(0));
    let opened =
        EngineStatus { confirmed: Some((WeightsEdition(2), "e00".into())), closed: false, ..EngineStatus::default() };
    assert!(steps.contains(&RolloutStep::SetEngineStatus { engine: name(0), status: opened }), "{steps:?}");
}

#[test]
fn a_leaving_engine_is_not_ordered_and_takes_no_slot() {
    let mut state = fleet();
    name_new_weights(&mut state);
    let mut engines = state.listing.engines.clone();
    for number in 0..16 {
        engines.insert(name(number), ListedEngine { listed: Listed::Leaving, ..listed(1) });
    }
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(2), engines }));
    let steps = WeightsRollout::default().next_steps(&state, true, at(0));
    assert_eq!(steps.len(), 1, "one of the two left at a time: {steps:?}");
    assert!(matches!(&steps[0], RolloutStep::SetEngineStatus { engine, .. } if *engine == name(16)));
}

#[test]
fn a_new_holder_opens_loaded_engines_and_orders_nothing_until_it_may() {
    let mut state = fleet();
    name_new_weights(&mut state);
    for number in [0, 1] {
        let status = EngineStatus { confirmed: None, closed: true, ..EngineStatus::default() };
        apply(&mut state, Command::SetEngineStatus { term: Term(1), engine: name(number), status });
    }
    let mut engines = state.listing.engines.clone();
    engines.insert(name(0), listed(2));
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(2), engines }));
    let mut rollout = WeightsRollout::default();
    let steps = [rollout.next_steps(&state, false, at(0)), rollout.next_steps(&state, false, at(1000))].concat();
    assert!(
        steps.iter().any(|step| matches!(step, RolloutStep::SetEngineStatus { engine, .. } if *engine == name(0)))
    );
    assert!(!steps.iter().any(|step| matches!(step, RolloutStep::Order { .. })), "{steps:?}");
    let steps = rollout.next_steps(&state, true, at(1001));
    assert!(steps.iter().any(|step| matches!(step, RolloutStep::Order { engine, .. } if *engine == name(1))));
}

/// Some time after new weights were named every remaining engine is closed. One whose turn has not come is ordered
/// only if requests wait there, and checked again later if none do.
#[test]
fn requests_waiting_on_weights_too_old_are_rejected_by_an_order_out_of_turn() {
    let mut state = fleet();
    let mut rollout = WeightsRollout::expediting_after(Span::millis(13_500));
    assert!(rollout.next_steps(&state, true, at(0)).is_empty());
    name_new_weights(&mut state);
    let first_steps = rollout.next_steps(&state, true, at(1000));
    assert_eq!(first_steps.len(), ENGINES / 6 + 1, "few are closed in their turn: {first_steps:?}");
    assert_eq!(rollout.next_due(), Some(at(14_500)));

    for step in rollout.next_steps(&state, true, at(14_500)) {
        let RolloutStep::SetEngineStatus { engine, status } = step else { panic!("{step:?}") };
        assert!(status.closed);
        apply(&mut state, Command::SetEngineStatus { term: Term(1), engine, status });
    }
    assert!((0..ENGINES).all(|number| state.engine_statuses[&name(number)].closed));
    assert!(rollout.next_steps(&state, true, at(14_500)).is_empty(), "routers must learn of the closing first");

    let steps = rollout.next_steps(&state, true, at(14_700));
    let in_turn = steps.iter().filter(|step| matches!(step, RolloutStep::Order { .. })).count();
    let out_of_turn = steps.iter().filter(|step| matches!(step, RolloutStep::OrderIfWaiting { .. })).count();
    assert_eq!((in_turn, out_of_turn), (ENGINES / 6, ENGINES - ENGINES / 6), "{steps:?}");
    rollout.record_answer(&name(ENGINES - 1), OrderAnswer::NotNeeded, at(14_710));
    assert!(rollout.next_steps(&state, true, at(14_900)).is_empty());
    let again = rollout.next_steps(&state, true, at(15_010));
    assert!(
        matches!(&again[..], [RolloutStep::OrderIfWaiting { engine, .. }] if *engine == name(ENGINES - 1)),
        "{again:?}"
    );
}

/// The time counts from the naming, even if another keeper held the duty then.
#[test]
fn a_new_holder_knows_when_weights_were_first_wanted() {
    let mut state = fleet();
    name_new_weights(&mut state);
    let mut rollout = WeightsRollout::expediting_after(Span::millis(13_500));
    rollout.note_wanted(&state, at(1000));
    rollout.forget();
    let steps = rollout.next_steps(&state, true, at(14_500));
    assert_eq!(steps.len(), ENGINES, "{steps:?}");
}

/// Weights named while engines load earlier ones: a loading engine is queried until it is done, then ordered
/// again, and delays no other engine.
#[test]
fn weights_named_during_a_load_reach_all_engines() {
    let mut state = fleet();
    name_new_weights(&mut state);
    let mut rollout = WeightsRollout::default();
    let mut loading: Vec<Option<(WeightsEdition, u64)>> = vec![None; ENGINES];
    for now in (0..60_000).step_by(10) {
        if now == 3000 {
            apply(&mut state, Command::RaiseWeights { model: "m".into(), weights: WeightsEdition(3) });
        }
        for step in rollout.next_steps(&state, true, at(now)) {
            match step {
                RolloutStep::SetEngineStatus { engine, status } => {
                    apply(&mut state, Command::SetEngineStatus { term: Term(1), engine, status });
                }
                RolloutStep::Order { engine, weights, .. } => {
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    let is_free = loading[number].is_none_or(|(_, ready)| now >= ready);
                    assert!(is_free, "a loading engine is not ordered again");
                    loading[number] = Some((weights, now + 1800));
                    rollout.record_answer(&engine, OrderAnswer::Accepted, at(now));
                }
                RolloutStep::OrderIfWaiting { .. } => panic!("no order out of turn is expected"),
                RolloutStep::QueryWeights { engine, .. } => {
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    let (weights, ready) = loading[number].expect("only ordered engines are queried");
                    let reported = if now >= ready { weights } else { WeightsEdition(1) };
                    rollout.record_report(&engine, Some((reported, now < ready)), at(now));
                }
            }
        }
        let confirmed = |status: &EngineStatus| status.confirmed.as_ref().map(|(weights, _)| weights.0);
        let is_done = |status: &EngineStatus| !status.closed && confirmed(status) == Some(3);
        if state.engine_statuses.len() == ENGINES && state.engine_statuses.values().all(is_done) {
            assert!(now < 18_000, "took {now} ms");
            return;
        }
    }
    panic!("the rollout never ends")
}

/// The time limit of old weights counts from the first newer edition, whichever are named since.
#[test]
fn a_second_naming_does_not_delay_orders_out_of_turn() {
    let mut state = fleet();
    let mut rollout = WeightsRollout::expediting_after(Span::millis(13_500));
    rollout.next_steps(&state, true, at(0));
    name_new_weights(&mut state);
    rollout.next_steps(&state, true, at(1000));
    apply(&mut state, Command::RaiseWeights { model: "m".into(), weights: WeightsEdition(3) });
    rollout.next_steps(&state, true, at(10_000));
    assert_eq!(rollout.next_steps(&state, true, at(14_500)).len(), ENGINES);
}

/// Requests may still wait at a leaving engine; they are rejected as at any other.
#[test]
fn requests_waiting_at_a_leaving_engine_are_rejected_too() {
    let mut state = fleet();
    let mut rollout = WeightsRollout::expediting_after(Span::millis(13_500));
    name_new_weights(&mut state);
    rollout.next_steps(&state, true, at(1000));
    let mut engines = state.listing.engines.clone();
    engines.insert(name(17), ListedEngine { listed: Listed::Leaving, ..listed(1) });
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(2), engines }));
    let concerns = |steps: &[RolloutStep]| {
        steps.iter().any(|step| {
            matches!(step,
        RolloutStep::OrderIfWaiting { engine, .. } if *engine == name(17))
        })
    };
    assert!(!concerns(&rollout.next_steps(&state, true, at(14_400))), "routers may still use old weights");
    assert!(!concerns(&rollout.next_steps(&state, false, at(14_500))), "the previous holder may still give orders");
    assert!(concerns(&rollout.next_steps(&state, true, at(14_500))));
    assert!(!concerns(&rollout.next_steps(&state, true, at(14_600))), "one order at a time");
    rollout.record_answer(&name(17), OrderAnswer::NotNeeded, at(14_600));
    assert!(concerns(&rollout.next_steps(&state, true, at(14_900))), "checked again");
    rollout.record_answer(&name(17), OrderAnswer::Accepted, at(14_910));
    assert!(!concerns(&rollout.next_steps(&state, true, at(20_000))));
}

/// An engine counts a request as in flight while it reads the prompt, before the response begins.
#[test]
fn requests_in_flight_count_as_waiting_some_time_after_old_weights_were_given_up() {
    let mut state = fleet();
    name_new_weights(&mut state);
    let engines: Vec<EngineName> = state.listing.engines.keys().cloned().collect();
    for engine in engines {
        let closed = EngineStatus { closed: true, ..EngineStatus::default() };
        apply(&mut state, Command::SetEngineStatus { term: Term(1), engine, status: closed });
    }
    let mut rollout = WeightsRollout::expediting_after(Span::millis(13_500));
    rollout.next_steps(&state, true, at(0));
    let counted = |rollout: &mut WeightsRollout, now: u64| -> Vec<bool> {
        let steps = rollout.next_steps(&state, true, at(now));
        let counted = steps.into_iter().filter_map(|step| match step {
            RolloutStep::OrderIfWaiting { engine, counts_in_flight, .. } => Some((engine, counts_in_flight)),
            _ => None,
        });
        let counted: Vec<(EngineName, bool)> = counted.collect();
        for (engine, _) in &counted {
            rollout.record_answer(engine, OrderAnswer::NotNeeded, at(now));
        }
        counted.into_iter().map(|(_, counts_in_flight)| counts_in_flight).collect()
    };
    assert!(counted(&mut rollout, 13_400).is_empty(), "routers may still use old weights");
    for (now, counts_in_flight) in [(13_500, false), (14_000, false), (14_400, true)] {
        let asked = counted(&mut rollout, now);
        assert!(!asked.is_empty() && asked.iter().all(|counts| *counts == counts_in_flight), "{now}: {asked:?}");
    }
}

#[test]
fn a_new_holder_closes_no_engine_before_it_may_order() {
    let mut state = fleet();
    name_new_weights(&mut state);
    let mut rollout = WeightsRollout::default();
    assert!(
        rollout.next_steps(&state, false, at(0)).is_empty(),
        "orders of the previous holder may still be in flight"
    );
    let closings = rollout.next_steps(&state, true, at(5000));
    assert!(!closings.is_empty());
    for step in closings {
        assert!(
            matches!(step, RolloutStep::SetEngineStatus { status: EngineStatus { closed: true, .. }, .. }),
            "{step:?}"
        );
    }
}

#[test]
fn the_time_until_orders_out_of_turn_restarts_when_the_coordinator_is_unsettled_before_its_end() {
    let mut state = fleet();
    name_new_weights(&mut state);
    let closed_count = |rollout: &mut WeightsRollout, state: &FleetState, now: u64| {
        let steps = rollout.next_steps(state, true, at(now));
        steps.iter().filter(|step| matches!(step, RolloutStep::SetEngineStatus { .. })).count()
    };
    let mut rollout = WeightsRollout::expediting_after(Span::millis(10_000));
    let in_turn = closed_count(&mut rollout, &state, 0);
    assert!(in_turn < ENGINES, "{in_turn} are closed at first");
    rollout.note_unsettled_until(at(4000));
    rollout.note_unsettled_until(at(3000));
    assert_eq!(closed_count(&mut rollout, &state, 13_999), in_turn);
    assert_eq!(closed_count(&mut rollout, &state, 14_000), ENGINES);
    rollout.note_unsettled_until(at(14_100));
    assert_eq!(closed_count(&mut rollout, &state, 14_200), ENGINES, "the time has passed");
}
