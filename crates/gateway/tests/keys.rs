//! The start check looks at the key once more: one that no tenant has any more starts nothing, also when no tenant is
//! left.

use blocks::prelude::Salt;
use desired::prelude::*;
use gateway::prelude::*;
use placement::prelude::{FleetSnapshot, NO_WEIGHTS};

const NOW: Instant = Instant(1_000_000_000_000);
const TENANT: &str = "a";

/// An engine that is listed open, and the given members of the document.
fn snapshot(members: &str) -> FleetSnapshot {
    let mut state = FleetState::default();
    let mut apply = |command| {
        let outcome = state.apply(&Submission { request: RequestId::random(), command });
        assert!(matches!(outcome, CommandOutcome::Applied(_)), "{outcome:?}");
    };
    apply(Command::Merge { base: None, patch: format!(r#"{{"services":{{"app":{{}}}}{members}}}"#) });
    let engine = ListedEngine { service: "app".into(), slots: 1, ..ListedEngine::default() };
    let engines = [("app-1".into(), engine)].into();
    apply(Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines }));
    FleetSnapshot::default().after_change(state, None, NOW)
}

fn start(snapshot: &FleetSnapshot, key_hash: Option<&str>, is_public: bool) -> Result<(), StartRefusal> {
    let basis = AttemptBasis {
        is_public,
        tenant: key_hash.map(|key_hash| (TENANT.into(), key_hash.to_owned())),
        model: None,
        engine: "app-1".into(),
        weights: NO_WEIGHTS,
        salt: Salt::for_model(&"".into(), NO_WEIGHTS, WallId(0), WallEdition(0)),
        deadline: NOW + Span::seconds(1),
    };
    may_start(snapshot, NOW + Span::seconds(1), &basis, NOW)
}

fn with_tenant(key_hash: &str) -> FleetSnapshot {
    snapshot(&format!(r#","tenants":{{"{TENANT}":{{"keys":{{"k":"{key_hash}"}}}}}}"#))
}

#[test]
fn only_the_key_of_a_tenant_starts_an_attempt() {
    let key_hash = "0".repeat(64);
    let snapshot = with_tenant(&key_hash);
    assert_eq!(start(&snapshot, Some(&key_hash), false), Ok(()));
    assert_eq!(start(&snapshot, Some(&"1".repeat(64)), false), Err(StartRefusal::KeyMoved));
    assert_eq!(start(&snapshot, None, false), Err(StartRefusal::KeyMoved), "keys are required since it was planned");
    assert_eq!(start(&snapshot, None, true), Ok(()));
}

/// Guards against open routes: an empty list of tenants was taken for a document without tenants.
#[test]
fn without_any_tenant_keys_are_required_if_the_document_says_so() {
    let key_hash = "0".repeat(64);
    let required = snapshot(r#","tenants":{},"keys_required":true"#);
    assert_eq!(start(&required, None, false), Err(StartRefusal::KeyMoved));
    assert_eq!(start(&required, Some(&key_hash), false), Err(StartRefusal::KeyMoved));
    assert_eq!(start(&required, None, true), Ok(()));
    assert_eq!(start(&snapshot(""), None, false), Ok(()));
}
