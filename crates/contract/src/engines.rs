//! The interface to engines: completions, cache events, orders, state.

use crate::prelude::*;

/// The id of the attempt that a request makes.
pub const ATTEMPT_HEADER: &str = "x-haremount-shot";
/// The weights edition that a request must run on, or that an answer was produced with.
pub const WEIGHTS_HEADER: &str = "x-haremount-weights";
/// The adapter to run a request with, or that an answer was produced with, as `name@revision`. Without this header,
/// the base model is used.
pub const ADAPTER_HEADER: &str = "x-haremount-adapter";
/// The error type with which an engine rejects a request, before starting it, because it has not loaded that revision
/// of the adapter.
pub const ADAPTER_NOT_RESIDENT: &str = "adapter_not_resident";
/// How long the engine may work on the attempt, in milliseconds. It aborts the attempt after that, unless the limit
/// was extended by a `POST` to [`attempt_limit_path`].
pub const LIMIT_HEADER: &str = "x-haremount-limit-ms";

/// The path to `POST` to in order to extend the time limit of a running attempt, counted from that call.
pub fn attempt_limit_path(attempt: &str) -> String {
    format!("/v1/shots/{attempt}/limit")
}

/// A completion request to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRequest {
    pub model: String,
    pub prompt: String,
    pub max_tokens: u64,
    pub stream: bool,
    pub cache_salt: String,
    /// Cached blocks of this prompt to fetch before prefill, in order of their position in the prompt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fetch: Vec<FetchOrder>,
}

/// Consecutive blocks to fetch from one peer or from the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchOrder {
    pub address: String,
    pub block_hashes: Vec<String>,
}

/// The answer of a peer or of the store: how many of the requested blocks, counted from the first, it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundBlocks {
    pub found: u64,
}

/// The hashes of blocks that are requested, or put into the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockHashList {
    pub block_hashes: Vec<String>,
}

/// A prompt to be prefilled only, in a pool with separate prefill and decode engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrefillRequest {
    pub prompt: String,
    pub cache_salt: String,
}

/// One piece of a streamed answer, the last one with `finish_reason` set; also the format of an unstreamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    pub id: String,
    pub object: String,
    pub model: String,
    pub choices: Vec<Choice>,
    /// The adapter that produced it, as `name@revision`; `None` for the base model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The text of a completion or of one streamed piece.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    pub index: u64,
    pub text: String,
    pub finish_reason: Option<String>,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    pub prompt_tokens: u64,
    pub completion_tokens: u64,
    /// Prompt tokens served from the cache.
    pub cached_tokens: u64,
    /// Of those, tokens fetched from a peer or the store for this request.
    #[serde(default)]
    pub fetched_tokens: u64,
}

/// The data of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// A batch of consecutively numbered cache events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventBatch {
    pub boot: String,
    /// The number of the first event in the batch.
    pub first: u64,
    pub events: Vec<EngineEvent>,
}

/// A change to the blocks that an engine caches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type")]
pub enum EngineEvent {
    BlockStored { block_hashes: Vec<String> },
    BlockRemoved { block_hashes: Vec<String> },
    AllBlocksCleared,
}

impl EngineEvent {
    /// Converts from the internal form.
    pub fn from_cache_event(event: &CacheEvent) -> EngineEvent {
        match event {
            CacheEvent::Stored(names) => EngineEvent::BlockStored { block_hashes: format_hashes(names) },
            CacheEvent::Removed(names) => EngineEvent::BlockRemoved { block_hashes: format_hashes(names) },
            CacheEvent::AllCleared => EngineEvent::AllBlocksCleared,
        }
    }

    /// Converts to the internal form. Returns `None` if a hash is malformed.
    pub fn read(&self) -> Option<CacheEvent> {
        match self {
            EngineEvent::BlockStored { block_hashes } => parse_hashes(block_hashes).map(CacheEvent::Stored),
            EngineEvent::BlockRemoved { block_hashes } => parse_hashes(block_hashes).map(CacheEvent::Removed),
            EngineEvent::AllBlocksCleared => Some(CacheEvent::AllCleared),
        }
    }
}

