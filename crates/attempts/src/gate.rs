//! The gate: what must hold in the very call that writes an attempt's first byte, and what must go on to
//! hold while the attempt is worked on.

use crate::prelude::*;

/// How long running work outlives its router's lease. A change is acknowledged at the earliest when
/// that lease has run out, so a key withdrawn meanwhile works for so long after the acknowledgement.
pub const LEASE_GRACE: Span = Span::seconds(4);

/// Why an attempt may not start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartBar {
    /// The router holds no lease.
    NoLease,
    /// The key is not, or no longer, the tenant's.
    KeyWithdrawn,
    /// The engine may not be used now, or not with these weights.
    EngineMoved,
    /// The tenant's wall has changed, and with it the salt.
    WallMoved,
    /// Requests run on another adapter or revision now, or the engine holds it no more.
    AdapterMoved,
    /// The request's own limit has passed.
    LimitPassed,
}

/// Why work that is under way must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkBar {
    /// The router has held no lease for longer than the grace.
    NoLease,
    /// The key is no longer the tenant's.
    KeyWithdrawn,
}

/// What an attempt was chosen on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ground {
    /// The hash of the key the request came with.
    pub key_hash: String,
    /// Whose key that was.
    pub tenant: TenantName,
    /// The model asked for.
    pub model: ModelName,
    /// The engine chosen.
    pub engine: EngineName,
    /// The weights it confirmed.
    pub weights: WeightsEdition,
    /// The adapter it runs on, alone; none for the bare model.
    pub adapter: Option<AdapterId>,
    /// The salt of the prompt's block names.
    pub salt: Salt,
    /// When the request's own limit passes.
    pub limit: Instant,
}

/// Whether a router may take anything on now: it knows what is in force only while it holds a lease.
pub fn is_leased(lease_until: Instant, now: Instant) -> bool {
    now < lease_until
}

/// The last look before the first byte of an attempt.
pub fn may_start(sight: &FleetSight, lease_until: Instant, ground: &Ground, now: Instant) -> Result<(), StartBar> {
    if !is_leased(lease_until, now) {
        return Err(StartBar::NoLease);
    }
    if now >= ground.limit {
        return Err(StartBar::LimitPassed);
    }
    if may_go_on(sight, lease_until, &ground.key_hash, &ground.tenant, now).is_err() {
        return Err(StartBar::KeyWithdrawn);
    }
    let usable = sight.usable_weights_for(&ground.engine, &ground.model, ground.adapter.as_ref(), now);
    if usable != Some(ground.weights) {
        return Err(StartBar::EngineMoved);
    }
    if !runs_on_its_adapter(sight, ground) {
        return Err(StartBar::AdapterMoved);
    }
    let wall = sight.state.wall_of(&ground.tenant);
    let salt = Salt::for_model(&ground.model, ground.weights, wall.id, wall.edition);
    if salt.with_adapter(ground.adapter.as_ref()) != ground.salt {
        return Err(StartBar::WallMoved);
    }
    Ok(())
}

/// Whether an attempt is for the adapter that its tenant's requests run on now, if they run on one, and its
/// engine holds exactly that warm.
fn runs_on_its_adapter(sight: &FleetSight, ground: &Ground) -> bool {
    if sight.state.adapter_for(&ground.tenant, &ground.model) != ground.adapter {
        return false;
    }
    let Some(adapter) = &ground.adapter else { return true };
    sight.state.adapters.is_warm(&ground.engine, adapter)
}

/// Whether an answer, or a piece of one, names the adapter that its attempt was to run on.
pub fn is_own_answer(adapter: Option<&AdapterId>, answered_on: Option<&str>) -> bool {
    match (adapter, answered_on) {
        (None, None) => true,
        (Some(adapter), Some(named)) => AdapterId::parse(named).as_ref() == Some(adapter),
        _ => false,
    }
}

