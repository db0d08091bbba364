//! Pages about kept blocks, which the stand-in store has too: polls for events and bodies of block names.

use crate::prelude::*;

const LONGEST_POLL_MS: u64 = 5000;
const MOST_NAMES_BYTES: usize = 8 << 20;

/// Answers a poll for events: at once if there are any, else when some come or the wait is over.
pub async fn poll_events(
    memory: &Mutex<BlockCache>,
    news: &tokio::sync::watch::Sender<u64>,
    hides: impl Fn() -> bool,
    number: u64,
    wait_ms: u64,
) -> WebResponse {
    let mut news = news.subscribe();
    let give_up = tokio::time::sleep(Duration::from_millis(wait_ms.min(LONGEST_POLL_MS)));
    tokio::pin!(give_up);
    loop {
        news.borrow_and_update();
        let batch = held(memory).events_from(number);
        if !batch.events.is_empty() && !hides() {
            return json_response(StatusCode::OK, &json!(batch));
        }
        tokio::select! {
            _ = &mut give_up => {
                let empty = EventBatch { boot: batch.boot, first: number, events: Vec::new() };
                return json_response(StatusCode::OK, &json!(empty));
            }
            _ = news.changed() => {}
        }
    }
}

/// The block names in a request's body.
pub async fn read_block_hashes(asked: &mut IncomingRequest) -> Option<Vec<BlockHash>> {
    let body = asked.read_body(MOST_NAMES_BYTES).await.ok()?;
    let named: BlockHashList = serde_json::from_slice(&body).ok()?;
    parse_hashes(&named.block_hashes)
}

/// The refusal of a body without block names.
pub fn bad_block_hashes_response() -> WebResponse {
    error_response(StatusCode::BAD_REQUEST, "bad_request", "no block names")
}
