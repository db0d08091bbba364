//! The lines of a recording and their encoding.

use crate::prelude::*;

/// The version of the file format.
pub const FORMAT: u64 = 1;

/// The first line of a recording.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DayHeader {
    /// The version of the file format.
    pub format: u64,
    /// The id of the router that recorded the runs.
    pub router: String,
}

/// A recorded run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedRun {
    /// Wall-clock time of its end in Unix milliseconds, for readers; not used in replay.
    pub at: u64,
    /// When it began, in milliseconds of the router's boot-time clock; gives the pauses between runs.
    pub began: u64,
    /// The name of the run.
    pub run: String,
    /// The tenant.
    pub tenant: String,
    /// The kind of request.
    pub kind: String,
    /// The requested model.
    pub model: String,
    /// The prompt's block hashes for the weights of the last pick; empty if there was none.
    pub block_hashes: Vec<String>,
    /// The size of the prompt in blocks.
    pub prompt_blocks: u64,
    /// The most tokens to generate.
    pub max_tokens: u64,
    /// Whether the answer was streamed.
    pub streams: bool,
    /// Whether the request was allowed to run more than once.
    pub repeatable: bool,
    /// The last pick made for it; `None` if there was none.
    pub pick: Option<RecordedPick>,
    /// The outcome: `whole`, `cut`, `not_run`, `unknown` or `cancelled`.
    pub outcome: String,
    /// The time to the first piece in milliseconds, if it came.
    pub first_ms: Option<u64>,
    /// The time to the end in milliseconds.
    pub total_ms: u64,
}

/// A recorded pick with all that it was based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedPick {
    /// The policy that made the pick.
    pub policy: String,
    /// The engine chosen.
    pub chosen: String,
    /// The engine that the default policy would have chosen.
    pub default_engine: String,
    /// The weights edition of the chosen engine.
    pub weights: u64,
    /// The block hash that decided ties.
    pub tie_name: String,
    /// The scores of all eligible engines.
    pub candidates: Vec<RecordedScore>,
}

/// The score of an engine in a pick.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedScore {
    /// The engine.
    pub engine: String,
    /// The blocks that it would have to prefill.
    pub prefill_blocks: u64,
    /// Blocks that it works on already.
    pub decode_blocks: u64,
    /// The policy's weight of prefill relative to occupancy.
    pub weight: f64,
    /// Its cost; the lowest is chosen.
    pub cost: f64,
    /// Whether its cached prefix is known from events; otherwise from the history of sent blocks.
    pub by_events: bool,
    /// Whether it is a decode engine: scored without the prefix overlap, and the router's own zone wins ties.
    pub decodes: bool,
    /// It is in another zone than the router, and decodes or serves the requested adapter; it loses ties.
    pub is_far: bool,
    /// The part of the cost for being in another region than the router, in blocks.
    #[serde(default)]
    pub distance_blocks: u64,
}

/// Encodes a line of the file, with its checksum.
pub fn write_line<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
}
