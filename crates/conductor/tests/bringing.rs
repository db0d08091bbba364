//! Bringing engines to new weights by the listing and their reports.

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

/// A fleet whose engines all hold the first weights, and the second ones named.
fn fleet() -> FleetState {
    let mut state = FleetState::default();
    apply(&mut state, Command::Merge { base: None, patch: r#"{"models":{"m":{}}}"#.into() });
    let engines = (0..ENGINES).map(|number| (name(number), listed(1))).collect();
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines }));
    apply(&mut state, Command::Appoint { kind: DutyKind::Conductor, from_term: Term(0), holder: NodeId(1) });
    state
}

fn bump(state: &mut FleetState) {
    apply(state, Command::RaiseWeights { model: "m".into(), weights: WeightsEdition(2) });
}

fn at(millis: u64) -> Instant {
    Instant(0) + Span::millis(millis)
}

#[test]
fn engines_that_hold_the_wanted_weights_are_left_alone() {
    let state = fleet();
    assert!(Bringer::default().direct(&state, true, at(0)).is_empty());
}

/// Engines that load for so long, and never answer if they are dead.
fn play(dead: &[usize]) -> (FleetState, u64, usize) {
    let mut state = fleet();
    bump(&mut state);
    let mut bringer = Bringer::default();
    let mut ready_at: Vec<Option<u64>> = vec![None; ENGINES];
    let mut looks = 0;
    for now in (0..60_000).step_by(10) {
        for step in bringer.direct(&state, true, at(now)) {
            match step {
                Bringing::Stand { engine, standing } => {
                    apply(&mut state, Command::SetEngineStatus { term: Term(1), engine, status: standing });
                }
                Bringing::Order { engine, weights, .. } => {
                    assert_eq!(weights, WeightsEdition(2));
                    assert!(state.engine_statuses[&engine].closed, "only a closed engine is ordered");
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    if dead.contains(&number) {
                        bringer.hear_order(&engine, OrderAnswer::Nothing, at(now));
                        continue;
                    }
                    assert!(ready_at[number].is_none(), "ordered twice");
                    ready_at[number] = Some(now + 1800);
                    bringer.hear_order(&engine, OrderAnswer::Taken, at(now));
                }
                Bringing::OrderIfWaiting { .. } => panic!("nothing is in a hurry"),
                Bringing::Look { engine, .. } => {
                    looks += 1;
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    let report = ready_at[number].map(|ready| {
                        let weights = WeightsEdition(if now >= ready { 2 } else { 1 });
                        (weights, now < ready)
                    });
                    bringer.hear_report(&engine, report, at(now));
                }
            }
        }
        let loading = ready_at.iter().flatten().filter(|ready| **ready > now).count();
        assert!(loading <= ENGINES / 6, "{loading} load at once");
        let serving = state.engine_statuses.values().filter(|standing| standing.closed).count();
        assert!(serving <= ENGINES / 6 + 1 + dead.len(), "{serving} are closed at once");
        let done = (0..ENGINES).filter(|number| !dead.contains(number)).all(|number| {
            state
                .engine_statuses
                .get(&name(number))
                .is_some_and(|standing| !standing.closed && standing.confirmed.is_some())
        });
        if done {
            return (state, now, looks);
        }
    }
    panic!("never done")
}

#[test]
fn new_weights_go_through_a_sliding_window() {
    let (_, took, looks) = play(&[]);
    assert!(took < 13_500, "took {took} ms");
    assert!(looks <= 4 * ENGINES, "{looks} looks");
}

#[test]
fn an_engine_that_answers_nothing_holds_up_no_other() {
    let (state, took, _) = play(&[0, 1, 2, 3]);
    assert!(took < 25_000, "took {took} ms");
    assert!(state.engine_statuses[&name(0)].closed, "and gets no requests meanwhile");
}

#[test]
fn weights_that_the_list_tells_open_an_engine_without_a_look() {
    let mut state = fleet();
    bump(&mut state);
    let standing = EngineStatus { confirmed: None, closed: true, ..EngineStatus::default() };
    apply(&mut state, Command::SetEngineStatus { term: Term(1), engine: name(0), status: standing });
    let mut engines = state.listing.engines.clone();
    engines.insert(name(0), listed(2));
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(2), engines }));
    let steps = Bringer::default().direct(&state, true, at(0));
    let opened =
        EngineStatus { confirmed: Some((WeightsEdition(2), "e00".into())), closed: false, ..EngineStatus::default() };
    assert!(steps.contains(&Bringing::Stand { engine: name(0), standing: opened }), "{steps:?}");
}

