//! Publishes snapshots of the executor's state to the other tasks of the process and notifies them of changes.

use crate::prelude::*;

/// A snapshot of the executor's state.
#[derive(Clone, Default)]
pub struct KeeperSnapshot {
    pub view: View,
    pub state: Arc<FleetState>,
    pub tail_active: bool,
    pub alive: Vec<NodeId>,
    /// The term of the census duty if this keeper holds it, and when its lease expires.
    pub census: Option<(Term, Instant)>,
    pub conductor: Option<(Term, Instant)>,
    /// The leased conductor duty, also while the previous holder may still have orders in flight.
    pub leased_conductor: Option<(Term, Instant)>,
    /// When a keeper's process was last known to run before a restart.
    pub last_restart: Instant,
    pub last_sync_micros: u64,
    /// The disk refuses writes, and the executor waits until it accepts them again.
    pub disk_refuses: bool,
}

impl KeeperSnapshot {
    /// Whether this keeper holds the census duty (reading the platform's listing) now.
    pub fn holds_census(&self, now: Instant) -> bool {
        active_term(self.census, now).is_some()
    }

    /// Whether waiting tasks must be notified: the state or a duty differs from the earlier snapshot. A duty whose
    /// lease had expired counts as changed when it is renewed, even under the same term.
    pub fn requires_notification_after(&self, earlier: &KeeperSnapshot, now: Instant) -> bool {
        self.state.edition != earlier.state.edition
            || active_term(self.census, now) != active_term(earlier.census, now)
            || active_term(self.conductor, now) != active_term(earlier.conductor, now)
            || active_term(self.leased_conductor, now) != active_term(earlier.leased_conductor, now)
    }
}

/// The term of a duty whose lease has not expired.
fn active_term(held: Option<(Term, Instant)>, now: Instant) -> Option<Term> {
    held.filter(|(_, until)| now < *until).map(|(term, _)| term)
}

/// Holds the latest snapshot and notifies tasks that wait for changes of the state or the duties.
#[derive(Default)]
pub struct SnapshotPublisher {
    current: RwLock<Arc<KeeperSnapshot>>,
    pub(crate) changed: tokio::sync::Notify,
}

/// The publisher as tasks share it.
pub type SharedPublisher = Arc<SnapshotPublisher>;

impl SnapshotPublisher {
    /// Replaces the snapshot and returns the earlier one, without a notification.
    pub(crate) fn replace(&self, snapshot: Arc<KeeperSnapshot>) -> Arc<KeeperSnapshot> {
        let mut current = self.current.write().expect("no holder of this lock panics");
        std::mem::replace(&mut *current, snapshot)
    }

    /// Publishes a snapshot without duties and live keepers, because the keeper cannot act while its disk refuses
    /// writes.
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

/// The latest published snapshot.
pub fn latest_snapshot(publisher: &SharedPublisher) -> Arc<KeeperSnapshot> {
    Arc::clone(&publisher.current.read().expect("no holder of this lock panics"))
}

/// Waits until a published snapshot satisfies the condition, or until the timeout. The notification is registered
/// before the check, so that no change between the two is missed.
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

/// Waits until the executor notifies of a change, or until the timeout.
pub async fn wait_for_change(publisher: &SharedPublisher, timeout: Span) {
    let _ = tokio::time::timeout(timeout.as_duration(), publisher.changed.notified()).await;
}
