//! Runs that may be resumed: their events are held, bounded in number, size and time, so that a caller
//! whose stream broke can go on where it left off, through any router. Nothing here begins a run.

use crate::prelude::*;

pub const MOST_RUNS: usize = 1024;
const MOST_EVENTS: usize = 8192;
pub const MOST_BYTES: usize = 4 << 20;
const HELD_AFTER_END: Span = Span::seconds(30);

#[derive(Default)]
pub struct RunBook {
    runs: Mutex<HashMap<u64, Arc<HeldRun>>>,
}

pub struct HeldRun {
    pub tenant: TenantName,
    held: Mutex<HeldEvents>,
    news: tokio::sync::watch::Sender<u64>,
}

#[derive(Default)]
struct HeldEvents {
    events: Vec<Bytes>,
    bytes: usize,
    end: Option<(HeldEnd, Instant)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldEnd {
    Whole,
    Cut(String),
}

/// An event id, taken apart: router, run, piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventName {
    pub router: NodeId,
    pub run: u64,
    pub piece: Option<u64>,
}

impl EventName {
    /// Reads `ROUTER.RUN` or `ROUTER.RUN.PIECE`, strictly.
    pub fn read(text: &str) -> Option<EventName> {
        if text.len() > 64 {
            return None;
        }
        let mut parts = text.split('.');
        let router_text = parts.next().filter(|part| part.len() == 16)?;
        let router = router_text.parse().ok()?;
        let run = parts.next()?.parse().ok()?;
        let piece = match parts.next() {
            Some(part) => Some(part.parse().ok()?),
            None => None,
        };
        parts.next().is_none().then_some(EventName { router, run, piece })
    }
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
    fn held(&self) -> std::sync::MutexGuard<'_, HeldEvents> {
        self.held.lock().expect("no holder of this lock panics")
    }

    fn is_over(&self, now: Instant) -> bool {
        self.held().end.as_ref().is_some_and(|(_, ended)| now.since(*ended) >= HELD_AFTER_END)
    }

    /// Holds an event; false if there is no more room.
    pub fn hold(&self, event: Bytes) -> bool {
        let mut held = self.held();
        if held.events.len() >= MOST_EVENTS || held.bytes + event.len() > MOST_BYTES {
            return false;
        }
        held.bytes += event.len();
        held.events.push(event);
        drop(held);
        self.news.send_modify(|count| *count += 1);
        true
    }

    pub fn end(&self, end: HeldEnd) {
        self.held().end.get_or_insert((end, boot_now()));
        self.news.send_modify(|count| *count += 1);
    }

    pub fn event_count(&self) -> usize {
        self.held().events.len()
    }

    /// Streams the events from a place on, as far as they have come, and on as they come.
    pub fn stream_from(self: Arc<Self>, first: usize) -> WebOutcome {
        let (pieces, answered) = outcome_pieces(StatusCode::OK, "text/event-stream", 32);
        tokio::spawn(async move {
            let mut news = self.news.subscribe();
            let mut place = first;
            loop {
                news.borrow_and_update();
                let (new_events, end) = {
                    let held = self.held();
                    let new_events = held.events.get(place..).map(<[Bytes]>::to_vec).unwrap_or_default();
                    (new_events, held.end.clone())
                };
                for event in new_events {
                    place += 1;
                    if !pieces.send(event).await {
                        return;
                    }
                }
                match end {
                    Some((HeldEnd::Whole, _)) => return,
                    Some((HeldEnd::Cut(reason), _)) => return end_cut(&pieces, &reason).await,
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

/// The end of a stream that is not whole: an error event, then an aborted stream.
pub async fn end_cut(pieces: &PieceSender, reason: &str) {
    let told = json!({"error": {"type": "cut", "message": reason}});
    let ending = async {
        pieces.send(Bytes::from(format!("event: error\ndata: {told}\n\n"))).await;
        pieces.abort("the stream was cut").await;
    };
    let _ = tokio::time::timeout(Duration::from_millis(500), ending).await;
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn event_names_are_read_strictly() {
        let named = EventName::read("00000000000000ab.7.12").unwrap();
        assert_eq!((named.router, named.run, named.piece), (NodeId(0xab), 7, Some(12)));
        assert_eq!(EventName::read("00000000000000ab.7").unwrap().piece, None);
        let long_name = format!("00000000000000ab.7.{}", "1".repeat(80));
        for forged in [
            "",
            "ab.7.1",
            "00000000000000ab",
            "00000000000000ab.7.1.2",
            "00000000000000ab.-7.1",
            "zz.1.1",
            &long_name,
        ] {
            assert_eq!(EventName::read(forged), None, "{forged}");
        }
    }

    #[test]
    fn a_full_book_takes_no_more_and_a_held_run_has_bounds() {
        let book = RunBook::default();
        for run in 0..MOST_RUNS as u64 {
            assert!(book.open(run, &"t".into()).is_some());
        }
        assert!(book.open(9999, &"t".into()).is_none());
        let held_run = book.find(3).unwrap();
        assert!(held_run.hold(Bytes::from(vec![0; MOST_BYTES])));
        assert!(!held_run.hold(Bytes::from_static(b"x")));
        assert!(book.find(9999).is_none());
    }
}