#[test]
fn a_leaving_engine_is_not_ordered_and_takes_no_place() {
    let mut state = fleet();
    bump(&mut state);
    let mut engines = state.listing.engines.clone();
    for number in 0..16 {
        engines.insert(name(number), ListedEngine { listed: Listed::Leaving, ..listed(1) });
    }
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(2), engines }));
    let steps = Bringer::default().direct(&state, true, at(0));
    assert_eq!(steps.len(), 1, "one of the two left at a time: {steps:?}");
    assert!(matches!(&steps[0], Bringing::Stand { engine, .. } if *engine == name(16)));
}

#[test]
fn a_new_holder_opens_what_has_loaded_and_orders_nothing_until_it_may() {
    let mut state = fleet();
    bump(&mut state);
    for number in [0, 1] {
        let standing = EngineStatus { confirmed: None, closed: true, ..EngineStatus::default() };
        apply(&mut state, Command::SetEngineStatus { term: Term(1), engine: name(number), status: standing });
    }
    let mut engines = state.listing.engines.clone();
    engines.insert(name(0), listed(2));
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(2), engines }));
    let mut bringer = Bringer::default();
    let steps = [bringer.direct(&state, false, at(0)), bringer.direct(&state, false, at(1000))].concat();
    assert!(steps.iter().any(|step| matches!(step, Bringing::Stand { engine, .. } if *engine == name(0))));
    assert!(!steps.iter().any(|step| matches!(step, Bringing::Order { .. })), "{steps:?}");
    let steps = bringer.direct(&state, true, at(1001));
    assert!(steps.iter().any(|step| matches!(step, Bringing::Order { engine, .. } if *engine == name(1))));
}

/// Long after new weights were named every engine left is closed; one whose turn has not come is ordered
/// only if requests wait there, and looked at again if none do.
#[test]
fn what_waits_on_weights_too_old_is_turned_away_by_an_order_out_of_turn() {
    let mut state = fleet();
    let mut bringer = Bringer::hurrying_after(Span::millis(13_500));
    assert!(bringer.direct(&state, true, at(0)).is_empty());
    bump(&mut state);
    let first_steps = bringer.direct(&state, true, at(1000));
    assert_eq!(first_steps.len(), ENGINES / 6 + 1, "few are closed in their turn: {first_steps:?}");
    assert_eq!(bringer.next_due(), Some(at(14_500)));

    for step in bringer.direct(&state, true, at(14_500)) {
        let Bringing::Stand { engine, standing } = step else { panic!("{step:?}") };
        assert!(standing.closed);
        apply(&mut state, Command::SetEngineStatus { term: Term(1), engine, status: standing });
    }
    assert!((0..ENGINES).all(|number| state.engine_statuses[&name(number)].closed));
    assert!(bringer.direct(&state, true, at(14_500)).is_empty(), "routers hear of it first");

    let steps = bringer.direct(&state, true, at(14_700));
    let in_turn = steps.iter().filter(|step| matches!(step, Bringing::Order { .. })).count();
    let out_of_turn = steps.iter().filter(|step| matches!(step, Bringing::OrderIfWaiting { .. })).count();
    assert_eq!((in_turn, out_of_turn), (ENGINES / 6, ENGINES - ENGINES / 6), "{steps:?}");
    bringer.hear_order(&name(ENGINES - 1), OrderAnswer::Unneeded, at(14_710));
    assert!(bringer.direct(&state, true, at(14_900)).is_empty());
    let again = bringer.direct(&state, true, at(15_010));
    assert!(
        matches!(&again[..], [Bringing::OrderIfWaiting { engine, .. }] if *engine == name(ENGINES - 1)),
        "{again:?}"
    );
}

/// The span counts from the naming, also where another keeper held the duty then.
#[test]
fn a_new_holder_knows_since_when_weights_are_wanted() {
    let mut state = fleet();
    bump(&mut state);
    let mut bringer = Bringer::hurrying_after(Span::millis(13_500));
    bringer.note_wanted(&state, at(1000));
    bringer.forget();
    let steps = bringer.direct(&state, true, at(14_500));
    assert_eq!(steps.len(), ENGINES, "{steps:?}");
}

