//! The conditions checked in the call that writes an attempt's first byte, so that a process suspended between
//! selection and write does not send an outdated attempt.

use crate::prelude::*;

/// Why an attempt may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The router holds no lease.
    NoLease,
    /// The API key was withdrawn, or now belongs to another tenant, or a key is needed now.
    KeyMoved,
    /// The engine is no longer listed as open, is closed, or serves other weights.
    EngineMoved,
    /// The tenant's isolation domain (wall) has changed, and with it the salt.
    WallMoved,
    /// The request's time limit has passed.
    OutOfTime,
}

/// The facts on which an attempt was placed; checked again before it starts.
#[derive(Clone, Debug)]
pub struct AttemptBasis {
    /// Whether the route serves requests without a key, whatever the tenants.
    pub is_public: bool,
    pub tenant: Option<(TenantName, String)>,
    pub model: Option<ModelName>,
    pub engine: EngineName,
    pub weights: WeightsEdition,
    pub salt: Salt,
    pub deadline: Instant,
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
    if now >= basis.deadline {
        return Err(StartRefusal::OutOfTime);
    }
    let is_admitted = match &basis.tenant {
        Some((tenant, key_hash)) => snapshot.tenants_by_key.get(key_hash) == Some(tenant),
        None => basis.is_public || !snapshot.state.desired.requires_keys(),
    };
    if !is_admitted {
        return Err(StartRefusal::KeyMoved);
    }
    let usable = snapshot.usable_weights_for_named(&basis.engine, basis.model.as_ref(), now);
    if usable != Some(basis.weights) {
        return Err(StartRefusal::EngineMoved);
    }
    let tenant = basis.tenant.as_ref().map(|(tenant, _)| tenant);
    if salt_for(snapshot, tenant, basis.model.as_ref(), basis.weights) != basis.salt {
        return Err(StartRefusal::WallMoved);
    }
    Ok(())
}
