//! The conditions for an attempt: those checked in the call that writes its first byte, and those that must
//! keep holding while it runs.

use crate::prelude::*;

/// How long running work may outlive its router's lease. A change is acknowledged at the earliest when that lease
/// has expired, so work for a key withdrawn meanwhile may run for this long after the acknowledgement.
pub const LEASE_GRACE: Span = Span::seconds(4);

/// Why an attempt may not start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The router holds no lease.
    NoLease,
    /// The API key does not, or no longer, belong to the tenant.
    KeyWithdrawn,
    /// The engine may not be used now, or serves other weights.
    EngineMoved,
    /// The tenant's isolation domain (wall) has changed, and with it the salt.
    WallMoved,
    /// The tenant's requests now run on another adapter or revision, or the engine no longer holds it.
    AdapterMoved,
    /// The request's own time limit has passed.
    LimitPassed,
}

/// Why running work must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The router's lease expired longer than `LEASE_GRACE` ago.
    NoLease,
    /// The API key no longer belongs to the tenant.
    KeyWithdrawn,
}

/// The facts on which an attempt was placed; checked again before it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptBasis {
    /// The hash of the request's API key.
    pub key_hash: String,
    /// The tenant of that key.
    pub tenant: TenantName,
    /// The requested model.
    pub model: ModelName,
    /// The engine chosen.
    pub engine: EngineName,
    /// The weights that the engine had confirmed.
    pub weights: WeightsEdition,
    /// The only adapter the attempt may run on; `None` for the base model.
    pub adapter: Option<AdapterId>,
    /// The salt of the prompt's block hashes.
    pub salt: Salt,
    /// The request's own time limit.
    pub limit: Instant,
}

/// Whether a router may start work: its view of the fleet state is current only while it holds a lease.
pub fn is_leased(lease_until: Instant, now: Instant) -> bool {
    now < lease_until
}

/// Checks that an attempt may start; called together with the write of its first byte.
pub fn may_start(
    snapshot: &FleetSnapshot,
    lease_until: Instant,
    basis: &AttemptBasis,
    now: Instant,
) -> Result<(), StartRefusal> {
    if !is_leased(lease_until, now) {
        return Err(StartRefusal::NoLease);
    }
    if now >= basis.limit {
        return Err(StartRefusal::LimitPassed);
    }
    if may_continue(snapshot, lease_until, &basis.key_hash, &basis.tenant, now).is_err() {
        return Err(StartRefusal::KeyWithdrawn);
    }
    let usable = snapshot.usable_weights_for(&basis.engine, &basis.model, basis.adapter.as_ref(), now);
    if usable != Some(basis.weights) {
        return Err(StartRefusal::EngineMoved);
    }
    if !is_adapter_current(snapshot, basis) {
        return Err(StartRefusal::AdapterMoved);
    }
    let wall = snapshot.state.wall_of(&basis.tenant);
    let salt = Salt::for_model(&basis.model, basis.weights, wall.id, wall.edition);
    if salt.with_adapter(basis.adapter.as_ref()) != basis.salt {
        return Err(StartRefusal::WallMoved);
    }
    Ok(())
}

/// Whether the attempt is for the adapter, or for none, that its tenant's requests run on now, and its engine
/// holds exactly that adapter warm.
fn is_adapter_current(snapshot: &FleetSnapshot, basis: &AttemptBasis) -> bool {
    if snapshot.state.adapter_for(&basis.tenant, &basis.model) != basis.adapter {
        return false;
    }
    let Some(adapter) = &basis.adapter else { return true };
    snapshot.state.adapters.is_warm(&basis.engine, adapter)
}

/// Whether an answer, or a piece of one, names the adapter that its attempt was meant to run on.
pub fn names_expected_adapter(adapter: Option<&AdapterId>, answered_on: Option<&str>) -> bool {
    match (adapter, answered_on) {
        (None, None) => true,
        (Some(adapter), Some(named)) => AdapterId::parse(named).as_ref() == Some(adapter),
        _ => false,
    }
}

