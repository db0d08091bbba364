//! Where the router stands: the fleet as it is in force here, the lease, whether it drains, and its
//! counters. Read by all, written by the feed (fleet and lease) and the signals (drain) alone.

use crate::prelude::*;

/// How often running work looks whether the lease is long gone; changes are heard of at once.
const WORK_LOOK: Duration = Duration::from_millis(200);

#[derive(Default)]
pub struct Stand {
    news: tokio::sync::watch::Sender<u64>,
    sight: RwLock<Arc<FleetSight>>,
    lease_until: AtomicU64,
    pub draining: AtomicBool,
    pub counts: Counts,
    doors: RwLock<HashMap<NodeId, String>>,
    policies: Mutex<BTreeMap<String, PolicyFigures>>,
}

/// What live traffic showed of one policy on this router.
#[derive(Clone, Debug, Default)]
pub struct PolicyFigures {
    pub requests: u64,
    pub first_ms_sum: u64,
    pub faults: u64,
    pub prompt_blocks: u64,
    pub reused_blocks: u64,
    /// Picks in which the default policy would have chosen another engine.
    pub differs: u64,
    pub engines: BTreeMap<EngineName, u64>,
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
    pub fetch_blocks: AtomicU64,
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
        self.news.send_modify(|count| *count += 1);
    }

    pub fn note_policy(&self, policy: &str, note: impl FnOnce(&mut PolicyFigures)) {
        let mut policies = self.policies.lock().expect("no holder of this lock panics");
        note(policies.entry(policy.to_owned()).or_default());
    }

    pub fn policy_metrics(&self) -> String {
        let policies = self.policies.lock().expect("no holder of this lock panics");
        let mut text = String::new();
        for (policy, figures) in policies.iter() {
            let rows = [
                ("requests_total", figures.requests),
                ("first_ms_sum", figures.first_ms_sum),
                ("faults_total", figures.faults),
                ("prompt_blocks_total", figures.prompt_blocks),
                ("reused_blocks_total", figures.reused_blocks),
                ("differs_total", figures.differs),
            ];
            for (name, value) in rows {
                text.push_str(&format!("haremount_policy_{name}{{policy=\"{policy}\"}} {value}\n"));
            }
            for (engine, count) in &figures.engines {
                text.push_str(&format!(
                    "haremount_policy_engine_total{{policy=\"{policy}\",engine=\"{engine}\"}} {count}\n"
                ));
            }
        }
        text
    }

    pub fn know_doors(&self, doors: Vec<(NodeId, String)>) {
        *self.doors.write().expect("no holder of this lock panics") = doors.into_iter().collect();
    }

    /// Where another router is reached, if it holds a lease as far as we were told.
    pub fn door_of(&self, router: NodeId) -> Option<String> {
        self.doors.read().expect("no holder of this lock panics").get(&router).cloned()
    }

    pub fn extend_lease(&self, until: Instant) {
        self.lease_until.fetch_max(until.0, Ordering::SeqCst);
    }

    pub fn lease_left(&self, now: Instant) -> Span {
        Instant(self.lease_until.load(Ordering::SeqCst)).since(now)
    }

    pub fn holds_lease(&self, now: Instant) -> bool {
        is_leased(self.lease_until(), now)
    }

    fn lease_until(&self) -> Instant {
        Instant(self.lease_until.load(Ordering::SeqCst))
    }

    /// The last look before the first byte of a shot.
    pub fn may_start(&self, ground: &Ground) -> Result<(), StartBar> {
        may_start(&self.sight(), self.lease_until(), ground, boot_now())
    }

    /// Resolves when work for this key must end here.
    pub async fn work_barred(&self, key_hash: &str, tenant: &TenantName) -> WorkBar {
        let mut news = self.news.subscribe();
        loop {
            news.borrow_and_update();
            let now = boot_now();
            if let Err(bar) = may_go_on(&self.sight(), self.lease_until(), key_hash, tenant, now) {
                return bar;
            }
            tokio::select! {
                _ = news.changed() => {}
                () = tokio::time::sleep(WORK_LOOK) => {}
            }
        }
    }
}
