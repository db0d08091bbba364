//! Commands and their effects on the fleet state.

use desired::prelude::*;
use units::prelude::*;

fn submit(state: &mut FleetState, command: Command) -> CommandOutcome {
    state.apply(&Submission { request: RequestId::random(), command })
}

fn merge_in(state: &mut FleetState, patch: &str) -> CommandOutcome {
    submit(state, Command::Merge { base: None, patch: patch.into() })
}

#[test]
fn walling_a_tenant_invalidates_the_shared_cache() {
    let mut state = FleetState::default();
    merge_in(&mut state, r#"{"tenants":{"a":{},"b":{}}}"#);
    let wall_before = state.wall_of(&"b".into());
    assert_eq!(state.wall_of(&"a".into()), wall_before);
    merge_in(&mut state, r#"{"tenants":{"a":{"walled":true}}}"#);
    assert_ne!(state.wall_of(&"a".into()).id, state.wall_of(&"b".into()).id);
    assert_ne!(state.wall_of(&"b".into()), wall_before, "blocks that a made before must not serve b");
    let first_wall = state.wall_of(&"a".into());
    merge_in(&mut state, r#"{"tenants":{"a":{"walled":false}}}"#);
    merge_in(&mut state, r#"{"tenants":{"a":{"walled":true}}}"#);
    assert_ne!(state.wall_of(&"a".into()), first_wall);
}

#[test]
fn tenants_walled_in_one_change_get_different_walls() {
    let mut state = FleetState::default();
    merge_in(&mut state, r#"{"tenants":{"a":{"walled":true},"b":{"walled":true}}}"#);
    assert_ne!(state.wall_of(&"a".into()), state.wall_of(&"b".into()));
}

#[test]
fn a_retried_submission_is_applied_once() {
    let mut state = FleetState::default();
    let submission = Submission {
        request: RequestId(7),
        command: Command::Merge { base: Some(Edition(0)), patch: r#"{"kinds":["x"]}"#.into() },
    };
    assert_eq!(state.apply(&submission), CommandOutcome::Applied(Edition(1)));
    assert_eq!(state.apply(&submission), CommandOutcome::Applied(Edition(1)));
    assert_eq!(state.desired_edition, Edition(1));
    let late = Command::Merge { base: Some(Edition(0)), patch: "{}".into() };
    assert_eq!(submit(&mut state, late), CommandOutcome::Stale { now: Edition(1) });
}

#[test]
fn a_refused_document_changes_nothing() {
    let mut state = FleetState::default();
    merge_in(&mut state, r#"{"models":{"m":{"weights":2}}}"#);
    let state_before = state.clone();
    for patch in [r#"{"models":{"m":{"weights":1}}}"#, r#"{"x":1}"#, "{", "[]"] {
        assert!(matches!(merge_in(&mut state, patch), CommandOutcome::Refused(_)), "{patch}");
    }
    assert_eq!(state.desired, state_before.desired);
    assert_eq!(state.desired_edition, state_before.desired_edition);
}

#[test]
fn an_older_listing_is_refused() {
    let mut state = FleetState::default();
    let listing = |number| Listing { boot: "b".into(), number: ListingNumber(number), ..Listing::default() };
    assert!(matches!(submit(&mut state, Command::List(listing(5))), CommandOutcome::Applied(_)));
    assert!(matches!(submit(&mut state, Command::List(listing(4))), CommandOutcome::Refused(_)));
    assert_eq!(state.listing.number, ListingNumber(5));
}

#[test]
fn a_plan_is_confirmed_once_and_no_step_runs_twice() {
    let mut state = FleetState::default();
    merge_in(&mut state, r#"{"models":{"m":{"weights":1}},"tenants":{"a":{}},"policies":{"p":{"weight":4}}}"#);
    submit(&mut state, Command::Appoint { kind: DutyKind::Conductor, from_term: Term(0), holder: NodeId(1) });
    let intend = |state: &mut FleetState, intent| match submit(state, Command::Intend(intent)) {
        CommandOutcome::Applied(plan) => plan,
        other => panic!("{other:?}"),
    };
    let tenants = vec![TenantName::from("a")];
    let plan = intend(&mut state, Intent::Trial { policy: "p".into(), tenants: tenants.clone() });
    let step = |term, step| Command::DoStep { term: Term(term), plan, step };
    assert!(matches!(submit(&mut state, step(1, 0)), CommandOutcome::Refused(_)), "not confirmed yet");
    let confirmed = submit(&mut state, Command::Confirm { plan });
    assert_eq!(
        submit(&mut state, Command::Confirm { plan }),
        confirmed,
        "a repeated confirmation has the same outcome"
    );
    assert!(matches!(submit(&mut state, step(2, 0)), CommandOutcome::Refused(_)), "another term");
    assert!(matches!(submit(&mut state, step(1, 0)), CommandOutcome::Applied(_)));
    assert_eq!(state.desired.trials[&tenants[0]], "p");
    assert!(matches!(submit(&mut state, step(1, 0)), CommandOutcome::Refused(_)), "a step runs once");
    assert_eq!(state.plans[&plan].status, PlanStatus::Done);

    let late_plan = intend(&mut state, Intent::Adopt { policy: "p".into() });
    merge_in(&mut state, r#"{"kinds":["moved"]}"#);
    assert!(matches!(submit(&mut state, Command::Confirm { plan: late_plan }), CommandOutcome::Stale { .. }));
    let adopted = intend(&mut state, Intent::Adopt { policy: "p".into() });
    submit(&mut state, Command::EndPlan { term: Term(1), plan: late_plan, halted: None });
    assert!(
        matches!(submit(&mut state, Command::Confirm { plan: late_plan }), CommandOutcome::Refused(_)),
        "expired"
    );
    submit(&mut state, Command::Confirm { plan: adopted });
    submit(&mut state, Command::DoStep { term: Term(1), plan: adopted, step: 0 });
    assert_eq!((state.desired.policies["default"].weight, state.desired.trials.len()), (4.0, 0));
    let unknown = Intent::Wall { tenant: "nobody".into() };
    assert!(matches!(submit(&mut state, Command::Intend(unknown)), CommandOutcome::Refused(_)));
}

#[test]
fn a_claim_is_held_until_its_own_run_releases_it() {
    let mut state = FleetState::default();
    let claim = |run| Command::Claim { claim: BlockHash(7), router: NodeId(1), run };
    assert!(matches!(submit(&mut state, claim(1)), CommandOutcome::Applied(_)));
    let CommandOutcome::Refused(errors) = submit(&mut state, claim(2)) else { panic!("claimed twice") };
    assert_eq!(errors[0].path, format!("{}.1", NodeId(1)));
    submit(&mut state, Command::Release { claim: BlockHash(7), router: NodeId(1), run: 2 });
    assert!(matches!(submit(&mut state, claim(3)), CommandOutcome::Refused(_)), "not its own run");
    submit(&mut state, Command::Release { claim: BlockHash(7), router: NodeId(1), run: 1 });
    assert!(matches!(submit(&mut state, claim(3)), CommandOutcome::Applied(_)));
}

/// Guards against STALE: a model that was removed and came back took its earlier weights up again.
#[test]
fn a_model_that_returns_keeps_its_weights() {
    let mut state = FleetState::default();
    merge_in(&mut state, r#"{"models":{"m":{"weights":5},"n":{}}}"#);
    merge_in(&mut state, r#"{"models":{"m":null,"n":null}}"#);
    for text in [r#"{"models":{"m":{"weights":2},"n":{}}}"#, r#"{"models":{"m":{},"n":{"weights":1}}}"#] {
        submit(&mut state, Command::Replace { base: None, text: text.into() });
        assert_eq!(state.desired.models[&"m".into()].weights, WeightsEdition(5));
        assert_eq!(state.desired.models[&"n".into()].weights, WeightsEdition(1));
        merge_in(&mut state, r#"{"models":null}"#);
    }
}

/// What models did is remembered within a bound, and refused beyond it rather than forgotten.
#[test]
fn the_weights_of_removed_models_are_remembered_within_a_bound() {
    let mut state = FleetState::default();
    let models = |first: usize, count: usize| {
        let named: Vec<String> = (first..first + count).map(|name| format!(r#""m{name}":{{"weights":2}}"#)).collect();
        Command::Replace { base: None, text: format!(r#"{{"models":{{{}}}}}"#, named.join(",")) }
    };
    submit(&mut state, models(0, MAX_MINIMUM_WEIGHTS));
    assert!(matches!(submit(&mut state, models(MAX_MINIMUM_WEIGHTS, 1)), CommandOutcome::Applied(_)));
    assert_eq!(state.minimum_weights.len(), MAX_MINIMUM_WEIGHTS);
    assert!(matches!(submit(&mut state, models(0, 1)), CommandOutcome::Refused(_)));
    let raise = |model: &str| Command::RaiseWeights { model: model.into(), weights: WeightsEdition(3) };
    assert!(matches!(submit(&mut state, raise("other")), CommandOutcome::Refused(_)));
    assert!(matches!(submit(&mut state, raise("m0")), CommandOutcome::Applied(_)));
}

/// Guards against CONFIG in the case `same-place`: two routes whose hosts differ in case alone were taken, and one got
/// the requests of both.
#[test]
fn hosts_that_differ_in_case_alone_are_the_same() {
    let mut state = FleetState::default();
    let route = |host: &str| format!(r#"{{"host":"{host}","prefix":"/a/","branches":[{{"service":"s"}}]}}"#);
    let routes = |other: &str| {
        let (first, second) = (route("h.example"), route(other));
        format!(r#"{{"services":{{"s":{{}}}},"routes":{{"r":{first},"q":{second}}}}}"#)
    };
    assert!(matches!(merge_in(&mut state, &routes("H.example")), CommandOutcome::Refused(_)));
    assert!(matches!(merge_in(&mut state, &routes("i.example")), CommandOutcome::Applied(_)));
}
