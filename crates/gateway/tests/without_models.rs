//! The engines of a service without models serve requests that name no model, whatever weights other services
//! have; an engine whose models are not known yet does not count as one without models.

use blocks::prelude::Salt;
use desired::prelude::*;
use gateway::prelude::*;
use placement::prelude::{FleetSnapshot, NO_WEIGHTS};

const NOW: Instant = Instant(1_000_000_000_000);

fn listed(service: &str, model: Option<&str>) -> ListedEngine {
    ListedEngine {
        address: format!("10.0.0.1:{}", service.len()),
        service: service.into(),
        model: model.unwrap_or_default().into(),
        weights: model.map(|_| WeightsEdition(1)),
        slots: 6,
        ..ListedEngine::default()
    }
}

/// A service whose model is at newer weights than its engine, services without models, and an engine whose models
/// the list does not show.
fn state() -> FleetState {
    let mut state = FleetState::default();
    let mut apply = |command| {
        let outcome = state.apply(&Submission { request: RequestId::random(), command });
        assert!(matches!(outcome, CommandOutcome::Applied(_)), "{outcome:?}");
    };
    let document = r#"{"models":{"m":{"weights":2}},"services":{"pool":{"models":["m"]},"app":{"models":[]},
        "kept":{"models":[],"store_address":"10.0.0.9:1"}}}"#;
    apply(Command::Merge { base: None, patch: document.into() });
    let engines = [
        ("app-1".into(), listed("app", None)),
        ("app-2".into(), listed("app", None)),
        ("app-leaving".into(), ListedEngine { listed: Listed::Leaving, ..listed("app", None) }),
        ("kept-1".into(), listed("kept", None)),
        ("other-1".into(), listed("other", None)),
        ("pool-1".into(), listed("pool", Some("m"))),
        ("pool-unknown".into(), listed("pool", None)),
    ];
    apply(Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines: engines.into() }));
    state
}

fn snapshot(state: FleetState) -> FleetSnapshot {
    FleetSnapshot::default().after_change(state, None, NOW)
}

fn found(snapshot: &FleetSnapshot, service: &str, model: Option<&str>) -> Vec<String> {
    let model = model.map(ModelName::from);
    let found = candidates(snapshot, &service.into(), model.as_ref(), NOW);
    found.into_iter().map(|candidate| candidate.engine.0).collect()
}

#[test]
fn its_engines_take_requests_that_name_no_model() {
    let snapshot = snapshot(state());
    assert_eq!(found(&snapshot, "app", None), ["app-1", "app-2"]);
    assert_eq!(found(&snapshot, "app", Some("m")), [""; 0], "its engines hold no model");
}

#[test]
fn an_engine_of_unknown_models_is_not_one_without_models() {
    let snapshot = snapshot(state());
    assert_eq!(found(&snapshot, "pool", None), [""; 0], "one serves replaced weights, one lists none");
    assert_eq!(found(&snapshot, "pool", Some("m")), [""; 0]);
    assert_eq!(found(&snapshot, "kept", None), [""; 0], "a store serves no requests");
    assert_eq!(found(&snapshot, "other", None), [""; 0], "the desired state has no such service");
}

#[test]
fn the_start_check_lets_them_start_while_they_are_listed_open() {
    let snapshot = snapshot(state());
    let basis = |engine: &str| AttemptBasis {
        is_public: false,
        tenant: None,
        model: None,
        engine: engine.into(),
        weights: NO_WEIGHTS,
        salt: Salt::for_model(&"".into(), NO_WEIGHTS, WallId(0), WallEdition(0)),
        deadline: NOW + Span::seconds(1),
    };
    let lease_until = NOW + Span::seconds(1);
    assert_eq!(may_start(&snapshot, lease_until, &basis("app-1"), NOW), Ok(()));
    for engine in ["app-leaving", "app-gone", "pool-1", "pool-unknown"] {
        assert_eq!(
            may_start(&snapshot, lease_until, &basis(engine), NOW),
            Err(StartRefusal::EngineMoved),
            "{engine}"
        );
    }
}

#[test]
fn a_closed_or_drained_one_takes_nothing() {
    let mut closed = state();
    let status = EngineStatus { closed: true, ..EngineStatus::default() };
    closed.engine_statuses.insert("app-1".into(), status);
    closed.drained.insert("app-2".into());
    assert_eq!(found(&snapshot(closed), "app", None), [""; 0]);
}
