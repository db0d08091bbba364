//! Engines of a service without models are never closed, ordered or waited for while new weights roll out to the
//! engines of another service.

use conductor::prelude::*;
use desired::prelude::*;
use units::prelude::*;

const DOCUMENT: &str = r#"{"models":{"m":{}},"services":{"pool":{"models":["m"]},"app":{"models":[]}}}"#;
const ENGINES_OF_EACH: usize = 10;

fn apply(state: &mut FleetState, command: Command) {
    let outcome = state.apply(&Submission { request: RequestId::random(), command });
    assert!(matches!(outcome, CommandOutcome::Applied(_)), "{outcome:?}");
}

fn fleet() -> FleetState {
    let mut state = FleetState::default();
    apply(&mut state, Command::Merge { base: None, patch: DOCUMENT.into() });
    let pool = ListedEngine {
        service: "pool".into(),
        model: "m".into(),
        weights: Some(WeightsEdition(1)),
        ..ListedEngine::default()
    };
    let app = ListedEngine { service: "app".into(), ..ListedEngine::default() };
    let named = |kind: &str, listed: &ListedEngine| -> Vec<(EngineName, ListedEngine)> {
        (0..ENGINES_OF_EACH).map(|number| (EngineName(format!("{kind}-{number}")), listed.clone())).collect()
    };
    let engines = named("pool", &pool).into_iter().chain(named("app", &app)).collect();
    apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines }));
    apply(&mut state, Command::Appoint { kind: DutyKind::Conductor, from_term: Term(0), holder: NodeId(1) });
    apply(&mut state, Command::RaiseWeights { model: "m".into(), weights: WeightsEdition(2) });
    state
}

#[test]
fn a_rollout_of_another_service_leaves_engines_without_models_alone() {
    let mut state = fleet();
    let mut rollout = WeightsRollout::expediting_after(Span::seconds(5));
    for millis in (0..30_000).step_by(50) {
        let now = Instant(0) + Span::millis(millis);
        for step in rollout.next_steps(&state, true, now) {
            match step {
                RolloutStep::SetEngineStatus { engine, status } => {
                    assert!(engine.as_str().starts_with("pool"), "{engine} {status:?}");
                    apply(&mut state, Command::SetEngineStatus { term: Term(1), engine, status });
                }
                RolloutStep::Order { engine, .. } | RolloutStep::OrderIfWaiting { engine, .. } => {
                    assert!(engine.as_str().starts_with("pool"), "{engine} is ordered");
                    rollout.record_answer(&engine, OrderAnswer::Accepted, now);
                }
                RolloutStep::QueryWeights { engine, .. } => {
                    assert!(engine.as_str().starts_with("pool"), "{engine} is queried");
                    rollout.record_report(&engine, Some((WeightsEdition(2), false)), now);
                }
            }
        }
    }
    let is_closed = |engine: &EngineName| state.engine_statuses.get(engine).is_some_and(|status| status.closed);
    let confirmed = state.engine_statuses.values().filter(|status| status.confirmed.is_some()).count();
    assert_eq!(confirmed, ENGINES_OF_EACH, "all engines of the pool hold confirmed weights");
    assert!(!state.listing.engines.keys().any(is_closed));
}