/// Weights named while engines load the ones before: what loads is looked at until it is done and ordered
/// anew, and holds up no other.
#[test]
fn weights_named_in_the_middle_of_a_load_are_brought_to_all() {
    let mut state = fleet();
    bump(&mut state);
    let mut bringer = Bringer::default();
    let mut loading: Vec<Option<(WeightsEdition, u64)>> = vec![None; ENGINES];
    for now in (0..60_000).step_by(10) {
        if now == 3000 {
            apply(&mut state, Command::RaiseWeights { model: "m".into(), weights: WeightsEdition(3) });
        }
        for step in bringer.direct(&state, true, at(now)) {
            match step {
                Bringing::Stand { engine, standing } => {
                    apply(&mut state, Command::SetEngineStatus { term: Term(1), engine, status: standing });
                }
                Bringing::Order { engine, weights, .. } => {
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    let is_free = loading[number].is_none_or(|(_, ready)| now >= ready);
                    assert!(is_free, "an engine that loads is not ordered again");
                    loading[number] = Some((weights, now + 1800));
                    bringer.hear_order(&engine, OrderAnswer::Taken, at(now));
                }
                Bringing::OrderIfWaiting { .. } => panic!("nothing is in a hurry"),
                Bringing::Look { engine, .. } => {
                    let number: usize = engine.as_str()[1..].parse().unwrap();
                    let (weights, ready) = loading[number].expect("only what was ordered is looked at");
                    let told = if now >= ready { weights } else { WeightsEdition(1) };
                    bringer.hear_report(&engine, Some((told, now < ready)), at(now));
                }
            }
        }
        let confirmed = |standing: &EngineStatus| standing.confirmed.as_ref().map(|(weights, _)| weights.0);
        let is_done = |standing: &EngineStatus| !standing.closed && confirmed(standing) == Some(3);
        if state.engine_statuses.len() == ENGINES && state.engine_statuses.values().all(is_done) {
            assert!(now < 18_000, "took {now} ms");
            return;
        }
    }
    panic!("never done")
}

/// The bound of old weights counts from the first newer ones, whatever is named since.
#[test]
fn a_second_naming_puts_off_no_order_out_of_turn() {
    let mut state = fleet();
    let mut bringer = Bringer::hurrying_after(Span::millis(13_500));
    bringer.direct(&state, true, at(0));
    bump(&mut state);
    bringer.direct(&state, true, at(1000));
    apply(&mut state, Command::RaiseWeights { model: "m".into(), weights: WeightsEdition(3) });
    bringer.direct(&state, true, at(10_000));
    assert_eq!(bringer.direct(&state, true, at(14_500)).len(), ENGINES);
}

/// Requests may still wait at an engine that leaves: they are turned away as anywhere.
#[test]
fn what_waits_at_a_leaving_engine_is_turned_away_too() {
    let mut state = fleet();
    let mut bringer = Bringer::hurrying_after(Span::millis(13_500));
    bump(&mut state);
    bringer.direct(&state, true, at(1000));
    let mut engines = state.listing.engines.clone();
    engines.insert(name(17), ListedEngine { listed: Listed::Leaving, ..listed(1) });
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(2), engines }));
    let concerns = |steps: &[Bringing]| {
        steps.iter().any(|step| {
            matches!(step,
        Bringing::OrderIfWaiting { engine, .. } if *engine == name(17))
        })
    };
    assert!(!concerns(&bringer.direct(&state, true, at(14_400))), "routers may still use old weights");
    assert!(!concerns(&bringer.direct(&state, false, at(14_500))), "the holder before may still order");
    assert!(concerns(&bringer.direct(&state, true, at(14_500))));
    assert!(!concerns(&bringer.direct(&state, true, at(14_600))), "one order at a time");
    bringer.hear_order(&name(17), OrderAnswer::Unneeded, at(14_600));
    assert!(concerns(&bringer.direct(&state, true, at(14_900))), "asked again");
    bringer.hear_order(&name(17), OrderAnswer::Taken, at(14_910));
    assert!(!concerns(&bringer.direct(&state, true, at(20_000))));
}

#[test]
fn a_new_holder_closes_no_engine_before_it_may_order() {
    let mut state = fleet();
    bump(&mut state);
    let mut bringer = Bringer::default();
    assert!(bringer.direct(&state, false, at(0)).is_empty(), "the holder before may still have orders on their way");
    let closings = bringer.direct(&state, true, at(5000));
    assert!(!closings.is_empty());
    for step in closings {
        assert!(matches!(step, Bringing::Stand { standing: EngineStatus { closed: true, .. }, .. }), "{step:?}");
    }
}

#[test]
fn the_time_to_orders_out_of_turn_begins_anew_when_the_core_is_disturbed() {
    let mut state = fleet();
    bump(&mut state);
    let closed_count = |bringer: &mut Bringer, state: &FleetState, now: u64| {
        let steps = bringer.direct(state, true, at(now));
        steps.iter().filter(|step| matches!(step, Bringing::Stand { .. })).count()
    };
    let mut bringer = Bringer::hurrying_after(Span::millis(10_000));
    let in_turn = closed_count(&mut bringer, &state, 0);
    assert!(in_turn < ENGINES, "{in_turn} are closed at first");
    bringer.note_disturbed(at(4000));
    bringer.note_disturbed(at(3000));
    assert_eq!(closed_count(&mut bringer, &state, 13_999), in_turn);
    assert_eq!(closed_count(&mut bringer, &state, 14_000), ENGINES);
}
