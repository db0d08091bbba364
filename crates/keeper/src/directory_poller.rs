//! The census duty for a platform whose engine directory is unnumbered and whose calls are rate limited: only the
//! duty's holder reads it, more often for a while after a change. A listing that differs from the fleet state gets
//! the number after the state's listing. A holder that cannot read the directory hands the duty over.

use crate::prelude::*;

const READ_INTERVAL: Span = Span::millis(700);
/// Further changes are likely soon after one.
const READ_INTERVAL_AFTER_CHANGE: Span = Span::millis(350);
const CHANGE_PERIOD: Span = Span::seconds(3);
const PAGE_TIMEOUT: Span = Span::millis(600);
/// Older readings are not submitted.
const MAX_READING_AGE: Span = Span::millis(1000);
const SUBMIT_TIMEOUT: Span = Span::millis(3000);
const SUBMIT_WAIT: Duration = Duration::from_millis(300);
const FAILURE_RETRY_DELAY: Span = Span::millis(300);
/// How long reads must fail before the duty is handed over.
const HAND_OVER_AFTER: Span = Span::millis(1500);
/// Keeps the duty from moving back and forth when no keeper can read the directory.
const MIN_HAND_OVER_INTERVAL: Span = Span::seconds(5);
const DUTY_WAIT_TIMEOUT: Span = Span::seconds(2);
const MAX_PAGES: usize = 1000;
const MAX_PAGE_BYTES: usize = 4 << 20;
/// The share of the fleet's call budget that reading the directory may use.
const CALL_BUDGET_SHARE: f64 = 0.5;
/// The boot identity of every listing read here: the fleet state alone numbers them.
const BOOT: &str = "directory";

/// Reads the engine directory while this keeper holds the census duty and submits changes.
pub async fn poll_directory(
    directory: Arc<dyn EngineDirectory>,
    calls_per_second: f64,
    publisher: SharedPublisher,
    executor: ExecutorClient,
    health: Arc<ListingHealth>,
) {
    let mut last_change: Option<Instant> = None;
    let mut failing_since: Option<Instant> = None;
    let mut last_hand_over: Option<Instant> = None;
    loop {
        if !holds_census(&publisher) {
            failing_since = None;
            wait_until(&publisher, DUTY_WAIT_TIMEOUT, |snapshot| snapshot.holds_census(boot_now())).await;
            continue;
        }
        let read_at = boot_now();
        let (engines, pages) = match read_pages(&*directory).await {
            Ok(read) => read,
            Err(reason) => {
                let now = boot_now();
                if failing_since.is_none() {
                    event!(warn, "directory_unreachable", reason = reason);
                }
                let since = *failing_since.get_or_insert(now);
                let may_hand_over = last_hand_over.is_none_or(|earlier| now.since(earlier) >= MIN_HAND_OVER_INTERVAL);
                if now.since(since) >= HAND_OVER_AFTER && may_hand_over {
                    last_hand_over = Some(now);
                    let _ = executor.queue.try_send(ExecutorCommand::HandOver(DutyKind::Census));
                }
                tokio::time::sleep(FAILURE_RETRY_DELAY.as_duration()).await;
                continue;
            }
        };
        failing_since = None;
        health.last_read.store(boot_now().0 / 1_000_000, Ordering::Relaxed);
        if submit_changed(engines, read_at, &publisher, &executor).await {
            last_change = Some(boot_now());
        }
        let changed_recently = last_change.is_some_and(|at| boot_now().since(at) < CHANGE_PERIOD);
        let interval = if changed_recently { READ_INTERVAL_AFTER_CHANGE } else { READ_INTERVAL };
        let min_interval = Span((pages as f64 / (calls_per_second * CALL_BUDGET_SHARE).max(0.01) * 1e9) as u64);
        let next = read_at + interval.max(min_interval);
        tokio::time::sleep(next.since(boot_now()).as_duration()).await;
    }
}

fn holds_census(publisher: &SharedPublisher) -> bool {
    latest_snapshot(publisher).holds_census(boot_now())
}

/// Submits the engines read if they differ from the fleet state; returns whether they differ.
async fn submit_changed(
    engines: BTreeMap<EngineName, ListedEngine>,
    read_at: Instant,
    publisher: &SharedPublisher,
    executor: &ExecutorClient,
) -> bool {
    let known = &latest_snapshot(publisher).state.listing;
    if engines == known.engines && !known.boot.is_empty() {
        return false;
    }
    if boot_now().since(read_at) >= MAX_READING_AGE || !holds_census(publisher) {
        return true;
    }
    let number = known.number.next();
    event!(info, "listing_submitted", number = number, engines = engines.len());
    let listing = Listing { boot: BOOT.into(), number, engines };
    let submission = executor.submit(RequestId::random(), Command::List(listing), SUBMIT_TIMEOUT);
    let _ = tokio::time::timeout(SUBMIT_WAIT, submission).await;
    true
}

/// Reads every page; also returns the number of pages.
async fn read_pages(directory: &dyn EngineDirectory) -> Result<(BTreeMap<EngineName, ListedEngine>, usize), String> {
    let address = directory.address();
    let mut engines = BTreeMap::new();
    let mut page_name: Option<String> = None;
    for pages in 1..=MAX_PAGES {
        let request = directory.page_request(page_name.as_deref());
        let (status, _, body) = fetch_response(&address, request, PAGE_TIMEOUT, MAX_PAGE_BYTES).await?;
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
    Err(format!("more than {MAX_PAGES} pages"))
}