/// Whether work for a key may go on. A router long without a lease cannot know of withdrawn keys.
pub fn may_go_on(
    sight: &FleetSight,
    lease_until: Instant,
    key_hash: &str,
    tenant: &TenantName,
    now: Instant,
) -> Result<(), WorkBar> {
    if sight.tenants_by_key.get(key_hash) != Some(tenant) {
        return Err(WorkBar::KeyWithdrawn);
    }
    if now >= lease_until + LEASE_GRACE {
        return Err(WorkBar::NoLease);
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;
    use desired::prelude::{
        AdapterCopy, Command, CopyStage, FleetState, Listed, ListedEngine, Listing, Standing, Submission,
    };

    const NOW: Instant = Instant(1_000_000_000_000);

    /// A fleet of one engine, which holds `x@1` warm; tenant `a` is bound to it, `b` to nothing.
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
        let standing =
            Standing { confirmed: Some((WeightsEdition(1), "b".into())), closed: false, ..Standing::default() };
        state.standings.insert("e".into(), standing);
        let copy = AdapterCopy { adapter: AdapterId::new("x", 1), stage: CopyStage::Warm { boot: "b".into() } };
        state.adapters.copies.insert("e".into(), vec![copy]);
        state
    }

    fn ground(adapter: Option<AdapterId>) -> Ground {
        let salt =
            Salt::for_model(&"m".into(), WeightsEdition(1), WallId(0), WallEdition(0)).with_adapter(adapter.as_ref());
        Ground {
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

    fn starts(state: FleetState, ground: &Ground) -> Result<(), StartBar> {
        let sight = FleetSight::default().following(state, None, NOW);
        may_start(&sight, NOW + Span::seconds(1), ground, NOW)
    }

    #[test]
    fn a_shot_starts_only_on_the_adapter_in_force_where_it_is_warm() {
        let own = AdapterId::new("x", 1);
        assert_eq!(starts(fleet(), &ground(Some(own.clone()))), Ok(()));
        for foreign in [None, Some(AdapterId::new("x", 2)), Some(AdapterId::new("y", 1))] {
            assert_eq!(starts(fleet(), &ground(foreign)), Err(StartBar::AdapterMoved));
        }
        let mut cold = fleet();
        cold.adapters.copies.clear();
        assert_eq!(starts(cold, &ground(Some(own.clone()))), Err(StartBar::AdapterMoved));
        let mut leaving = fleet();
        leaving.adapters.copies.get_mut(&"e".into()).unwrap()[0].stage = CopyStage::Leaving;
        assert_eq!(starts(leaving, &ground(Some(own.clone()))), Err(StartBar::AdapterMoved));
        let mut unbound = fleet();
        unbound.desired.tenants.get_mut(&"a".into()).unwrap().adapters.clear();
        assert_eq!(starts(unbound.clone(), &ground(Some(own.clone()))), Err(StartBar::AdapterMoved));
        assert_eq!(starts(unbound, &ground(None)), Ok(()));
        let bare_salt = Ground { salt: ground(None).salt, ..ground(Some(own)) };
        assert_eq!(starts(fleet(), &bare_salt), Err(StartBar::WallMoved));
    }

    /// The fleet's engine holds a second model `n` besides, on other weights than the first, with an adapter
    /// `y@1` of it warm, to which tenant `a` is bound too.
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

    /// An attempt for the second model, on weights of it or on others.
    fn second_ground(weights: u64, adapter: Option<AdapterId>) -> Ground {
        let (model, weights) = (ModelName::from("n"), WeightsEdition(weights));
        let salt = Salt::for_model(&model, weights, WallId(0), WallEdition(0)).with_adapter(adapter.as_ref());
        Ground { model, weights, adapter, salt, ..ground(None) }
    }

    #[test]
    fn a_shot_for_a_second_model_is_judged_by_that_models_weights() {
        let own = Some(AdapterId::new("y", 1));
        assert_eq!(starts(fleet_of_two_models(), &second_ground(3, own.clone())), Ok(()));
        assert_eq!(
            starts(fleet_of_two_models(), &second_ground(1, own.clone())),
            Err(StartBar::EngineMoved),
            "those of the first model"
        );
        let mut unbound = fleet_of_two_models();
        unbound.desired.tenants.get_mut(&"a".into()).unwrap().adapters.clear();
        assert_eq!(starts(unbound, &second_ground(3, None)), Ok(()));
        assert_eq!(starts(fleet(), &second_ground(3, own)), Err(StartBar::EngineMoved), "no such model there");
        assert_eq!(starts(fleet_of_two_models(), &ground(Some(AdapterId::new("x", 1)))), Ok(()));
    }

    #[test]
    fn a_shot_at_a_leaving_engine_starts_on_its_last_copy_alone_and_within_the_bound() {
        let before = FleetSight::default().following(fleet(), None, NOW);
        let mut leaving = fleet();
        leaving.listing.engines.get_mut(&"e".into()).unwrap().listed = Listed::Leaving;
        let sight = before.following(leaving, None, NOW).heard_under(&before.state, NOW + Span::millis(900));
        let start = |ground: &Ground, now: Instant| may_start(&sight, NOW + Span::seconds(2), ground, now);
        let own = ground(Some(AdapterId::new("x", 1)));
        assert_eq!(start(&own, NOW), Ok(()));
        assert_eq!(start(&own, NOW + Span::millis(900)), Err(StartBar::EngineMoved));
        assert_eq!(start(&ground(None), NOW), Err(StartBar::EngineMoved), "not the bare model");
    }

    #[test]
    fn an_answer_is_own_if_it_names_exactly_the_adapter() {
        let own = AdapterId::new("x", 1);
        assert!(is_own_answer(Some(&own), Some("x@1")) && is_own_answer(None, None));
        for named in [None, Some("x@2"), Some("y@1"), Some("x")] {
            assert!(!is_own_answer(Some(&own), named));
        }
        assert!(!is_own_answer(None, Some("x@1")));
    }
}
