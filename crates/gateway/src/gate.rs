//! The gate: what must hold in the very call that writes an attempt's first byte. A process that was frozen
//! between the choice and the write is stopped here.

use crate::prelude::*;

/// Why an attempt may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
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
pub struct AttemptGround {
    pub tenant: Option<(TenantName, String)>,
    pub model: Option<ModelName>,
    pub engine: EngineName,
    pub weights: WeightsEdition,
    pub salt: Option<Salt>,
    pub deadline: Instant,
}

/// The last look before the first byte.
pub fn may_start(
    sight: &FleetSnapshot,
    lease_until: Instant,
    ground: &AttemptGround,
    now: Instant,
) -> Result<(), Bar> {
    if !is_leased(lease_until, now) {
        return Err(Bar::NoLease);
    }
    if now >= ground.deadline {
        return Err(Bar::OutOfTime);
    }
    if let Some((tenant, key_hash)) = &ground.tenant
        && sight.tenants_by_key.get(key_hash) != Some(tenant)
    {
        return Err(Bar::KeyMoved);
    }
    let usable = sight.usable_weights_for_named(&ground.engine, ground.model.as_ref(), now);
    if usable != Some(ground.weights) {
        return Err(Bar::EngineMoved);
    }
    if let (Some(model), Some(salt)) = (&ground.model, &ground.salt) {
        let unknown = TenantName::default();
        let tenant = ground.tenant.as_ref().map_or(&unknown, |(tenant, _)| tenant);
        let wall = sight.state.wall_of(tenant);
        if Salt::for_model(model, ground.weights, wall.id, wall.edition) != *salt {
            return Err(Bar::WallMoved);
        }
    }
    Ok(())
}
