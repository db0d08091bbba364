//! Engines: completions, kept-memory events, orders, state.

use crate::prelude::*;

pub const SHOT_HEADER: &str = "x-haremount-shot";
pub const WEIGHTS_HEADER: &str = "x-haremount-weights";
/// The adapter that a request runs on, and that an answer was made on, as `name@revision`; without it the
/// bare model.
pub const ADAPTER_HEADER: &str = "x-haremount-adapter";
/// The error type with which an engine refuses a request, without having begun it, because it does not hold
/// that adapter in that revision.
pub const ADAPTER_NOT_RESIDENT: &str = "adapter_not_resident";
/// How long the attempt may be worked on, in milliseconds; the engine ends it then, unless more was allowed
/// meanwhile by a `POST` to [`attempt_limit_path`].
pub const LIMIT_HEADER: &str = "x-haremount-limit-ms";

/// Where an attempt under way is allowed more time, from that call on.
pub fn attempt_limit_path(attempt: &str) -> String {
    format!("/v1/shots/{attempt}/limit")
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRequest {
    pub model: String,
    pub prompt: String,
    pub max_tokens: u64,
    pub stream: bool,
    pub cache_salt: String,
    /// Kept blocks of this prompt to be fetched before prefill, run after run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fetch: Vec<FetchOrder>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchOrder {
    pub address: String,
    pub block_hashes: Vec<String>,
}

/// What a peer or the store answers: how many of the asked blocks, from the first on, it keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundBlocks {
    pub found: u64,
}

/// Blocks asked for, or put into the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockHashList {
    pub block_hashes: Vec<String>,
}

/// A prompt to be prefilled only, in a split pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrefillRequest {
    pub prompt: String,
    pub cache_salt: String,
}

/// One streamed piece, or with `finish_reason` set the last; also the shape of a whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    pub id: String,
    pub object: String,
    pub model: String,
    pub choices: Vec<Choice>,
    /// The adapter it was made on, as `name@revision`; none for the bare model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    pub index: u64,
    pub text: String,
    pub finish_reason: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    pub prompt_tokens: u64,
    pub completion_tokens: u64,
    /// Prompt tokens served from kept memory.
    pub cached_tokens: u64,
    /// Of those, tokens fetched from a peer or the store for this request.
    #[serde(default)]
    pub fetched_tokens: u64,
}

pub const STREAM_END: &str = "[DONE]";

/// A batch of numbered events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventBatch {
    pub boot: String,
    /// The number of the first event in the batch.
    pub first: u64,
    pub events: Vec<EngineEvent>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type")]
pub enum EngineEvent {
    BlockStored { block_hashes: Vec<String> },
    BlockRemoved { block_hashes: Vec<String> },
    AllBlocksCleared,
}

impl EngineEvent {
    pub fn from_cache_event(event: &CacheEvent) -> EngineEvent {
        match event {
            CacheEvent::Stored(names) => EngineEvent::BlockStored { block_hashes: format_hashes(names) },
            CacheEvent::Removed(names) => EngineEvent::BlockRemoved { block_hashes: format_hashes(names) },
            CacheEvent::AllCleared => EngineEvent::AllBlocksCleared,
        }
    }

    pub fn read(&self) -> Option<CacheEvent> {
        match self {
            EngineEvent::BlockStored { block_hashes } => parse_hashes(block_hashes).map(CacheEvent::Stored),
            EngineEvent::BlockRemoved { block_hashes } => parse_hashes(block_hashes).map(CacheEvent::Removed),
            EngineEvent::AllBlocksCleared => Some(CacheEvent::AllCleared),
        }
    }
}

pub fn format_hashes(names: &[BlockHash]) -> Vec<String> {
    names.iter().map(BlockHash::to_string).collect()
}

pub fn parse_hashes(texts: &[String]) -> Option<Vec<BlockHash>> {
    texts.iter().map(|text| text.parse().ok()).collect()
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    pub boot: String,
    /// The number of the first event after this snapshot.
    pub next: u64,
    pub block_hashes: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    pub boot: String,
    pub model: String,
    pub weights: u64,
    pub running: u64,
    pub accepting: bool,
    pub highest_term: u64,
    /// The adapters it holds, as `name@revision`.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// How many adapters it can hold.
    #[serde(default)]
    pub adapter_places: u64,
}

/// An order of the conductor; an engine refuses a term lower than the highest it has seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    pub term: u64,
    pub holder: String,
    #[serde(flatten)]
    pub wish: EngineOrderAction,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrderAction {
    Drain,
    Open,
    LoadWeights {
        weights: u64,
    },
    /// Hold this adapter, as `name@revision`, in a place that is free; the engine goes on serving.
    LoadAdapter {
        adapter: String,
    },
    /// Hold this adapter no more; refused while a request runs on it.
    UnloadAdapter {
        adapter: String,
    },
}

/// What an engine logs for whoever judges a run; instants are boot-time milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum EngineLogLine {
    Start(StartLine),
    /// A prompt is prefilled for an attempt that another engine decodes.
    Prefill(StartLine),
    /// Kept blocks were asked for, for a prompt that another engine serves.
    Asked {
        at: u64,
        engine: String,
    },
    /// The work on an attempt is over: whole, or ended before that.
    End {
        at: u64,
        engine: String,
        #[serde(rename = "shot")]
        attempt: String,
        pieces: u64,
        whole: bool,
    },
    Order {
        at: u64,
        engine: String,
        holder: String,
        term: u64,
        taken: bool,
        order: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartLine {
    pub at: u64,
    pub engine: String,
    #[serde(rename = "shot")]
    pub attempt: String,
    pub salt: String,
    pub weights: u64,
    /// The adapter it runs on, as `name@revision`; empty for the bare model.
    #[serde(default)]
    pub adapter: String,
    pub prompt_blocks: u64,
    pub cached_blocks: u64,
}

/// A completion request as it reached an engine, whether it ran or not, for tests that look at it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReceivedLine {
    pub engine: String,
    #[serde(rename = "shot")]
    pub attempt: String,
    pub request: EngineRequest,
}

/// What the stand-in engine says as piece `place` of a run: any reader can tell whether a piece
/// belongs to this prompt, this attempt and this place.
pub fn stand_in_piece(prompt: &str, attempt: &str, place: u64) -> String {
    let piece_hash = BlockHash::of_parts(&[b"piece", prompt.as_bytes(), attempt.as_bytes(), &place.to_le_bytes()]);
    format!("{:06x} ", piece_hash.0 & 0xff_ffff)
}

/// The same under an adapter: any reader can tell which adapter and revision a piece was made on.
pub fn stand_in_piece_with_adapter(adapter: &str, prompt: &str, attempt: &str, place: u64) -> String {
    match adapter {
        "" => stand_in_piece(prompt, attempt, place),
        adapter => stand_in_piece(&format!("{adapter}\n{prompt}"), attempt, place),
    }
}
