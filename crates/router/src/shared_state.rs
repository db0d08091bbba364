//! What the tasks of a router share: the fleet as it is in force here, the lease, whether it drains, and its
//! counters. Read by all, written by the feed (fleet and lease) and the signals (drain) alone.

use crate::prelude::*;

/// How often running work looks whether the lease is long gone; changes are heard of at once.
const WORK_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// What all tasks of a router look at.
#[derive(Default)]
pub struct SharedState {
    changes: tokio::sync::watch::Sender<u64>,
    snapshot: RwLock<Arc<FleetSnapshot>>,
    /// The end of the lease as the watch tells it, for those who only look at it.
    lease_until: AtomicU64,
    grants: Mutex<GrantTracker>,
    pub draining: AtomicBool,
    pub counts: Counts,
    routers: Mutex<RouterRoster>,
    /// Where the bound on old weights is counted in undisturbed time: when the core was last disturbed.
    disturbed: std::sync::OnceLock<Arc<AtomicU64>>,
    policies: Mutex<PolicyMetrics>,
    demand: Mutex<DemandMeter>,
}

/// Counters for `/metrics`.
#[derive(Default)]
pub struct Counts {
    pub requests: AtomicU64,
    pub running: AtomicU64,
    pub attempts: AtomicU64,
    pub retries: AtomicU64,
    pub whole: AtomicU64,
    pub not_run: AtomicU64,
    pub unknown: AtomicU64,
    pub cut: AtomicU64,
    pub cancelled: AtomicU64,
    pub refused: AtomicU64,
    pub prompt_blocks: AtomicU64,
    pub reused_blocks: AtomicU64,
    pub fetch_blocks: AtomicU64,
    pub history_picks: AtomicU64,
    /// Requests on adapters whose first piece came from our own zone, from another of our region, from
    /// another region.
    pub adapter_own_zone: AtomicU64,
    pub adapter_own_region: AtomicU64,
    pub adapter_other_region: AtomicU64,
    /// Requests refused because their adapter was warm nowhere.
    pub adapter_cold: AtomicU64,
    /// Attempts that an engine refused for want of the adapter.
    pub adapter_refusals: AtomicU64,
}

impl Counts {
    pub fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }

    /// How near the engine was that served a request on an adapter.
    pub fn count_adapter_request(&self, distance_blocks: u64, is_far: bool) {
        let counter = match (distance_blocks, is_far) {
            (0, false) => &self.adapter_own_zone,
            (0, true) => &self.adapter_own_region,
            _ => &self.adapter_other_region,
        };
        Counts::add(counter, 1);
    }
}

impl SharedState {
    /// The state of a router that has heard of nothing yet.
    pub fn with_timing(timing: Timing) -> SharedState {
        SharedState { grants: Mutex::new(GrantTracker::new(timing)), ..SharedState::default() }
    }

    pub fn snapshot(&self) -> Arc<FleetSnapshot> {
        Arc::clone(&self.snapshot.read().expect("no holder of this lock panics"))
    }

    /// Puts a snapshot in force. Figures of a policy that was changed, and of a tenant whose trial was, begin
    /// anew, so that both sides of a trial are of the same time.
    pub fn publish(&self, snapshot: FleetSnapshot) {
        let previous = self.snapshot();
        let (old_policies, new_policies) = (&previous.state.desired.policies, &snapshot.state.desired.policies);
        let names = old_policies.keys().chain(new_policies.keys());
        for name in names.filter(|name| old_policies.get(*name) != new_policies.get(*name)) {
            self.policies().clear_policy(name);
        }
        let (before, after) = (&previous.state.desired, &snapshot.state.desired);
        let share_moved = before.routing.trial_percent != after.routing.trial_percent;
        for tenant in before.trials.keys().chain(after.trials.keys()) {
            if share_moved || before.trials.get(tenant) != after.trials.get(tenant) {
                self.policies().clear_tenant(tenant.as_str());
            }
        }
        *self.snapshot.write().expect("no holder of this lock panics") = Arc::new(snapshot);
        self.changes.send_modify(|count| *count += 1);
    }

