//! The gate: what must hold in the very call that writes an attempt's first byte. A process that was frozen
//! between the choice and the write is stopped here.

use crate::prelude::*;

/// Why an attempt may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    NoLease,
    /// The key was withdrawn, or belongs to another tenant now.
    KeyMoved,
    /// The engine is not listed open any more, is closed, or is on other weights.
    EngineMoved,
    /// The tenant's memory stands behind another wall now.
    WallMoved,
    OutOfTime,
}

/// What an attempt was chosen on.
#[derive(Clone, Debug)]
pub struct AttemptBasis {
    pub tenant: Option<(TenantName, String)>,
    pub model: Option<ModelName>,
    pub engine: EngineName,
    pub weights: WeightsEdition,
    pub salt: Option<Salt>,
    pub deadline: Instant,
}

/// The last look before the first byte.
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
    if let Some((tenant, key_hash)) = &basis.tenant
        && snapshot.tenants_by_key.get(key_hash) != Some(tenant)
    {
        return Err(StartRefusal::KeyMoved);
    }
    let usable = snapshot.usable_weights_for_named(&basis.engine, basis.model.as_ref(), now);
    if usable != Some(basis.weights) {
        return Err(StartRefusal::EngineMoved);
    }
    if let (Some(model), Some(salt)) = (&basis.model, &basis.salt) {
        let unknown = TenantName::default();
        let tenant = basis.tenant.as_ref().map_or(&unknown, |(tenant, _)| tenant);
        let wall = snapshot.state.wall_of(tenant);
        if Salt::for_model(model, basis.weights, wall.id, wall.edition) != *salt {
            return Err(StartRefusal::WallMoved);
        }
    }
    Ok(())
}
