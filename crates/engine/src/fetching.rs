//! Kept blocks that move between engines and the store: fetched before prefill, put into the store after.

use crate::prelude::*;

const FETCH_LIMIT: Span = Span::millis(800);
const MOST_ANSWER_BYTES: usize = 1 << 16;

impl EngineSite {
    /// Keeps a prompt's blocks, and puts those that were not kept before into the store.
    pub(crate) fn keep(&self, names: &[BlockHash], known_count: usize) {
        held(&self.memory).insert(names);
        self.news.send_modify(|count| *count += 1);
        let Some(store) = self.store.clone().filter(|_| known_count < names.len()) else { return };
        let new_blocks = BlockHashList { block_hashes: format_hashes(names) };
        tokio::spawn(async move {
            let question = OutgoingRequest::with_json(Method::POST, "/v1/blocks", &json!(new_blocks));
            let _ = fetch_response(&store, question, FETCH_LIMIT, MOST_ANSWER_BYTES).await;
        });
    }

    /// Fetches runs of blocks, each of which must go on where the last ended and bear the names that
    /// this prompt has under its own salt. A fault or a late answer leaves the rest to prefill.
    pub(crate) async fn fetch(&self, orders: &[FetchOrder], names: &[BlockHash], own_count: usize) -> u64 {
        let mut place = own_count;
        for order in orders {
            let Some(asked_names) = parse_hashes(&order.block_hashes) else { break };
            let wanted: Vec<BlockHash> = match names.get(place..) {
                Some(rest) if rest.starts_with(&asked_names) => asked_names,
                _ if names.starts_with(&asked_names) && asked_names.len() > place => asked_names[place..].to_vec(),
                _ => break,
            };
            let question = BlockHashList { block_hashes: format_hashes(&wanted) };
            let question = OutgoingRequest::with_json(Method::POST, "/v1/kept/blocks", &json!(question));
            let Ok((_, _, body)) = fetch_response(&order.address, question, FETCH_LIMIT, MOST_ANSWER_BYTES).await
            else {
                break;
            };
            let Ok(answer) = serde_json::from_slice::<FoundBlocks>(&body) else { break };
            let found_count = (answer.found as usize).min(wanted.len());
            let link_block = held(&self.faults).link_us.map_or(self.link_block, Duration::from_micros);
            let transfer = link_block * found_count as u32;
            let limit = FETCH_LIMIT.as_duration();
            tokio::time::sleep(transfer.min(limit)).await;
            if transfer > limit {
                break;
            }
            place += found_count;
            if found_count < wanted.len() {
                break;
            }
        }
        let fetched_count = (place - own_count) as u64;
        self.fetched.fetch_add(fetched_count, Ordering::SeqCst);
        fetched_count
    }

    /// Tells another engine how many of the blocks it names are kept here.
    pub(crate) async fn tell_blocks(&self, mut asked: IncomingRequest) -> WebResponse {
        let Some(names) = read_block_hashes(&mut asked).await else { return bad_block_hashes_response() };
        self.log_line(&EngineLogLine::Asked { at: now_millis(), engine: self.name.clone() });
        let found = held(&self.memory).cached_prefix_len(&names) as u64;
        json_response(StatusCode::OK, &json!(FoundBlocks { found }))
    }
}
