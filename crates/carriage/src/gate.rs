//! The gate: what must hold in the very call that writes a shot's first byte, and what must go on to
//! hold while the shot is worked on.

use crate::prelude::*;

/// How long running work outlives its router's lease. A change is acknowledged at the earliest when
/// that lease has run out, so a key withdrawn meanwhile works for so long after the acknowledgement.
pub const LEASE_GRACE: Span = Span::seconds(4);

/// Why a shot may not start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartBar {
    NoLease,
    KeyWithdrawn,
    EngineMoved,
    WallMoved,
    /// Requests run on another adapter or revision now, or the engine holds it no more.
    AdapterMoved,
    LimitPassed,
}

/// Why work that is under way must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkBar {
    NoLease,
    KeyWithdrawn,
}

/// What a shot was chosen on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ground {
    pub key_hash: String,
    pub tenant: TenantName,
    pub model: ModelName,
    pub engine: EngineName,
    pub weights: WeightsEdition,
    /// The adapter it runs on, alone; none for the bare model.
    pub adapter: Option<AdapterId>,
    pub salt: Salt,
    pub limit: Instant,
}

/// Whether a router may take anything on now: it knows what is in force only while it holds a lease.
pub fn is_leased(lease_until: Instant, now: Instant) -> bool {
    now < lease_until
}

/// The last look before the first byte of a shot.
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
    if sight.usable_weights(&ground.engine, now) != Some(ground.weights) {
        return Err(StartBar::EngineMoved);
    }
    if !runs_on_its_adapter(sight, ground) {
        return Err(StartBar::AdapterMoved);
    }
    let wall = sight.state.wall_of(&ground.tenant);
    let salt = Salt::of(&ground.model, ground.weights, wall.id, wall.edition);
    if salt.under(ground.adapter.as_ref()) != ground.salt {
        return Err(StartBar::WallMoved);
    }
    Ok(())
}

/// Whether a shot is for the adapter that its tenant's requests run on now, if they run on one, and its
/// engine holds exactly that warm.
fn runs_on_its_adapter(sight: &FleetSight, ground: &Ground) -> bool {
    if sight.state.adapter_for(&ground.tenant, &ground.model) != ground.adapter {
        return false;
    }
    let Some(adapter) = &ground.adapter else { return true };
    sight.state.adapters.is_warm(&ground.engine, adapter)
}

/// Whether an answer, or a piece of one, names the adapter that its shot was to run on.
pub fn is_own_answer(adapter: Option<&AdapterId>, answered_on: Option<&str>) -> bool {
    match (adapter, answered_on) {
        (None, None) => true,
        (Some(adapter), Some(named)) => AdapterId::read(named).as_ref() == Some(adapter),
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
