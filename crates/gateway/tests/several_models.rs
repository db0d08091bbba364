//! An engine with several models is a candidate for the requests of each, with that model's weights.

use blocks::prelude::Salt;
use desired::prelude::*;
use gateway::prelude::*;
use placement::prelude::FleetSnapshot;

const NOW: Instant = Instant(1_000_000_000_000);

/// One engine with both models and one with the first only; the second model is at weights edition 3.
fn snapshot() -> FleetSnapshot {
    let mut state = FleetState::default();
    let mut apply = |command| {
        let outcome = state.apply(&Submission { request: RequestId::random(), command });
        assert!(matches!(outcome, CommandOutcome::Applied(_)), "{outcome:?}");
    };
    let document = r#"{"models":{"m0":{},"m1":{"weights":3}},"services":{"s":{"models":["m0","m1"]}}}"#;
    apply(Command::Merge { base: None, patch: document.into() });
    let single = ListedEngine {
        address: "10.0.0.1:1".into(),
        model: "m0".into(),
        service: "s".into(),
        weights: Some(WeightsEdition(1)),
        ..ListedEngine::default()
    };
    let both = ListedEngine { further_models: [("m1".into(), WeightsEdition(3))].into(), ..single.clone() };
    let engines = [("both".into(), both), ("single".into(), single)].into();
    apply(Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines }));
    FleetSnapshot::default().after_change(state, None, NOW)
}

fn found(snapshot: &FleetSnapshot, model: &str) -> Vec<(String, u64)> {
    let found = candidates(snapshot, &"s".into(), Some(&model.into()), NOW);
    found.into_iter().map(|candidate| (candidate.engine.0, candidate.weights.0)).collect()
}

#[test]
fn candidates_are_those_that_hold_the_request_s_model() {
    let snapshot = snapshot();
    assert_eq!(found(&snapshot, "m0"), [("both".to_owned(), 1), ("single".to_owned(), 1)]);
    assert_eq!(found(&snapshot, "m1"), [("both".to_owned(), 3)]);
    assert_eq!(found(&snapshot, "m2"), []);
}

#[test]
fn the_start_check_compares_the_weights_of_the_request_s_model() {
    let snapshot = snapshot();
    let basis = |weights: u64| AttemptBasis {
        is_public: false,
        tenant: None,
        model: Some("m1".into()),
        engine: "both".into(),
        weights: WeightsEdition(weights),
        salt: Salt::for_model(&"m1".into(), WeightsEdition(weights), WallId(0), WallEdition(0)),
        deadline: NOW + Span::seconds(1),
    };
    let lease_until = NOW + Span::seconds(1);
    assert_eq!(may_start(&snapshot, lease_until, &basis(3), NOW), Ok(()));
    assert_eq!(
        may_start(&snapshot, lease_until, &basis(1), NOW),
        Err(StartRefusal::EngineMoved),
        "these are the other model's weights"
    );
}

/// Guards against WALL in review/5: an attempt without a salt was not checked, whoever its tenant was.
#[test]
fn an_attempt_starts_only_with_the_salt_of_its_tenant_and_model() {
    let snapshot = snapshot();
    let start = |model: Option<&str>, salted_for: &str| {
        let basis = AttemptBasis {
            is_public: false,
            tenant: None,
            model: model.map(ModelName::from),
            engine: "single".into(),
            weights: WeightsEdition(1),
            salt: Salt::for_model(&salted_for.into(), WeightsEdition(1), WallId(0), WallEdition(0)),
            deadline: NOW + Span::seconds(1),
        };
        may_start(&snapshot, NOW + Span::seconds(1), &basis, NOW)
    };
    assert_eq!(start(Some("m0"), "m0"), Ok(()));
    assert_eq!(start(None, ""), Ok(()));
    assert_eq!(start(Some("m0"), ""), Err(StartRefusal::WallMoved));
    assert_eq!(start(None, "m0"), Err(StartRefusal::WallMoved));
}