/// Formats block hashes as they are written in JSON.
pub fn format_hashes(names: &[BlockHash]) -> Vec<String> {
    names.iter().map(BlockHash::to_string).collect()
}

/// Parses block hashes. Returns `None` if one is malformed.
pub fn parse_hashes(texts: &[String]) -> Option<Vec<BlockHash>> {
    texts.iter().map(|text| text.parse().ok()).collect()
}

/// All blocks that an engine caches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    pub boot: String,
    /// The number of the first event after this snapshot.
    pub next: u64,
    pub block_hashes: Vec<String>,
}

/// An engine's report of its own state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    pub boot: String,
    pub model: String,
    pub weights: u64,
    pub running: u64,
    pub accepting: bool,
    pub highest_term: u64,
    /// The loaded adapters, as `name@revision`.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The maximum number of loaded adapters.
    #[serde(default)]
    pub adapter_places: u64,
}

/// An order from the conductor. As fencing, an engine rejects a term lower than the highest it has seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    pub term: u64,
    pub holder: String,
    #[serde(flatten)]
    pub wish: EngineOrderAction,
}

/// What an order asks the engine to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrderAction {
    Drain,
    Open,
    LoadWeights {
        weights: u64,
    },
    /// Load this adapter, given as `name@revision`, into a free slot while the engine continues to serve.
    LoadAdapter {
        adapter: String,
    },
    /// Unload this adapter. Rejected while a request is using it.
    UnloadAdapter {
        adapter: String,
    },
}

/// A line of an engine's log, from which test runs are checked. Times are boot-time milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum EngineLogLine {
    /// An attempt was started.
    Start(StartLine),
    /// A prompt was prefilled for an attempt that another engine decodes.
    Prefill(StartLine),
    /// Cached blocks were requested for a prompt that another engine serves.
    Asked { at: u64, engine: String },
    /// Work on an attempt ended, either complete or aborted.
    End {
        at: u64,
        engine: String,
        #[serde(rename = "shot")]
        attempt: String,
        pieces: u64,
        whole: bool,
    },
    /// An order was received.
    Order { at: u64, engine: String, holder: String, term: u64, taken: bool, order: String },
}

/// The start of an attempt, or of the prefill for one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartLine {
    pub at: u64,
    pub engine: String,
    #[serde(rename = "shot")]
    pub attempt: String,
    pub salt: String,
    pub weights: u64,
    /// The adapter in use, as `name@revision`; empty for the base model.
    #[serde(default)]
    pub adapter: String,
    pub prompt_blocks: u64,
    pub cached_blocks: u64,
}

/// A completion request as received by an engine, whether or not it was run. For tests that inspect it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReceivedLine {
    pub engine: String,
    #[serde(rename = "shot")]
    pub attempt: String,
    pub request: EngineRequest,
}

/// The text that the stand-in engine generates as piece `index` of an answer. It is a function of prompt, attempt and
/// index, so a test can verify that a piece belongs to all three.
pub fn stand_in_piece(prompt: &str, attempt: &str, index: u64) -> String {
    let piece_hash = BlockHash::of_parts(&[b"piece", prompt.as_bytes(), attempt.as_bytes(), &index.to_le_bytes()]);
    format!("{:06x} ", piece_hash.0 & 0xff_ffff)
}

/// Like [`stand_in_piece`], but the text also depends on the adapter and its revision (empty for the base model).
pub fn stand_in_piece_with_adapter(adapter: &str, prompt: &str, attempt: &str, index: u64) -> String {
    match adapter {
        "" => stand_in_piece(prompt, attempt, index),
        adapter => stand_in_piece(&format!("{adapter}\n{prompt}"), attempt, index),
    }
}
