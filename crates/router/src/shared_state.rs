//! The state shared by a router's tasks: the fleet snapshot in force, the lease, whether the router is draining, and
//! its counters. All tasks read it; only the feed writes the snapshot and the lease, only shutdown sets draining.

use crate::prelude::*;

/// How often running work checks the lease; it is notified of changes of the fleet state at once.
const WORK_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The state shared by a router's tasks.
#[derive(Default)]
pub struct SharedState {
    changes: tokio::sync::watch::Sender<u64>,
    snapshot: RwLock<Arc<FleetSnapshot>>,
    /// The end of the lease according to `grants`, readable without the lock.
    lease_until: AtomicU64,
    grants: Mutex<GrantTracker>,
    /// Whether the router is stopping and accepts no requests.
    pub draining: AtomicBool,
    /// Counters for `/metrics`.
    pub counts: Counts,
    routers: Mutex<RouterRoster>,
    policies: Mutex<PolicyMetrics>,
    demand: Mutex<DemandMeter>,
}

/// The counters of a router.
#[derive(Default)]
pub struct Counts {
    /// Requests received.
    pub requests: AtomicU64,
    /// Requests running now.
    pub running: AtomicU64,
    /// Attempts placed.
    pub attempts: AtomicU64,
    /// Attempts that were retries.
    pub retries: AtomicU64,
    /// Requests answered completely.
    pub whole: AtomicU64,
    /// Requests given up that certainly did not run.
    pub not_run: AtomicU64,
    /// Requests given up that may have run.
    pub unknown: AtomicU64,
    /// Streams cut before their end.
    pub cut: AtomicU64,
    /// Requests whose caller left.
    pub cancelled: AtomicU64,
    /// Requests refused before any attempt.
    pub refused: AtomicU64,
    /// Prompt blocks of requests whose first piece has arrived.
    pub prompt_blocks: AtomicU64,
    /// Those of `prompt_blocks` that the engine did not have to prefill.
    pub reused_blocks: AtomicU64,
    /// Blocks that engines were told to fetch.
    pub fetch_blocks: AtomicU64,
    /// Picks based on sent prompts instead of cache events.
    pub history_picks: AtomicU64,
    /// Requests on an adapter served from the router's own zone.
    pub adapter_own_zone: AtomicU64,
    /// Requests on an adapter served from another zone of the router's region.
    pub adapter_own_region: AtomicU64,
    /// Requests on an adapter served from another region.
    pub adapter_other_region: AtomicU64,
    /// Requests refused because no engine held their adapter warm.
    pub adapter_cold: AtomicU64,
    /// Attempts that an engine refused because it did not hold the adapter.
    pub adapter_refusals: AtomicU64,
    /// Responses that began on weights that this router had stopped using.
    pub late_starts: AtomicU64,
}

