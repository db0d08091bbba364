//! Limits on the number of requests that a tenant runs concurrently.

use crate::prelude::*;

/// The number of running requests per tenant on this router.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyShares {
    running: BTreeMap<TenantName, u64>,
}

impl ConcurrencyShares {
    /// Counts one more running request of the tenant, or returns false if it already runs `share` of them.
    pub fn try_acquire(&mut self, tenant: &TenantName, share: u64) -> bool {
        let running = self.running.entry(tenant.clone()).or_insert(0);
        if *running >= share {
            return false;
        }
        *running += 1;
        true
    }

    /// Counts one running request of the tenant less.
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
        let mut shares = ConcurrencyShares::default();
        assert!(shares.try_acquire(&large, 2) && shares.try_acquire(&large, 2));
        assert!(!shares.try_acquire(&large, 2));
        assert!(shares.try_acquire(&small, 1));
        shares.release(&large);
        assert!(shares.try_acquire(&large, 2));
    }
}