/// Checks that running work for a key may continue. A router without a lease does not hear of withdrawn keys.
pub fn may_continue(
    snapshot: &FleetSnapshot,
    lease_until: Instant,
    key_hash: &str,
    tenant: &TenantName,
    now: Instant,
) -> Result<(), StopReason> {
    if snapshot.tenants_by_key.get(key_hash) != Some(tenant) {
        return Err(StopReason::KeyWithdrawn);
    }
    if now >= lease_until + LEASE_GRACE {
        return Err(StopReason::NoLease);
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;
    use desired::prelude::{
        AdapterCopy, Command, CopyStage, EngineStatus, FleetState, Listed, ListedEngine, Listing, Submission,
    };

    const NOW: Instant = Instant(1_000_000_000_000);

    /// A fleet of one engine that holds `x@1` warm; tenant `a` uses that adapter, `b` uses none.
    fn fleet() -> FleetState {
        let mut state = FleetState::default();
        let document = r#"{"models":{"m":{"adapter_places":1}},"tenants":{"a":{"keys":{"k":"KEY"},"adapters":["x"]},"b":{}},
            "adapters":{"x":{"model":"m","owners":["a"]}}}"#;
        let patch = document.replace("KEY", &"0".repeat(64));
        state.apply(&Submission { request: RequestId(1), command: Command::Merge { base: None, patch } });
        let listed = ListedEngine { model: "m".into(), ..ListedEngine::default() };
        let engines = [("e".into(), listed)].into();
        let listing = Listing { boot: "b".into(), number: ListingNumber(1), engines };
        state.apply(&Submission { request: RequestId(2), command: Command::List(listing) });
        let status = EngineStatus {
            confirmed: Some((WeightsEdition(1), "b".into())),
            closed: false,
            ..EngineStatus::default()
        };
        state.engine_statuses.insert("e".into(), status);
        let copy = AdapterCopy { adapter: AdapterId::new("x", 1), stage: CopyStage::Warm { boot: "b".into() } };
        state.adapters.copies.insert("e".into(), vec![copy]);
        state
    }

    fn basis(adapter: Option<AdapterId>) -> AttemptBasis {
        let salt =
            Salt::for_model(&"m".into(), WeightsEdition(1), WallId(0), WallEdition(0)).with_adapter(adapter.as_ref());
        AttemptBasis {
            key_hash: "0".repeat(64),
            tenant: "a".into(),
            model: "m".into(),
            engine: "e".into(),
            weights: WeightsEdition(1),
            adapter,
            salt,
            limit: NOW + Span::seconds(5),
        }
    }

    fn starts(state: FleetState, basis: &AttemptBasis) -> Result<(), StartRefusal> {
        let snapshot = FleetSnapshot::default().after_change(state, None, NOW);
        may_start(&snapshot, NOW + Span::seconds(1), basis, NOW)
    }

    #[test]
    fn an_attempt_starts_only_on_the_current_adapter_where_it_is_warm() {
        let own = AdapterId::new("x", 1);
        assert_eq!(starts(fleet(), &basis(Some(own.clone()))), Ok(()));
        for other in [None, Some(AdapterId::new("x", 2)), Some(AdapterId::new("y", 1))] {
            assert_eq!(starts(fleet(), &basis(other)), Err(StartRefusal::AdapterMoved));
        }
        let mut cold = fleet();
        cold.adapters.copies.clear();
        assert_eq!(starts(cold, &basis(Some(own.clone()))), Err(StartRefusal::AdapterMoved));
        let mut leaving = fleet();
        leaving.adapters.copies.get_mut(&"e".into()).unwrap()[0].stage = CopyStage::Leaving;
        assert_eq!(starts(leaving, &basis(Some(own.clone()))), Err(StartRefusal::AdapterMoved));
        let mut unbound = fleet();
        unbound.desired.tenants.get_mut(&"a".into()).unwrap().adapters.clear();
        assert_eq!(starts(unbound.clone(), &basis(Some(own.clone()))), Err(StartRefusal::AdapterMoved));
        assert_eq!(starts(unbound, &basis(None)), Ok(()));
        let bare_salt = AttemptBasis { salt: basis(None).salt, ..basis(Some(own)) };
        assert_eq!(starts(fleet(), &bare_salt), Err(StartRefusal::WallMoved));
    }

    /// `fleet()` whose engine also serves a second model `n`, on other weights than the first, and holds its
    /// adapter `y@1` warm; tenant `a` uses that adapter too.
    fn fleet_of_two_models() -> FleetState {
        let mut state = fleet();
        let patch = r#"{"models":{"n":{"weights":3,"adapter_places":1}},"tenants":{"a":{"adapters":["x","y"]}},
            "adapters":{"y":{"model":"n","owners":["a"]}}}"#;
        state.apply(&Submission {
            request: RequestId(3),
            command: Command::Merge { base: None, patch: patch.into() },
        });
        let listed = state.listing.engines.get_mut(&"e".into()).unwrap();
        listed.further_models.insert("n".into(), WeightsEdition(3));
        let second = AdapterCopy { adapter: AdapterId::new("y", 1), stage: CopyStage::Warm { boot: "b".into() } };
        state.adapters.copies.get_mut(&"e".into()).unwrap().push(second);
        state
    }

    /// An attempt for the second model on the given weights.
    fn second_basis(weights: u64, adapter: Option<AdapterId>) -> AttemptBasis {
        let (model, weights) = (ModelName::from("n"), WeightsEdition(weights));
        let salt = Salt::for_model(&model, weights, WallId(0), WallEdition(0)).with_adapter(adapter.as_ref());
        AttemptBasis { model, weights, adapter, salt, ..basis(None) }
    }

    #[test]
    fn an_attempt_for_a_second_model_is_checked_against_that_models_weights() {
        let own = Some(AdapterId::new("y", 1));
        assert_eq!(starts(fleet_of_two_models(), &second_basis(3, own.clone())), Ok(()));
        assert_eq!(
            starts(fleet_of_two_models(), &second_basis(1, own.clone())),
            Err(StartRefusal::EngineMoved),
            "weights of the first model"
        );
        let mut unbound = fleet_of_two_models();
        unbound.desired.tenants.get_mut(&"a".into()).unwrap().adapters.clear();
        assert_eq!(starts(unbound, &second_basis(3, None)), Ok(()));
        assert_eq!(
            starts(fleet(), &second_basis(3, own)),
            Err(StartRefusal::EngineMoved),
            "the engine does not serve this model"
        );
        assert_eq!(starts(fleet_of_two_models(), &basis(Some(AdapterId::new("x", 1)))), Ok(()));
    }

    #[test]
    fn an_attempt_at_a_leaving_engine_starts_only_on_its_last_copy_and_before_the_lease_ends() {
        let before = FleetSnapshot::default().after_change(fleet(), None, NOW);
        let mut leaving = fleet();
        leaving.listing.engines.get_mut(&"e".into()).unwrap().listed = Listed::Leaving;
        let snapshot =
            before.after_change(leaving, None, NOW).with_leaving_deadline(&before.state, NOW + Span::millis(900));
        let start = |basis: &AttemptBasis, now: Instant| may_start(&snapshot, NOW + Span::seconds(2), basis, now);
        let own = basis(Some(AdapterId::new("x", 1)));
        assert_eq!(start(&own, NOW), Ok(()));
        assert_eq!(start(&own, NOW + Span::millis(900)), Err(StartRefusal::EngineMoved));
        assert_eq!(start(&basis(None), NOW), Err(StartRefusal::EngineMoved), "not the base model");
    }

    #[test]
    fn an_answer_must_name_exactly_the_expected_adapter() {
        let own = AdapterId::new("x", 1);
        assert!(names_expected_adapter(Some(&own), Some("x@1")) && names_expected_adapter(None, None));
        for named in [None, Some("x@2"), Some("y@1"), Some("x")] {
            assert!(!names_expected_adapter(Some(&own), named));
        }
        assert!(!names_expected_adapter(None, Some("x@1")));
    }
}
