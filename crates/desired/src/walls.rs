//! Walls: the cache isolation of tenants. Cache blocks are named with the wall of their tenant, so a walled tenant
//! shares no cached blocks with others.

use crate::prelude::*;

/// The number of former tenants whose names are remembered.
pub const MAX_FORMER_TENANTS: usize = 1024;

/// The isolation domain of a tenant's cache blocks; all unwalled tenants share the one with id 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Wall {
    pub id: WallId,
    pub edition: WallEdition,
}

/// The tenants that are no longer in the document and may have made blocks behind the current shared wall.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerTenants {
    names: BTreeSet<TenantName>,
    /// Any tenant may be a former one: some names are not remembered. There are no names then.
    is_incomplete: bool,
}

impl FormerTenants {
    /// The former tenants of a state that was stored before they were remembered.
    pub fn unknown() -> FormerTenants {
        FormerTenants { names: BTreeSet::new(), is_incomplete: true }
    }

    /// Whether any tenant may be a former one.
    pub fn is_unknown(&self) -> bool {
        self.is_incomplete
    }

    /// Whether a tenant that is not in the document may have made blocks behind the current shared wall.
    fn may_contain(&self, tenant: &TenantName) -> bool {
        self.is_incomplete || self.names.contains(tenant)
    }

    fn insert(&mut self, tenant: &TenantName) {
        if self.names.len() >= MAX_FORMER_TENANTS && !self.names.contains(tenant) {
            self.is_incomplete = true;
        }
        if self.is_incomplete {
            self.names.clear();
            return;
        }
        self.names.insert(tenant.clone());
    }
}

impl FleetState {
    /// The wall that isolates a tenant's cache blocks.
    pub fn wall_of(&self, tenant: &TenantName) -> Wall {
        self.walls.get(tenant).copied().unwrap_or(Wall { id: WallId(0), edition: self.shared_wall })
    }

    /// Gives each newly walled tenant a wall of its own. Blocks that it made before are in the shared cache, so the
    /// shared wall gets a new edition, which makes all earlier shared blocks unreachable.
    pub(crate) fn update_walls(&mut self, number: Edition, next_desired: &DesiredState) {
        let walled = next_desired.tenants.iter().filter(|(_, spec)| spec.walled).map(|(tenant, _)| tenant);
        let newly_walled: Vec<&TenantName> = walled.filter(|tenant| !self.walls.contains_key(*tenant)).collect();
        let shares_blocks = newly_walled.iter().any(|tenant| self.may_have_shared_blocks(tenant));
        for tenant in newly_walled {
            let own_wall = BlockHash::of_parts(&[b"wall", tenant.as_str().as_bytes(), &number.0.to_le_bytes()]);
            let wall = Wall { id: WallId(own_wall.0.max(1)), edition: WallEdition(number.0) };
            self.walls.insert(tenant.clone(), wall);
        }
        if shares_blocks {
            self.shared_wall = WallEdition(number.0);
            self.former_tenants = FormerTenants::default();
        } else {
            self.remember_former_tenants(next_desired);
        }
        self.walls.retain(|tenant, _| next_desired.tenants.get(tenant).is_some_and(|spec| spec.walled));
    }

    /// Whether a tenant without a wall of its own may have made blocks behind the current shared wall.
    fn may_have_shared_blocks(&self, tenant: &TenantName) -> bool {
        self.desired.tenants.contains_key(tenant) || self.former_tenants.may_contain(tenant)
    }

    /// Remembers the tenants that a change removes, and forgets those that it brings back.
    fn remember_former_tenants(&mut self, next_desired: &DesiredState) {
        self.former_tenants.names.retain(|tenant| !next_desired.tenants.contains_key(tenant));
        let unwalled = self.desired.tenants.iter().filter(|(_, spec)| !spec.walled).map(|(tenant, _)| tenant);
        for tenant in unwalled.filter(|tenant| !next_desired.tenants.contains_key(*tenant)) {
            self.former_tenants.insert(tenant);
        }
    }
}
