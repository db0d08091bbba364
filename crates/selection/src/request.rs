//! The input and the result of a selection.

use crate::prelude::*;

/// An engine that the caller permits: it is listed, belongs to the right service, runs usable weights and is not
/// drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub engine: EngineName,
    pub address: String,
    pub zone: Zone,
    pub service: ServiceName,
    pub slots: u64,
    /// Memory shared by running requests and cached parts.
    pub cache_tokens: u64,
    pub weights: WeightsEdition,
}

/// A request that needs an engine.
#[derive(Clone, Debug)]
pub struct SelectionRequest {
    /// The prompt's parts and their sizes in tokens, named with the salt of each weights edition in use.
    pub parts_by_weights: BTreeMap<WeightsEdition, Vec<(PartName, u64)>>,
    pub prompt_tokens: u64,
    /// The upper bound of the output.
    pub output_tokens: u64,
    /// Engines already tried for this request.
    pub tried: Vec<EngineName>,
    /// 0 is the most urgent. Urgency never overrides an engine's bounds. A less urgent request accepts a shorter
    /// queue and gets a longer retry delay if it is refused.
    pub priority: u64,
    /// The target for the time to the first token; zero means no target.
    pub target: Span,
    pub block_tokens: u64,
    /// Orders engines of equal cost; the same for requests that share a prefix.
    pub tie_break_seed: u64,
    /// Seeds the random sample of engines; differs for each request.
    pub sampling_seed: u64,
    /// Added to the cost of an engine in another zone than the node's.
    pub zone_penalty_blocks: f64,
    /// Bytes transferred for each token of a cached part.
    pub token_bytes: u64,
    /// The bandwidth of the engines' links.
    pub link_mbps: f64,
}

impl SelectionRequest {
    /// The upper bound of the request's use of an engine's memory, in tokens.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }

    pub(crate) fn parts(&self, weights: WeightsEdition) -> &[(PartName, u64)] {
        self.parts_by_weights.get(&weights).map_or(&[], Vec::as_slice)
    }
}

/// The result of a selection.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    Chosen(Chosen),
    /// No engine can accept the request now; one is estimated to after the delay.
    Refused {
        retry_after: Span,
    },
}

/// The chosen engine and the inputs of its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    pub engine: EngineName,
    pub address: String,
    pub weights: WeightsEdition,
    pub prefill_blocks: BlockCount,
    pub decode_blocks: BlockCount,
    /// The tokens that the engine must prefill: neither cached there nor fetched.
    pub prefill_tokens: u64,
    pub cost: f64,
    /// Whether the cached tokens are known from the engine's events; otherwise from the parts that this node sent.
    pub by_events: bool,
    /// No slot or memory is known to be free, so the request will wait at the engine.
    pub is_queued: bool,
    pub fetch: Option<FetchSource>,
    /// The store to which the engine sends the parts after prefill.
    pub sink: Option<String>,
}