    fn policies(&self) -> std::sync::MutexGuard<'_, PolicyMetrics> {
        self.policies.lock().expect("no holder of this lock panics")
    }

    pub fn record_policy_metrics(&self, policy: &str, tenant: &TenantName, note: impl FnOnce(&mut TrafficMetrics)) {
        note(self.policies().entry(policy, tenant.as_str()));
    }

    pub fn policy_metrics(&self) -> String {
        self.policies().to_prometheus()
    }

    /// Counts a request for the adapter it runs on, whether it is served or not.
    pub fn record_demand(&self, adapter: &AdapterName, now: Instant) {
        let span = self.snapshot().state.desired.warming.demand_window;
        self.demand.lock().expect("no holder of this lock panics").record(adapter, span, now);
    }

    /// The rates of requests for adapters, as the core is told them.
    pub fn demand(&self, now: Instant) -> BTreeMap<AdapterName, u64> {
        let span = self.snapshot().state.desired.warming.demand_window;
        self.demand.lock().expect("no holder of this lock panics").rates(span, now)
    }

    pub fn update_routers(&self, routers: Vec<RouterAddress>) {
        self.routers.lock().expect("no holder of this lock panics").take(routers, boot_now());
    }

    /// The routers that hold leases or lately did, as far as we were told.
    pub fn routers(&self) -> Arc<Vec<RouterAddress>> {
        self.routers.lock().expect("no holder of this lock panics").counted(boot_now())
    }

    /// How many routers hold leases or lately did, as far as we were told; this one at least.
    pub fn router_count(&self) -> usize {
        self.routers().len().max(1)
    }

    /// Where another router is reached, if it holds a lease as far as we were told.
    pub fn address_of(&self, router: NodeId) -> Option<String> {
        self.routers().iter().find(|listed| listed.router == router).map(|listed| listed.address.clone())
    }

    /// A renewal sent at `asked` was granted.
    pub fn renew_lease(&self, asked: Instant, until: Instant) {
        self.with_grants(|grants| grants.renew(asked, until));
    }

    /// Looks at the watch over grants, or tells it something; the end of the lease follows.
    pub fn with_grants<T>(&self, access: impl FnOnce(&mut GrantTracker) -> T) -> T {
        let mut grants = self.grants.lock().expect("no holder of this lock panics");
        let result = access(&mut grants);
        self.lease_until.fetch_max(grants.until().0, Ordering::SeqCst);
        result
    }

    /// From now on old weights are given up by undisturbed time alone.
    pub fn track_disturbances(&self) -> Arc<AtomicU64> {
        Arc::clone(self.disturbed.get_or_init(Arc::default))
    }

    pub fn record_disturbance(&self, disturbed: Instant) {
        if let Some(known) = self.disturbed.get() {
            known.fetch_max(disturbed.0, Ordering::Relaxed);
        }
    }

    pub fn lease_left(&self, now: Instant) -> Span {
        Instant(self.lease_until.load(Ordering::SeqCst)).since(now)
    }

    pub fn holds_lease(&self, now: Instant) -> bool {
        is_leased(self.lease_until(), now)
    }

    pub fn lease_until(&self) -> Instant {
        Instant(self.lease_until.load(Ordering::SeqCst))
    }

    /// The last look before the first byte of an attempt.
    pub fn may_start(&self, basis: &AttemptBasis) -> Result<(), StartRefusal> {
        may_start(&self.snapshot(), self.lease_until(), basis, boot_now())
    }

    /// Resolves when work for this key must end here.
    pub async fn wait_until_work_must_stop(&self, key_hash: &str, tenant: &TenantName) -> StopReason {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let now = boot_now();
            if let Err(reason) = may_continue(&self.snapshot(), self.lease_until(), key_hash, tenant, now) {
                return reason;
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep(WORK_CHECK_INTERVAL) => {}
            }
        }
    }
}
