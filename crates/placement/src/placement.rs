//! What is asked of a pick, and what comes out of it.

use crate::prelude::*;

/// A prompt to be placed.
#[derive(Clone, Debug)]
pub struct Prompt {
    pub tenant: TenantName,
    pub kind: String,
    pub model: ModelName,
    /// Its block names, under the salt of each edition in use.
    pub names: BTreeMap<WeightsEdition, Vec<BlockHash>>,
    pub blocks: BlockCount,
    pub outcome_blocks: BlockCount,
    /// From 0 to 99, by which requests of a tenant on trial are told apart.
    pub lot: u64,
    /// Engines already tried for this request.
    pub tried: Vec<EngineName>,
}

/// One candidate's score, with all that went into it.
#[derive(Clone, Debug, PartialEq)]
pub struct Score {
    pub engine: EngineName,
    pub role: Role,
    pub weights: WeightsEdition,
    pub prefill_blocks: BlockCount,
    pub decode_blocks: BlockCount,
    pub weight: f64,
    pub cost: f64,
    /// Whether the overlap came from events (or else from our own history).
    pub by_events: bool,
    /// Could not be reached a moment ago; chosen only if every candidate is such.
    pub is_resting: bool,
    /// Decodes in another zone than ours, which loses ties.
    pub is_far: bool,
}

#[derive(Clone, Debug)]
pub struct Placement {
    pub chosen: Score,
    pub address: String,
    pub candidates: Vec<Score>,
    /// What the default policy would have chosen.
    pub default_engine: EngineName,
    /// What the chosen engine costs more than that one, by the default's weights.
    pub default_excess: f64,
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
    pub engine: EngineName,
    pub address: String,
}
