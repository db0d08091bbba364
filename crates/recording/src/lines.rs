//! The lines.

use crate::prelude::*;

pub const FORMAT: u64 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DayHeader {
    pub format: u64,
    pub router: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedRun {
    /// Wall time, for people.
    pub at: u64,
    /// Boot-time milliseconds of the router, for pauses between runs.
    pub began: u64,
    pub run: String,
    pub tenant: String,
    pub kind: String,
    pub model: String,
    pub block_hashes: Vec<String>,
    pub prompt_blocks: u64,
    pub max_tokens: u64,
    pub streams: bool,
    pub repeatable: bool,
    /// The last pick made for it; nothing if none was.
    pub pick: Option<RecordedPick>,
    pub outcome: String,
    pub first_ms: Option<u64>,
    pub total_ms: u64,
}

/// A pick with all it was made from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedPick {
    pub policy: String,
    pub chosen: String,
    pub default_engine: String,
    pub weights: u64,
    /// The block name by which ties were spread.
    pub tie_name: String,
    pub candidates: Vec<RecordedScore>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedScore {
    pub engine: String,
    pub prefill_blocks: u64,
    pub decode_blocks: u64,
    pub weight: f64,
    pub cost: f64,
    pub by_events: bool,
    /// A decoding engine is scored without overlap, and our own zone breaks its ties.
    pub decodes: bool,
    pub is_far: bool,
    /// What the cost holds for another region, in blocks.
    #[serde(default)]
    pub distance_blocks: u64,
}

/// A line as it stands in the file, with its checksum.
pub fn write_line<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
}
