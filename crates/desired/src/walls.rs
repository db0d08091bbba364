//! Walls: the cache isolation of tenants. Cache blocks are named with the wall of their tenant, so a walled tenant
//! shares no cached blocks with others.

use crate::prelude::*;

/// The isolation domain of a tenant's cache blocks; all unwalled tenants share the one with id 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Wall {
    pub id: WallId,
    pub edition: WallEdition,
}

impl FleetState {
    /// The wall that isolates a tenant's cache blocks.
    pub fn wall_of(&self, tenant: &TenantName) -> Wall {
        self.walls.get(tenant).copied().unwrap_or(Wall { id: WallId(0), edition: self.shared_wall })
    }

    /// Gives each newly walled tenant a wall of its own. Blocks that the tenant made before are in the shared cache,
    /// so the shared wall gets a new edition, which makes all earlier shared blocks unreachable.
    pub(crate) fn update_walls(&mut self, number: Edition, next_desired: &DesiredState) {
        for (tenant, spec) in &next_desired.tenants {
            let was_walled = self.walls.contains_key(tenant);
            if spec.walled && !was_walled {
                let own_wall = BlockHash::of_parts(&[b"wall", tenant.as_str().as_bytes(), &number.0.to_le_bytes()]);
                let wall = Wall { id: WallId(own_wall.0.max(1)), edition: WallEdition(number.0) };
                self.walls.insert(tenant.clone(), wall);
                if self.desired.tenants.contains_key(tenant) {
                    self.shared_wall = WallEdition(number.0);
                }
            }
        }
        self.walls.retain(|tenant, _| next_desired.tenants.get(tenant).is_some_and(|spec| spec.walled));
    }
}
