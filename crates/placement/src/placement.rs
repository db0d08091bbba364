//! The input and the result of a pick.

use crate::prelude::*;

/// A prompt that needs an engine.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The tenant that sent it.
    pub tenant: TenantName,
    /// The kind of request, which policies can match.
    pub kind: String,
    /// The requested model.
    pub model: ModelName,
    /// The requested adapter; none for the base model.
    pub adapter: Option<AdapterId>,
    /// Its block names, with the salt of each weights edition in use.
    pub names: BTreeMap<WeightsEdition, Vec<BlockHash>>,
    /// The number of its blocks.
    pub blocks: BlockCount,
    /// The maximum number of blocks of its answer.
    pub output_blocks: BlockCount,
    /// From 0 to 99; decides whether a prompt of a tenant on trial uses the trial policy.
    pub trial_bucket: u64,
    /// Engines already tried for this request.
    pub tried: Vec<EngineName>,
}

/// The score of a candidate and its inputs.
#[derive(Clone, Debug, PartialEq)]
pub struct Score {
    /// The candidate.
    pub engine: EngineName,
    /// Its role in the pool.
    pub role: Role,
    /// The weights it would serve with.
    pub weights: WeightsEdition,
    /// Blocks of the prompt that it doesn't cache.
    pub prefill_blocks: BlockCount,
    /// Blocks that it works on already.
    pub decode_blocks: BlockCount,
    /// The policy's weight of prefill relative to occupancy.
    pub weight: f64,
    /// The cost; the candidate with the lowest is chosen.
    pub cost: f64,
    /// Whether the cached prefix is known from events; otherwise from the history of sent blocks.
    pub by_events: bool,
    /// It could not be reached recently; chosen only if this holds for every candidate.
    pub is_backing_off: bool,
    /// It is in another zone than this router's, and decodes or serves the requested adapter. Such an engine loses
    /// ties.
    pub is_far: bool,
    /// The part of the cost for being in another region than this router's, in blocks.
    pub distance_blocks: u64,
}

/// The engine for a prompt, and the reasons for it.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The engine chosen, with its score.
    pub chosen: Score,
    /// Its address.
    pub address: String,
    /// All eligible engines, cheapest first.
    pub candidates: Vec<Score>,
    /// The engine that the default policy would have chosen.
    pub default_engine: EngineName,
    /// The additional cost of the chosen engine over that one, by the default policy.
    pub default_excess: f64,
    /// The policy that decided.
    pub policy: String,
    /// The blocks that the chosen engine fetches; it prefills the rest.
    pub fetches: Vec<FetchRun>,
    /// In a disaggregated pool: the engine that prefills before the chosen one decodes.
    pub prefill: Option<PrefillPlace>,
    /// The block name that decided ties.
    pub tie_name: BlockHash,
}

/// The engine that prefills a prompt in a disaggregated pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillPlace {
    /// The engine that prefills.
    pub engine: EngineName,
    /// Its address.
    pub address: String,
}
