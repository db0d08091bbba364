//! Transfer of cached blocks between engines and the store: fetched before prefill, put into the store after.

use crate::prelude::*;

const TRANSFER_TIMEOUT: Span = Span::millis(800);
const MAX_ANSWER_BYTES: usize = 1 << 16;

impl EngineServer {
    /// Caches a prompt's blocks. If any of them were not cached before, puts them all into the store.
    pub(crate) fn cache_prompt(&self, hashes: &[BlockHash], known_count: usize) {
        locked(&self.cache).insert(hashes);
        self.cache_changes.send_modify(|count| *count += 1);
        let Some(store) = self.store.clone().filter(|_| known_count < hashes.len()) else { return };
        let list = BlockHashList { block_hashes: format_hashes(hashes) };
        tokio::spawn(async move {
            let request = OutgoingRequest::with_json(Method::POST, "/v1/blocks", &json!(list));
            let _ = fetch_response(&store, request, TRANSFER_TIMEOUT, MAX_ANSWER_BYTES).await;
        });
    }

    /// Fetches runs of blocks and returns how many blocks were fetched. Each run must continue where the last one
    /// ended, with the hashes that this prompt has under its own salt. After a failure or a timeout, the remaining
    /// blocks are left to prefill.
    pub(crate) async fn fetch(&self, orders: &[FetchOrder], hashes: &[BlockHash], cached_count: usize) -> u64 {
        let mut position = cached_count;
        for order in orders {
            let Some(ordered) = parse_hashes(&order.block_hashes) else { break };
            let wanted: Vec<BlockHash> = match hashes.get(position..) {
                Some(rest) if rest.starts_with(&ordered) => ordered,
                _ if hashes.starts_with(&ordered) && ordered.len() > position => ordered[position..].to_vec(),
                _ => break,
            };
            let list = BlockHashList { block_hashes: format_hashes(&wanted) };
            let request = OutgoingRequest::with_json(Method::POST, "/v1/kept/blocks", &json!(list));
            let Ok((_, _, body)) = fetch_response(&order.address, request, TRANSFER_TIMEOUT, MAX_ANSWER_BYTES).await
            else {
                break;
            };
            let Ok(answer) = serde_json::from_slice::<FoundBlocks>(&body) else { break };
            let found_count = (answer.found as usize).min(wanted.len());
            let block_time = locked(&self.faults).link_us.map_or(self.block_transfer_time, Duration::from_micros);
            let transfer_time = block_time * found_count as u32;
            let timeout = TRANSFER_TIMEOUT.as_duration();
            tokio::time::sleep(transfer_time.min(timeout)).await;
            if transfer_time > timeout {
                break;
            }
            position += found_count;
            if found_count < wanted.len() {
                break;
            }
        }
        let fetched_count = (position - cached_count) as u64;
        self.fetched.fetch_add(fetched_count, Ordering::SeqCst);
        fetched_count
    }

    /// Answers another engine how many of the blocks it lists are cached here, counted from the first.
    pub(crate) async fn answer_block_query(&self, mut request: IncomingRequest) -> WebResponse {
        let Some(hashes) = read_block_hashes(&mut request).await else { return bad_block_hashes_response() };
        self.log_line(&EngineLogLine::Asked { at: now_millis(), engine: self.name.clone() });
        let found = locked(&self.cache).cached_prefix_len(&hashes) as u64;
        json_response(StatusCode::OK, &json!(FoundBlocks { found }))
    }
}
