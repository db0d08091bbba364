//! HTTP handling of cached blocks that the stand-in store shares: long polls for events, and bodies of block hashes.

use crate::prelude::*;

const MAX_POLL_MS: u64 = 5000;
const MAX_HASHES_BODY_BYTES: usize = 8 << 20;

/// Answers a poll for events: at once if there are any, otherwise when some arrive or the wait is over.
pub async fn poll_events(
    cache: &Mutex<BlockCache>,
    change_signal: &tokio::sync::watch::Sender<u64>,
    events_hidden: impl Fn() -> bool,
    number: u64,
    wait_ms: u64,
) -> WebResponse {
    let mut changes = change_signal.subscribe();
    let timeout = tokio::time::sleep(Duration::from_millis(wait_ms.min(MAX_POLL_MS)));
    tokio::pin!(timeout);
    loop {
        changes.borrow_and_update();
        let batch = locked(cache).events_from(number);
        if !batch.events.is_empty() && !events_hidden() {
            return json_response(StatusCode::OK, &json!(batch));
        }
        tokio::select! {
            _ = &mut timeout => {
                let empty = EventBatch { boot: batch.boot, first: number, events: Vec::new() };
                return json_response(StatusCode::OK, &json!(empty));
            }
            _ = changes.changed() => {}
        }
    }
}

/// The block hashes in a request's body.
pub async fn read_block_hashes(request: &mut IncomingRequest) -> Option<Vec<BlockHash>> {
    let body = request.read_body(MAX_HASHES_BODY_BYTES).await.ok()?;
    let list: BlockHashList = serde_json::from_slice(&body).ok()?;
    parse_hashes(&list.block_hashes)
}

/// The response to a body that is not a list of block hashes.
pub fn bad_block_hashes_response() -> WebResponse {
    error_response(StatusCode::BAD_REQUEST, "bad_request", "the body is not a list of block hashes")
}
