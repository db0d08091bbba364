//! Tenant shares: requests running at once.

use crate::prelude::*;

#[derive(Clone, Debug, Default)]
pub struct Shares {
    running: BTreeMap<TenantName, u64>,
}

impl Shares {
    pub fn take(&mut self, tenant: &TenantName, share: u64) -> bool {
        let running = self.running.entry(tenant.clone()).or_insert(0);
        if *running >= share {
            return false;
        }
        *running += 1;
        true
    }

    pub fn release(&mut self, tenant: &TenantName) {
        let Some(running) = self.running.get_mut(tenant) else { return };
        *running = running.saturating_sub(1);
        if *running == 0 {
            self.running.remove(tenant);
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn one_tenants_share_does_not_touch_anothers() {
        let (large, small) = (TenantName::from("large"), TenantName::from("small"));
        let mut shares = Shares::default();
        assert!(shares.take(&large, 2) && shares.take(&large, 2));
        assert!(!shares.take(&large, 2));
        assert!(shares.take(&small, 1));
        shares.release(&large);
        assert!(shares.take(&large, 2));
    }
}
