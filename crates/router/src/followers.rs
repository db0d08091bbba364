//! Followers: for each listed engine a task that follows its kept-memory events and, rarely, asks for
//! its coarse count of running requests.

use crate::prelude::*;

const POLL_WAIT_MS: u64 = 1000;
const POLL_LIMIT: Span = Span::millis(2500);
const POLL_SPACING: Duration = Duration::from_millis(40);
const FAULT_PAUSE: Duration = Duration::from_millis(300);
const COUNT_EVERY: Span = Span::millis(1000);
const MOST_BYTES: usize = 32 << 20;

/// Starts a follower for each newly listed engine and ends those of engines that are gone.
pub async fn keep_followers(shared: Arc<SharedState>, table: TableAsker) {
    let mut followers: HashMap<(EngineName, String), tokio::task::JoinHandle<()>> = HashMap::new();
    let mut pulse = tokio::time::interval(Duration::from_millis(100));
    loop {
        pulse.tick().await;
        let sight = shared.snapshot();
        let mut listed: HashMap<(EngineName, String), ()> = sight
            .state
            .listing
            .engines
            .iter()
            .map(|(engine, listed)| ((engine.clone(), listed.address.clone()), ()))
            .collect();
        if let Some(store) = &sight.state.desired.store {
            listed.insert((EngineName::from(STORE_SOURCE), store.clone()), ());
        }
        followers.retain(|naming, follower| {
            let stays = listed.contains_key(naming);
            if !stays {
                follower.abort();
            }
            stays
        });
        for naming in listed.into_keys() {
            let (engine, address) = naming.clone();
            let table = table.clone();
            followers.entry(naming).or_insert_with(|| tokio::spawn(follow(engine, address, table)));
        }
    }
}

async fn follow(engine: EngineName, address: String, table: TableAsker) {
    let mut last_count = Instant(0);
    loop {
        let mut stream = match open_stream(&address, Span::millis(500)).await {
            Ok(stream) => stream,
            Err(_) => {
                tokio::time::sleep(FAULT_PAUSE).await;
                continue;
            }
        };
        while follow_once(&engine, &mut stream, &table, &mut last_count).await.is_ok() {
            tokio::time::sleep(POLL_SPACING).await;
        }
        tokio::time::sleep(FAULT_PAUSE).await;
    }
}

async fn follow_once(
    engine: &EngineName,
    stream: &mut OpenStream,
    table: &TableAsker,
    last_count: &mut Instant,
) -> Result<(), String> {
    let asked = boot_now();
    if asked.since(*last_count) >= COUNT_EVERY && engine.as_str() != STORE_SOURCE {
        let (_, _, body) = stream.ask_again(Question::get("/metrics"), POLL_LIMIT, 1 << 20).await?;
        if let Some(running) = read_running(&String::from_utf8_lossy(&body)) {
            table.tell(TableCommand::Count { engine: engine.clone(), running, asked });
        }
        *last_count = asked;
    }
    let place =
        table.ask(|reply| TableCommand::Place { engine: engine.clone(), reply }).await.ok_or("the table is full")?;
    let Some(place) = place else { return take_snapshot(engine, stream, table).await };
    let path = format!("/v1/kept/events?from={}&wait_ms={POLL_WAIT_MS}", place.next_number);
    let asked = boot_now();
    let (_, _, body) = stream.ask_again(Question::get(&path), POLL_LIMIT, MOST_BYTES).await?;
    let answered = boot_now();
    let batch: EventBatch = serde_json::from_slice(&body).map_err(|fault| fault.to_string())?;
    let events: Option<Vec<CacheEvent>> = batch.events.iter().map(EngineEvent::read).collect();
    let events = events.ok_or("an event is unreadable")?;
    // A long poll that answers has looked at the very end.
    let heard = if answered.since(asked) < Span::millis(POLL_WAIT_MS + 500) { answered } else { asked };
    let followed =
        table.ask(|reply| TableCommand::Events { engine: engine.clone(), batch, events, asked: heard, reply }).await;
    if followed == Some(false) {
        event!(info, "source_lost", engine = engine);
    }
    Ok(())
}

async fn take_snapshot(engine: &EngineName, stream: &mut OpenStream, table: &TableAsker) -> Result<(), String> {
    let asked = boot_now();
    let (_, _, body) = stream.ask_again(Question::get("/v1/kept/snapshot"), POLL_LIMIT, MOST_BYTES).await?;
    let snapshot: CacheSnapshot = serde_json::from_slice(&body).map_err(|fault| fault.to_string())?;
    let names = parse_hashes(&snapshot.block_hashes).ok_or("a block name is unreadable")?;
    event!(debug, "snapshot_taken", engine = engine, blocks = names.len());
    table.tell(TableCommand::Snapshot { engine: engine.clone(), snapshot, names, asked });
    Ok(())
}

fn read_running(text: &str) -> Option<u64> {
    let read_gauge = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next()?.parse::<f64>().ok()
    };
    let running = read_gauge("vllm:num_requests_running")?;
    Some(running as u64)
}
