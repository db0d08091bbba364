//! The gate: what must hold in the very call that writes a shot's first byte, and what must go on to
//! hold while the shot is worked on.

use crate::prelude::*;

/// How long running work outlives its router's lease. A change is acknowledged at the earliest when
/// that lease has run out, so a key withdrawn meanwhile works for so long after the acknowledgement.
pub const LEASE_GRACE: Span = Span::seconds(4);

/// Why a shot may not start now.
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

/// What a shot was chosen on.
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
    /// The salt of the prompt's block names.
    pub salt: Salt,
    /// When the request's own limit passes.
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
    let wall = sight.state.wall_of(&ground.tenant);
    if Salt::of(&ground.model, ground.weights, wall.id, wall.edition) != ground.salt {
        return Err(StartBar::WallMoved);
    }
    Ok(())
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
