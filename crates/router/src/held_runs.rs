//! Buffers of resumable runs. A run's events are kept, bounded in number, size and time, so that a caller whose
//! stream broke can resume it through any router. Nothing here starts a run.

use crate::prelude::*;

/// Maximum number of buffered runs.
pub const MAX_HELD_RUNS: usize = 1024;
/// How many events may wait for a caller that reads slowly.
const EVENT_QUEUE_CAPACITY: usize = 32;

/// The buffered runs, by their numbers.
#[derive(Default)]
pub struct HeldRuns {
    runs: Mutex<HashMap<u64, Arc<HeldRun>>>,
}

/// The buffered events of a run, and a signal for its readers.
pub struct HeldRun {
    /// The tenant that started the run; no other may resume it.
    pub tenant: TenantName,
    events: Mutex<HeldEvents<Bytes>>,
    changes: tokio::sync::watch::Sender<u64>,
}

impl HeldRuns {
    /// A buffer for a new run; `None` if there are too many.
    pub fn open(&self, run: u64, tenant: &TenantName) -> Option<Arc<HeldRun>> {
        let mut runs = self.runs.lock().expect("no holder of this lock panics");
        let now = boot_now();
        runs.retain(|_, held_run| !held_run.is_over(now));
        if runs.len() >= MAX_HELD_RUNS {
            return None;
        }
        let held_run = Arc::new(HeldRun {
            tenant: tenant.clone(),
            events: Mutex::default(),
            changes: tokio::sync::watch::channel(0).0,
        });
        runs.insert(run, Arc::clone(&held_run));
        Some(held_run)
    }

    /// The buffer of a run, if it is still kept.
    pub fn find(&self, run: u64) -> Option<Arc<HeldRun>> {
        let runs = self.runs.lock().expect("no holder of this lock panics");
        runs.get(&run).filter(|held_run| !held_run.is_over(boot_now())).cloned()
    }
}

impl HeldRun {
    fn lock_events(&self) -> std::sync::MutexGuard<'_, HeldEvents<Bytes>> {
        self.events.lock().expect("no holder of this lock panics")
    }

    fn is_over(&self, now: Instant) -> bool {
        self.lock_events().is_over(now)
    }

    /// Appends an event; false if the buffer is full.
    pub fn hold(&self, event: Bytes) -> bool {
        let size = event.len();
        let has_room = self.lock_events().hold(event, size);
        self.changes.send_modify(|count| *count += 1);
        has_room
    }

    /// Records how the run ended.
    pub fn end(&self, end: HeldEnd) {
        self.lock_events().end(end, boot_now());
        self.changes.send_modify(|count| *count += 1);
    }

    /// The number of buffered events.
    pub fn event_count(&self) -> usize {
        self.lock_events().count()
    }

    /// Streams the events from an index on: those already buffered, then the others as they arrive.
    pub fn stream_from(self: Arc<Self>, first: usize) -> WebResponse {
        let (pieces, response) = streaming_response(StatusCode::OK, "text/event-stream", EVENT_QUEUE_CAPACITY);
        tokio::spawn(async move {
            let mut changes = self.changes.subscribe();
            let mut index = first;
            loop {
                changes.borrow_and_update();
                let (new_events, end) = self.lock_events().from(index);
                for event in new_events {
                    index += 1;
                    if !pieces.send(event).await {
                        return;
                    }
                }
                match end {
                    Some(HeldEnd::Whole) => return pieces.finish(),
                    Some(HeldEnd::Cut(reason)) => return pieces.cut(error_event(&reason)),
                    None => {}
                }
                tokio::select! {
                    changed = changes.changed() => if changed.is_err() { return },
                    () = pieces.gone() => return,
                }
            }
        });
        response.with_header("cache-control", "no-store")
    }
}

/// The last event of a stream that is cut.
pub fn error_event(reason: &CutReason) -> Bytes {
    let body = json!({"error": {"type": reason.kind, "message": reason.message}});
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn no_run_is_buffered_beyond_the_maximum() {
        let held_runs = HeldRuns::default();
        for run in 0..MAX_HELD_RUNS as u64 {
            assert!(held_runs.open(run, &"t".into()).is_some());
        }
        assert!(held_runs.open(9999, &"t".into()).is_none());
        assert!(held_runs.find(3).is_some());
        assert!(held_runs.find(9999).is_none());
    }
}
