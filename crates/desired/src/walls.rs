//! Walls: a walled tenant's memory is told apart from everybody else's.

use crate::prelude::*;

/// The wall a tenant's memory stands behind; number 0 is shared by all unwalled tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Wall {
    pub id: WallId,
    pub edition: WallEdition,
}

impl FleetState {
    /// The wall that a tenant's memory stands behind.
    pub fn wall_of(&self, tenant: &TenantName) -> Wall {
        self.walls.get(tenant).copied().unwrap_or(Wall { id: WallId(0), edition: self.shared_wall })
    }

    /// A tenant newly walled gets a wall of its own, and shared memory, which may hold what it made
    /// before, starts over for everybody else.
    pub(crate) fn move_walls(&mut self, number: Edition, next_desired: &DesiredState) {
        for (tenant, wish) in &next_desired.tenants {
            let was_walled = self.walls.contains_key(tenant);
            if wish.walled && !was_walled {
                let own_wall = BlockHash::of_parts(&[b"wall", tenant.as_str().as_bytes(), &number.0.to_le_bytes()]);
                let wall = Wall { id: WallId(own_wall.0.max(1)), edition: WallEdition(number.0) };
                self.walls.insert(tenant.clone(), wall);
                if self.desired.tenants.contains_key(tenant) {
                    self.shared_wall = WallEdition(number.0);
                }
            }
        }
        self.walls.retain(|tenant, _| next_desired.tenants.get(tenant).is_some_and(|wish| wish.walled));
    }
}
