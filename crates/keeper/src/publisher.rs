//! What the executor shows to the other duties of its process, and how these wait for something new.

use crate::prelude::*;

/// What the executor lets the other duties of this process see.
#[derive(Clone, Default)]
pub struct KeeperSnapshot {
    pub view: View,
    pub state: Arc<FleetState>,
    pub tail_active: bool,
    pub alive: Vec<NodeId>,
    /// Terms of the duties held, and until when.
    pub census: Option<(Term, Instant)>,
    pub conductor: Option<(Term, Instant)>,
    /// The conductor's term, also while the one before may still have orders on their way.
    pub leased_conductor: Option<(Term, Instant)>,
    /// When a core machine was last seen to come or go.
    pub last_liveness_change: Instant,
    pub last_sync_micros: u64,
    /// The disk takes nothing for now, and the executor waits.
    pub disk_refuses: bool,
}

impl KeeperSnapshot {
    /// Whether the duty of reading the platform's listing may be done now.
    pub fn holds_census(&self, now: Instant) -> bool {
        active_term(self.census, now).is_some()
    }

    /// Whether those who wait for a change must be woken: the state or a duty is another than they saw. A duty
    /// whose lease had run out by now is another once it is renewed, though its term is the same.
    pub fn requires_notification_after(&self, earlier: &KeeperSnapshot, now: Instant) -> bool {
        self.state.edition != earlier.state.edition
            || active_term(self.census, now) != active_term(earlier.census, now)
            || active_term(self.conductor, now) != active_term(earlier.conductor, now)
            || active_term(self.leased_conductor, now) != active_term(earlier.leased_conductor, now)
    }
}

/// The term of a duty, while its lease lasts.
fn active_term(held: Option<(Term, Instant)>, now: Instant) -> Option<Term> {
    held.filter(|(_, until)| now < *until).map(|(term, _)| term)
}

/// What the executor shows, and the bell it rings when state or duties have changed.
#[derive(Default)]
pub struct SnapshotPublisher {
    current: RwLock<Arc<KeeperSnapshot>>,
    pub(crate) changed: tokio::sync::Notify,
}

pub type SharedPublisher = Arc<SnapshotPublisher>;

impl SnapshotPublisher {
    pub(crate) fn replace(&self, snapshot: Arc<KeeperSnapshot>) -> Arc<KeeperSnapshot> {
        let mut current = self.current.write().expect("no holder of this lock panics");
        std::mem::replace(&mut *current, snapshot)
    }

    /// While the disk refuses, this keeper holds no duty, and hears nobody.
    pub(crate) fn publish_disk_refusal(&self) {
        let earlier = Arc::clone(&self.current.read().expect("no holder of this lock panics"));
        if !earlier.disk_refuses {
            let (tail_active, alive, census, conductor) = (false, Vec::new(), None, None);
            let snapshot =
                KeeperSnapshot { tail_active, alive, census, conductor, disk_refuses: true, ..(*earlier).clone() };
            self.replace(Arc::new(snapshot));
            self.changed.notify_waiters();
        }
    }
}

pub fn latest_snapshot(publisher: &SharedPublisher) -> Arc<KeeperSnapshot> {
    Arc::clone(&publisher.current.read().expect("no holder of this lock panics"))
}

/// Waits until the executor shows what is awaited, or the limit passes. What is shown between the look and the
/// waiting is not missed.
pub async fn wait_until(publisher: &SharedPublisher, timeout: Span, condition: impl Fn(&KeeperSnapshot) -> bool) {
    let deadline = boot_now() + timeout;
    loop {
        let changed = publisher.changed.notified();
        if condition(&latest_snapshot(publisher)) {
            return;
        }
        let remaining = deadline.since(boot_now());
        if remaining == Span(0) || tokio::time::timeout(remaining.as_duration(), changed).await.is_err() {
            return;
        }
    }
}

/// Waits until the executor shows something new, or the limit passes.
pub async fn wait_for_change(publisher: &SharedPublisher, timeout: Span) {
    let _ = tokio::time::timeout(timeout.as_duration(), publisher.changed.notified()).await;
}
