//! Runs that may be resumed: their events are held, bounded in number, size and time, so that a caller
//! whose stream broke can go on where it left off, through any router. Nothing here begins a run.

use crate::prelude::*;

pub const MAX_HELD_RUNS: usize = 1024;

#[derive(Default)]
pub struct HeldRuns {
    runs: Mutex<HashMap<u64, Arc<HeldRun>>>,
}

pub struct HeldRun {
    pub tenant: TenantName,
    held: Mutex<HeldEvents<Bytes>>,
    changes: tokio::sync::watch::Sender<u64>,
}

impl HeldRuns {
    /// A index for a new run; nothing if the book is full.
    pub fn open(&self, run: u64, tenant: &TenantName) -> Option<Arc<HeldRun>> {
        let mut runs = self.runs.lock().expect("no holder of this lock panics");
        let now = boot_now();
        runs.retain(|_, held_run| !held_run.is_over(now));
        if runs.len() >= MAX_HELD_RUNS {
            return None;
        }
        let held_run = Arc::new(HeldRun {
            tenant: tenant.clone(),
            held: Mutex::default(),
            changes: tokio::sync::watch::channel(0).0,
        });
        runs.insert(run, Arc::clone(&held_run));
        Some(held_run)
    }

    pub fn find(&self, run: u64) -> Option<Arc<HeldRun>> {
        let runs = self.runs.lock().expect("no holder of this lock panics");
        runs.get(&run).filter(|held_run| !held_run.is_over(boot_now())).cloned()
    }
}

impl HeldRun {
    fn held(&self) -> std::sync::MutexGuard<'_, HeldEvents<Bytes>> {
        self.held.lock().expect("no holder of this lock panics")
    }

    fn is_over(&self, now: Instant) -> bool {
        self.held().is_over(now)
    }

    /// Holds an event; false if there is no more room.
    pub fn hold(&self, event: Bytes) -> bool {
        let size = event.len();
        let has_room = self.held().hold(event, size);
        self.changes.send_modify(|count| *count += 1);
        has_room
    }

    pub fn end(&self, end: HeldEnd) {
        self.held().end(end, boot_now());
        self.changes.send_modify(|count| *count += 1);
    }

    pub fn event_count(&self) -> usize {
        self.held().count()
    }

    /// Streams the events from a index on, as far as they have come, and on as they come.
    pub fn stream_from(self: Arc<Self>, first: usize) -> WebOutcome {
        let (pieces, response) = outcome_pieces(StatusCode::OK, "text/event-stream", 32);
        tokio::spawn(async move {
            let mut changes = self.changes.subscribe();
            let mut index = first;
            loop {
                changes.borrow_and_update();
                let (new_events, end) = self.held().from(index);
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

/// The last words of a stream that is not whole.
pub fn error_event(reason: &CutReason) -> Bytes {
    let told = json!({"error": {"type": reason.kind, "message": reason.message}});
    Bytes::from(format!("event: error\ndata: {told}\n\n"))
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn a_full_book_takes_no_more() {
        let book = HeldRuns::default();
        for run in 0..MAX_HELD_RUNS as u64 {
            assert!(book.open(run, &"t".into()).is_some());
        }
        assert!(book.open(9999, &"t".into()).is_none());
        assert!(book.find(3).is_some());
        assert!(book.find(9999).is_none());
    }
}
