//! Runs that may be resumed: their events are held, bounded in number, size and time, so that a caller
//! whose stream broke can go on where it left off, through any router. Nothing here begins a run.

use crate::prelude::*;

pub const MOST_RUNS: usize = 1024;

#[derive(Default)]
pub struct RunBook {
    runs: Mutex<HashMap<u64, Arc<HeldRun>>>,
}

pub struct HeldRun {
    pub tenant: TenantName,
    held: Mutex<HeldEvents<Bytes>>,
    news: tokio::sync::watch::Sender<u64>,
}

impl RunBook {
    /// A place for a new run; nothing if the book is full.
    pub fn open(&self, run: u64, tenant: &TenantName) -> Option<Arc<HeldRun>> {
        let mut runs = self.runs.lock().expect("no holder of this lock panics");
        let now = boot_now();
        runs.retain(|_, held_run| !held_run.is_over(now));
        if runs.len() >= MOST_RUNS {
            return None;
        }
        let held_run = Arc::new(HeldRun {
            tenant: tenant.clone(),
            held: Mutex::default(),
            news: tokio::sync::watch::channel(0).0,
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
        self.news.send_modify(|count| *count += 1);
        has_room
    }

    pub fn end(&self, end: HeldEnd) {
        self.held().end(end, boot_now());
        self.news.send_modify(|count| *count += 1);
    }

    pub fn event_count(&self) -> usize {
        self.held().count()
    }

    /// Streams the events from a place on, as far as they have come, and on as they come.
    pub fn stream_from(self: Arc<Self>, first: usize) -> WebResponse {
        let (pieces, answered) = streaming_response(StatusCode::OK, "text/event-stream", 32);
        tokio::spawn(async move {
            let mut news = self.news.subscribe();
            let mut place = first;
            loop {
                news.borrow_and_update();
                let (new_events, end) = self.held().from(place);
                for event in new_events {
                    place += 1;
                    if !pieces.send(event).await {
                        return;
                    }
                }
                match end {
                    Some(HeldEnd::Whole) => return pieces.finish(),
                    Some(HeldEnd::Cut(reason)) => return pieces.cut(cut_words(&reason)),
                    None => {}
                }
                tokio::select! {
                    changed = news.changed() => if changed.is_err() { return },
                    () = pieces.gone() => return,
                }
            }
        });
        answered.with_header("cache-control", "no-store")
    }
}

/// The last words of a stream that is not whole.
pub fn cut_words(reason: &CutReason) -> Bytes {
    let told = json!({"error": {"type": reason.kind, "message": reason.message}});
    Bytes::from(format!("event: error\ndata: {told}\n\n"))
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn a_full_book_takes_no_more() {
        let book = RunBook::default();
        for run in 0..MOST_RUNS as u64 {
            assert!(book.open(run, &"t".into()).is_some());
        }
        assert!(book.open(9999, &"t".into()).is_none());
        assert!(book.find(3).is_some());
        assert!(book.find(9999).is_none());
    }
}
