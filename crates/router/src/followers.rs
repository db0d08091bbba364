//! A follower for each listed engine, and for the store: a task that follows its cache events and, for engines, polls
//! the number of running requests at a lower rate.

use crate::prelude::*;

/// How long an engine may hold a request for events until there are some, in milliseconds.
const POLL_WAIT_MS: u64 = 1000;
/// The time limit of any request of a follower.
const POLL_TIMEOUT: Span = Span::millis(2500);
/// The pause between two requests for events.
const POLL_SPACING: Duration = Duration::from_millis(40);
/// The pause after a failed request or connection.
const FAULT_PAUSE: Duration = Duration::from_millis(300);
/// How often the number of running requests is polled.
const COUNT_INTERVAL: Span = Span::millis(1000);
/// Maximum size of a snapshot or a batch of events.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Maximum size of an engine's metrics.
const MAX_METRICS_BYTES: usize = 1 << 20;
/// How often the list of engines is compared with the followers.
const LISTING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit for connecting to an engine or the store.
const CONNECT_TIMEOUT: Span = Span::millis(500);
/// A response to a poll for events counts as late if it takes this much longer than the poll may wait.
const POLL_SLACK_MS: u64 = 500;

/// Starts a follower for each newly listed engine or address, and stops those of delisted ones.
pub async fn run_followers(shared: Arc<SharedState>, scheduler: SchedulerHandle) {
    let mut followers: HashMap<(EngineName, String), tokio::task::JoinHandle<()>> = HashMap::new();
    let mut interval = tokio::time::interval(LISTING_CHECK_INTERVAL);
    loop {
        interval.tick().await;
        let snapshot = shared.snapshot();
        let mut listed: HashMap<(EngineName, String), ()> = snapshot
            .state
            .listing
            .engines
            .iter()
            .map(|(engine, listed)| ((engine.clone(), listed.address.clone()), ()))
            .collect();
        if let Some(store) = &snapshot.state.desired.store {
            listed.insert((EngineName::from(STORE_SOURCE), store.clone()), ());
        }
        followers.retain(|key, follower| {
            let stays = listed.contains_key(key);
            if !stays {
                follower.abort();
            }
            stays
        });
        for key in listed.into_keys() {
            let (engine, address) = key.clone();
            let scheduler = scheduler.clone();
            followers.entry(key).or_insert_with(|| tokio::spawn(follow(engine, address, scheduler)));
        }
    }
}

async fn follow(engine: EngineName, address: String, scheduler: SchedulerHandle) {
    let mut last_count = Instant(0);
    loop {
        let mut stream = match open_stream(&address, CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(_) => {
                tokio::time::sleep(FAULT_PAUSE).await;
                continue;
            }
        };
        while follow_once(&engine, &mut stream, &scheduler, &mut last_count).await.is_ok() {
            tokio::time::sleep(POLL_SPACING).await;
        }
        tokio::time::sleep(FAULT_PAUSE).await;
    }
}

async fn follow_once(
    engine: &EngineName,
    stream: &mut OpenStream,
    scheduler: &SchedulerHandle,
    last_count: &mut Instant,
) -> Result<(), String> {
    let requested_at = boot_now();
    if requested_at.since(*last_count) >= COUNT_INTERVAL && engine.as_str() != STORE_SOURCE {
        let (_, _, body) =
            stream.send_keep_alive(OutgoingRequest::get("/metrics"), POLL_TIMEOUT, MAX_METRICS_BYTES).await?;
        if let Some(running) = parse_running_requests(&String::from_utf8_lossy(&body)) {
            scheduler.tell(SchedulerCommand::RecordRunningCount { engine: engine.clone(), running, requested_at });
        }
        *last_count = requested_at;
    }
    let cursor = scheduler
        .ask(|reply| SchedulerCommand::EventPosition { engine: engine.clone(), reply })
        .await
        .ok_or("the scheduler's queue is full")?;
    let Some(cursor) = cursor else { return fetch_snapshot(engine, stream, scheduler).await };
    let path = format!("/v1/kept/events?from={}&wait_ms={POLL_WAIT_MS}", cursor.next_number);
    let requested_at = boot_now();
    let (_, _, body) = stream.send_keep_alive(OutgoingRequest::get(&path), POLL_TIMEOUT, MAX_RESPONSE_BYTES).await?;
    let answered_at = boot_now();
    let batch: EventBatch = serde_json::from_slice(&body).map_err(|fault| fault.to_string())?;
    let events: Option<Vec<CacheEvent>> = batch.events.iter().map(EngineEvent::read).collect();
    let events = events.ok_or("an event is malformed")?;
    // An engine answers a long poll from its latest state, so all events up to the response are known. If the
    // response is late, only those up to the request are certain.
    let known_until = if answered_at.since(requested_at) < Span::millis(POLL_WAIT_MS + POLL_SLACK_MS) {
        answered_at
    } else {
        requested_at
    };
    let followed = scheduler
        .ask(|reply| SchedulerCommand::ApplyEvents {
            engine: engine.clone(),
            batch,
            events,
            requested_at: known_until,
            reply,
        })
        .await;
    if followed == Some(false) {
        event!(info, "source_lost", engine = engine);
    }
    Ok(())
}

async fn fetch_snapshot(
    engine: &EngineName,
    stream: &mut OpenStream,
    scheduler: &SchedulerHandle,
) -> Result<(), String> {
    let requested_at = boot_now();
    let (_, _, body) =
        stream.send_keep_alive(OutgoingRequest::get("/v1/kept/snapshot"), POLL_TIMEOUT, MAX_RESPONSE_BYTES).await?;
    let snapshot: CacheSnapshot = serde_json::from_slice(&body).map_err(|fault| fault.to_string())?;
    let names = parse_hashes(&snapshot.block_hashes).ok_or("a block hash is malformed")?;
    event!(debug, "snapshot_taken", engine = engine, blocks = names.len());
    scheduler.tell(SchedulerCommand::ApplySnapshot { engine: engine.clone(), snapshot, names, requested_at });
    Ok(())
}

fn parse_running_requests(text: &str) -> Option<u64> {
    let read_gauge = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next()?.parse::<f64>().ok()
    };
    let running = read_gauge("vllm:num_requests_running")?;
    Some(running as u64)
}