impl Counts {
    /// Adds to a counter.
    pub fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }

    /// Counts a request on an adapter by how near its engine is.
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
    /// The initial state, with the given lease timing.
    pub fn with_timing(timing: Timing) -> SharedState {
        SharedState { grants: Mutex::new(GrantTracker::new(timing)), ..SharedState::default() }
    }

    /// The fleet snapshot in force.
    pub fn snapshot(&self) -> Arc<FleetSnapshot> {
        Arc::clone(&self.snapshot.read().expect("no holder of this lock panics"))
    }

    /// Puts a snapshot in force. Resets the metrics of changed policies and of tenants whose trial changed, so that
    /// both sides of a trial cover the same time.
    pub fn publish(&self, snapshot: FleetSnapshot) {
        let previous = self.snapshot();
        let (old_policies, new_policies) = (&previous.state.desired.policies, &snapshot.state.desired.policies);
        let names = old_policies.keys().chain(new_policies.keys());
        for name in names.filter(|name| old_policies.get(*name) != new_policies.get(*name)) {
            self.policies().clear_policy(name);
        }
        let (old_desired, new_desired) = (&previous.state.desired, &snapshot.state.desired);
        let percent_changed = old_desired.routing.trial_percent != new_desired.routing.trial_percent;
        for tenant in old_desired.trials.keys().chain(new_desired.trials.keys()) {
            if percent_changed || old_desired.trials.get(tenant) != new_desired.trials.get(tenant) {
                self.policies().clear_tenant(tenant.as_str());
            }
        }
        log_superseded_weights(&previous, &snapshot);
        *self.snapshot.write().expect("no holder of this lock panics") = Arc::new(snapshot);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Notifies the receiver of each published snapshot.
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn policies(&self) -> std::sync::MutexGuard<'_, PolicyMetrics> {
        self.policies.lock().expect("no holder of this lock panics")
    }

    /// Updates the metrics of a policy for a tenant.
    pub fn record_policy_metrics(&self, policy: &str, tenant: &TenantName, update: impl FnOnce(&mut TrafficMetrics)) {
        update(self.policies().entry(policy, tenant.as_str()));
    }

    /// The policies' metrics in the Prometheus text format.
    pub fn policy_metrics(&self) -> String {
        self.policies().to_prometheus()
    }

    /// Counts a request for an adapter, whether or not it is served.
    pub fn record_demand(&self, adapter: &AdapterName, now: Instant) {
        let window = self.snapshot().state.desired.warming.demand_window;
        self.demand.lock().expect("no holder of this lock panics").record(adapter, window, now);
    }

    /// The rate of requests for each adapter, as reported to the coordinator.
    pub fn demand(&self, now: Instant) -> BTreeMap<AdapterName, u64> {
        let window = self.snapshot().state.desired.warming.demand_window;
        self.demand.lock().expect("no holder of this lock panics").rates(window, now)
    }

    /// Applies a new list of the fleet's routers.
    pub fn update_routers(&self, routers: Vec<RouterAddress>) {
        self.routers.lock().expect("no holder of this lock panics").take(routers, boot_now());
    }

    /// The routers that hold leases or did until recently, as far as known.
    pub fn routers(&self) -> Arc<Vec<RouterAddress>> {
        self.routers.lock().expect("no holder of this lock panics").counted(boot_now())
    }

    /// The number of routers that hold leases or did until recently, as far as known; at least 1, for this router.
    pub fn router_count(&self) -> usize {
        self.routers().len().max(1)
    }

    /// The address of another router, if it is among `routers`.
    pub fn address_of(&self, router: NodeId) -> Option<String> {
        self.routers().iter().find(|listed| listed.router == router).map(|listed| listed.address.clone())
    }

    /// Records that the renewal requested at `requested_at` was granted.
    pub fn renew_lease(&self, requested_at: Instant, until: Instant) {
        self.with_grants(|grants| grants.renew(requested_at, until));
    }

    /// Gives access to the grant tracker, then updates the end of the lease from it.
    pub fn with_grants<T>(&self, access: impl FnOnce(&mut GrantTracker) -> T) -> T {
        let mut grants = self.grants.lock().expect("no holder of this lock panics");
        let result = access(&mut grants);
        self.lease_until.fetch_max(grants.until().0, Ordering::SeqCst);
        result
    }

    /// Records a restart of a keeper, which may move the deadlines of old weights.
    pub fn record_restart(&self, restarted: Instant) {
        if let Some(snapshot) = self.snapshot().after_restart(restarted) {
            self.publish(snapshot);
        }
    }

    /// The time left of the lease.
    pub fn lease_left(&self, now: Instant) -> Span {
        Instant(self.lease_until.load(Ordering::SeqCst)).since(now)
    }

    /// Whether the lease is in force.
    pub fn holds_lease(&self, now: Instant) -> bool {
        is_leased(self.lease_until(), now)
    }

    /// The end of the lease.
    pub fn lease_until(&self) -> Instant {
        Instant(self.lease_until.load(Ordering::SeqCst))
    }

    /// Checks that an attempt may start; called right before its first byte is written.
    pub fn may_start(&self, basis: &AttemptBasis) -> Result<(), StartRefusal> {
        may_start(&self.snapshot(), self.lease_until(), basis, boot_now())
    }

    /// Resolves when running work for this key must stop.
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

/// Logs each model whose weights the new snapshot supersedes, and for how much longer the old ones may be used.
fn log_superseded_weights(previous: &FleetSnapshot, next: &FleetSnapshot) {
    let now = boot_now();
    for (model, spec) in &next.state.desired.models {
        let Some(known) = previous.state.desired.models.get(model) else { continue };
        if known.weights < spec.weights {
            let left = next.old_weights_until(model, known.weights).since(now);
            event!(
                info,
                "weights_superseded",
                model = model,
                old = known.weights,
                new = spec.weights,
                left_ms = left.as_millis()
            );
        }
    }
}
