//! The census duty: polls the platform's engine listing and submits each newer one. The duty's holder submits at
//! once. Every other keeper polls too and submits a listing that the fleet has not applied within half a second, so
//! that the loss of the holder does not keep a withdrawn engine in use. Submissions of a listing are idempotent,
//! because it is identified by its number.

use crate::prelude::*;

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Span = Span::millis(600);
const STANDBY_DELAY: Span = Span::millis(500);
const SUBMIT_TIMEOUT: Span = Span::millis(3000);
/// How long polling waits for a submission.
const SUBMIT_WAIT: Duration = Duration::from_millis(700);
const MAX_ENGINES: usize = 1000;

/// The health of listing reads, for the operators' interface.
#[derive(Default)]
pub struct ListingHealth {
    /// Boot-time milliseconds of the last successful read; zero if there was none.
    pub last_read: AtomicU64,
}

/// Polls the platform's listing and submits newer ones.
pub async fn poll_listing(
    platform: String,
    publisher: SharedPublisher,
    executor: ExecutorClient,
    health: Arc<ListingHealth>,
) {
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut known_tag = String::new();
    let mut newest: Option<Listing> = None;
    let mut pending_since: Option<Instant> = None;
    let mut was_reachable = true;
    loop {
        interval.tick().await;
        let requested_at = boot_now();
        match read_listing(&platform, &known_tag).await {
            Ok(read) => {
                health.last_read.store(boot_now().0 / 1_000_000, Ordering::Relaxed);
                was_reachable = true;
                if let Some((tag, listing)) = read {
                    known_tag = tag;
                    newest = Some(listing);
                }
                let read = newest.as_ref().map(|listing| (listing.boot.clone(), listing.number));
                let _ = executor.queue.try_send(ExecutorCommand::ListingRead { read, requested_at });
            }
            Err(reason) => {
                if was_reachable {
                    event!(warn, "listing_unreachable", reason = reason);
                }
                was_reachable = false;
                let _ = executor.queue.try_send(ExecutorCommand::ListingRead { read: None, requested_at });
            }
        }
        let snapshot = latest_snapshot(&publisher);
        let Some(listing) = newest.as_ref().filter(|listing| is_newer(listing, &snapshot.state.listing)) else {
            pending_since = None;
            continue;
        };
        let now = boot_now();
        let since = *pending_since.get_or_insert(now);
        let holds_duty = snapshot.census.is_some_and(|(_, until)| now < until);
        if snapshot.view.number == ViewNumber(0) || (!holds_duty && now.since(since) < STANDBY_DELAY) {
            continue;
        }
        event!(info, "listing_submitted", number = listing.number, engines = listing.engines.len());
        let parts = [listing.boot.as_bytes(), &listing.number.0.to_le_bytes()];
        let request_id = RequestId(BlockHash::of_parts(&[b"listing", parts[0], parts[1]]).0);
        let submission = executor.submit(request_id, Command::List(listing.clone()), SUBMIT_TIMEOUT);
        let _ = tokio::time::timeout(SUBMIT_WAIT, submission).await;
    }
}

fn is_newer(listing: &Listing, known: &Listing) -> bool {
    listing.boot != known.boot || listing.number > known.number
}

async fn read_listing(platform: &str, known_tag: &str) -> Result<Option<(String, Listing)>, String> {
    let request = web::prelude::OutgoingRequest::get("/v1/engines").header("if-none-match", known_tag);
    let (status, headers, body) = fetch_response(platform, request, POLL_TIMEOUT, 4 << 20).await?;
    if status == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    let tag = headers.get("etag").and_then(|tag| tag.to_str().ok()).unwrap_or("").to_owned();
    let platform_listing: PlatformListing =
        serde_json::from_slice(&body).map_err(|fault| format!("listing unreadable: {fault}"))?;
    if platform_listing.engines.len() > MAX_ENGINES {
        return Err(format!("listing of {} engines, at most {MAX_ENGINES}", platform_listing.engines.len()));
    }
    Ok(Some((tag, translate(platform_listing))))
}

fn translate(platform_listing: PlatformListing) -> Listing {
    let engines = platform_listing
        .engines
        .into_iter()
        .filter(|engine| engine.state != PlatformState::Gone)
        .map(|engine| {
            let listed_engine = ListedEngine {
                address: engine.address,
                zone: Zone(engine.zone),
                model: ModelName(engine.model),
                role: match engine.role {
                    PlatformRole::Whole => Role::Whole,
                    PlatformRole::Prefill => Role::Prefill,
                    PlatformRole::Decode => Role::Decode,
                },
                listed: if engine.state == PlatformState::Open { Listed::Open } else { Listed::Leaving },
                ..ListedEngine::default()
            };
            (EngineName(engine.name), listed_engine)
        })
        .collect();
    Listing { boot: platform_listing.boot, number: ListingNumber(platform_listing.number), engines }
}
