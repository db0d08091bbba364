//! Where the router stands: the fleet as it is in force here, the lease, whether it drains, and its
//! counters. Read by all, written by the feed (fleet and lease) and the signals (drain) alone.

use crate::prelude::*;

#[derive(Default)]
pub struct Stand {
    sight: RwLock<Arc<FleetSight>>,
    lease_until: AtomicU64,
    pub draining: AtomicBool,
    pub counts: Counts,
}

/// Counters for `/metrics`.
#[derive(Default)]
pub struct Counts {
    pub requests: AtomicU64,
    pub running: AtomicU64,
    pub shots: AtomicU64,
    pub retries: AtomicU64,
    pub whole: AtomicU64,
    pub not_run: AtomicU64,
    pub unknown: AtomicU64,
    pub cut: AtomicU64,
    pub cancelled: AtomicU64,
    pub refused: AtomicU64,
    pub prompt_blocks: AtomicU64,
    pub reused_blocks: AtomicU64,
    pub history_picks: AtomicU64,
}

impl Counts {
    pub fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }
}

impl Stand {
    pub fn sight(&self) -> Arc<FleetSight> {
        Arc::clone(&self.sight.read().expect("no holder of this lock panics"))
    }

    pub fn publish(&self, sight: FleetSight) {
        *self.sight.write().expect("no holder of this lock panics") = Arc::new(sight);
    }

    pub fn extend_lease(&self, until: Instant) {
        self.lease_until.fetch_max(until.0, Ordering::SeqCst);
    }

    pub fn lease_left(&self, now: Instant) -> Span {
        Instant(self.lease_until.load(Ordering::SeqCst)).since(now)
    }

    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease_left(now) > Span(0)
    }

    /// The last look before the first byte of a shot.
    pub fn may_start(&self, key_hash: &str, tenant: &TenantName, chosen: &Score) -> Result<(), StartBar> {
        let now = boot_now();
        if !self.holds_lease(now) {
            return Err(StartBar::NoLease);
        }
        let sight = self.sight();
        if sight.tenants_by_key.get(key_hash) != Some(tenant) {
            return Err(StartBar::KeyWithdrawn);
        }
        if sight.usable_weights(&chosen.engine, now) != Some(chosen.weights) {
            return Err(StartBar::EngineMoved);
        }
        Ok(())
    }
}

/// Why a shot may not start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartBar {
    NoLease,
    KeyWithdrawn,
    EngineMoved,
}
