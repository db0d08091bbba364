//! The census where the platform's list of engines has no number of its own and each reading has its price:
//! the holder of the duty alone reads, more often for a while after a change. What it read is numbered by
//! the state it differs from. A holder that cannot read hands the duty on.

use crate::prelude::*;

const READ_EVERY: Span = Span::millis(700);
/// After a change others are likely.
const READ_EVERY_WHEN_MOVING: Span = Span::millis(350);
const MOVING_FOR: Span = Span::seconds(3);
const PAGE_LIMIT: Span = Span::millis(600);
/// What was read longer ago than this is not submitted.
const READING_AGE: Span = Span::millis(1000);
const SUBMIT_LIMIT: Span = Span::millis(3000);
const SUBMIT_WAIT: Duration = Duration::from_millis(300);
const FAULT_PAUSE: Span = Span::millis(300);
/// Readings that failed for so long hand the duty on.
const FAULTY_FOR: Span = Span::millis(1500);
/// Whoever took the duty over and cannot read either keeps it for longer.
const NEXT_HAND_OVER: Span = Span::seconds(5);
const AWAIT_DUTY: Span = Span::seconds(2);
const MOST_PAGES: usize = 1000;
const MOST_PAGE_BYTES: usize = 4 << 20;
/// Of the calls that all machines together may make, the part for reading the list.
const CALLS_SHARE: f64 = 0.5;
/// The list has one numbering, the state's own.
const BOOT: &str = "directory";

pub async fn keep_directory(
    directory: Arc<dyn EngineDirectory>,
    calls_per_second: f64,
    shelf: Shelf,
    executor: ExecutorClient,
    health: Arc<CensusLiveness>,
) {
    let mut moved: Option<Instant> = None;
    let mut faulty_since: Option<Instant> = None;
    let mut handed_over: Option<Instant> = None;
    loop {
        if !holds_census(&shelf) {
            faulty_since = None;
            await_shown(&shelf, AWAIT_DUTY, |seen| seen.holds_census(boot_now())).await;
            continue;
        }
        let asked = boot_now();
        let (engines, pages) = match read_pages(&*directory).await {
            Ok(read) => read,
            Err(reason) => {
                let now = boot_now();
                if faulty_since.is_none() {
                    event!(warn, "directory_unreachable", reason = reason);
                }
                let since = *faulty_since.get_or_insert(now);
                let may_hand_over = handed_over.is_none_or(|earlier| now.since(earlier) >= NEXT_HAND_OVER);
                if now.since(since) >= FAULTY_FOR && may_hand_over {
                    handed_over = Some(now);
                    let _ = executor.queue.try_send(ExecutorCommand::HandOver(DutyKind::Census));
                }
                tokio::time::sleep(FAULT_PAUSE.as_duration()).await;
                continue;
            }
        };
        faulty_since = None;
        health.last_read.store(boot_now().0 / 1_000_000, Ordering::Relaxed);
        if submit_changed(engines, asked, &shelf, &executor).await {
            moved = Some(boot_now());
        }
        let is_moving = moved.is_some_and(|moved| boot_now().since(moved) < MOVING_FOR);
        let wanted = if is_moving { READ_EVERY_WHEN_MOVING } else { READ_EVERY };
        let least = Span((pages as f64 / (calls_per_second * CALLS_SHARE).max(0.01) * 1e9) as u64);
        let next = asked + wanted.max(least);
        tokio::time::sleep(next.since(boot_now()).as_duration()).await;
    }
}

fn holds_census(shelf: &Shelf) -> bool {
    look(shelf).holds_census(boot_now())
}

/// Submits what was read if it differs from the state; tells whether it did.
async fn submit_changed(
    engines: BTreeMap<EngineName, ListedEngine>,
    asked: Instant,
    shelf: &Shelf,
    executor: &ExecutorClient,
) -> bool {
    let known = &look(shelf).state.listing;
    if engines == known.engines && !known.boot.is_empty() {
        return false;
    }
    if boot_now().since(asked) >= READING_AGE || !holds_census(shelf) {
        return true;
    }
    let number = known.number.next();
    event!(info, "listing_submitted", number = number, engines = engines.len());
    let listing = Listing { boot: BOOT.into(), number, engines };
    let submitting = executor.submit(RequestId::random(), Command::List(listing), SUBMIT_LIMIT);
    let _ = tokio::time::timeout(SUBMIT_WAIT, submitting).await;
    true
}

/// Reads every page; also tells how many there were.
async fn read_pages(directory: &dyn EngineDirectory) -> Result<(BTreeMap<EngineName, ListedEngine>, usize), String> {
    let address = directory.address();
    let mut engines = BTreeMap::new();
    let mut page_name: Option<String> = None;
    for pages in 1..=MOST_PAGES {
        let question = directory.page_request(page_name.as_deref());
        let (status, _, body) = ask_whole(&address, question, PAGE_LIMIT, MOST_PAGE_BYTES).await?;
        if status != StatusCode::OK {
            return Err(format!("status {status}"));
        }
        let page = directory.parse_page(&body)?;
        engines.extend(page.engines);
        page_name = page.next;
        if page_name.is_none() {
            return Ok((engines, pages));
        }
    }
    Err(format!("more than {MOST_PAGES} pages"))
}
