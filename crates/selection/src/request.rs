//! What a selection is given and what it answers.

use crate::prelude::*;

/// An engine that the caller allows: listed, of the right service, on usable weights, not drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub engine: EngineName,
    pub address: String,
    pub zone: Zone,
    pub service: ServiceName,
    pub slots: u64,
    /// Memory shared by running requests and kept parts.
    pub cache_tokens: u64,
    pub weights: WeightsEdition,
}

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct SelectionRequest {
    /// The prompt's parts and their sizes, named under the salt of each edition in use.
    pub parts_by_weights: BTreeMap<WeightsEdition, Vec<(PartName, u64)>>,
    pub prompt_tokens: u64,
    /// The most it puts out.
    pub output_tokens: u64,
    /// Engines already tried for this request.
    pub tried: Vec<EngineName>,
    /// 0 is the most urgent. It never lets a request past another engine's bounds; when refused, a less
    /// urgent one is told a later time.
    pub priority: u64,
    /// The time within which its answer should begin; none if that is zero.
    pub target: Span,
    pub block_tokens: u64,
    /// By which equal costs are spread: the same for requests that share a prefix.
    pub tie_break_seed: u64,
    /// Seeds the random sample of engines; differs for each request.
    pub sampling_seed: u64,
    /// Added to the cost of an engine in another zone than the node's.
    pub zone_penalty_blocks: f64,
    /// Bytes moved for a token of a kept part.
    pub token_bytes: u64,
    /// The engines' links.
    pub link_mbps: f64,
}

impl SelectionRequest {
    /// What the request takes of an engine's memory at most.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }

    pub(crate) fn parts(&self, weights: WeightsEdition) -> &[(PartName, u64)] {
        self.parts_by_weights.get(&weights).map_or(&[], Vec::as_slice)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    Chosen(Chosen),
    /// No engine can take it now. The time is an estimate of when one may.
    Refused {
        retry_after: Span,
    },
}

/// The engine chosen, with all that went into its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    pub engine: EngineName,
    pub address: String,
    pub weights: WeightsEdition,
    pub prefill_blocks: BlockCount,
    pub decode_blocks: BlockCount,
    /// What the engine has to read of the prompt itself: neither kept there nor fetched.
    pub prefill_tokens: u64,
    pub cost: f64,
    /// Whether the overlap came from events, or else from the node's own history.
    pub by_events: bool,
    /// The engine has no place free as far as is known, so the request will wait there.
    pub is_queued: bool,
    pub fetch: Option<FetchSource>,
    /// The store that is to get the parts once they are read.
    pub sink: Option<String>,
}
