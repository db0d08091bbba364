//! What is asked of a pick, and what comes out of it.

use crate::prelude::*;

/// A prompt to be placed.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Whose prompt it is.
    pub tenant: TenantName,
    /// The kind of request, which policies tell apart.
    pub kind: String,
    /// The model asked for.
    pub model: ModelName,
    /// The adapter it runs on, alone; none for the bare model.
    pub adapter: Option<AdapterId>,
    /// Its block names, under the salt of each edition in use.
    pub names: BTreeMap<WeightsEdition, Vec<BlockHash>>,
    /// How many blocks it has.
    pub blocks: BlockCount,
    /// How many blocks its answer may add.
    pub output_blocks: BlockCount,
    /// From 0 to 99, by which requests of a tenant on trial are told apart.
    pub trial_bucket: u64,
    /// Engines already tried for this request.
    pub tried: Vec<EngineName>,
}

/// One candidate's score, with all that went into it.
#[derive(Clone, Debug, PartialEq)]
pub struct Score {
    /// The candidate.
    pub engine: EngineName,
    /// What it does in its pool.
    pub role: Role,
    /// The weights it would serve with.
    pub weights: WeightsEdition,
    /// Blocks of the prompt that it lacks.
    pub prefill_blocks: BlockCount,
    /// Blocks it works on already.
    pub decode_blocks: BlockCount,
    /// The policy's weight of prefill against occupancy.
    pub weight: f64,
    /// The cost by the formula; the lowest is chosen.
    pub cost: f64,
    /// Whether the overlap came from events (or else from our own history).
    pub by_events: bool,
    /// Could not be reached a moment ago; chosen only if every candidate is such.
    pub is_resting: bool,
    /// Decodes in another zone than ours, or stands in another zone with the adapter asked for, which loses
    /// ties.
    pub is_far: bool,
    /// What is added to the cost for standing in another region than ours, in blocks.
    pub distance_blocks: u64,
}

/// Where a prompt goes, and why.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The engine chosen, with its score.
    pub chosen: Score,
    /// Its address.
    pub address: String,
    /// All that passed, cheapest first.
    pub candidates: Vec<Score>,
    /// What the default policy would have chosen.
    pub default_engine: EngineName,
    /// What the chosen engine costs more than that one, by the default's weights.
    pub default_excess: f64,
    /// The policy that decided.
    pub policy: String,
    /// Where the chosen engine gets blocks it lacks; the rest it prefills.
    pub fetches: Vec<FetchRun>,
    /// In a split pool: the engine that prefills before the chosen one decodes.
    pub prefill: Option<PrefillPlace>,
    /// The block name by which ties were spread.
    pub tie_name: BlockHash,
}

/// Where a prompt is prefilled in a split pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillPlace {
    /// The engine that prefills.
    pub engine: EngineName,
    /// Its address.
    pub address: String,
}
