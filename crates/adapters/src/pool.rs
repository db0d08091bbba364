//! The engines that may hold adapters of one model, in one role, and what they told of themselves.

use crate::prelude::*;

/// An engine that has told nothing for so long counts as lost.
pub const SILENT_AFTER: Span = Span::millis(2500);

/// What an engine said of the adapters it holds, and when it was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenEngine {
    /// The life of its process.
    pub boot: String,
    pub resident: Vec<AdapterId>,
    pub places: u64,
    pub at: Instant,
}

impl SeenEngine {
    pub(crate) fn holds(&self, adapter: &AdapterId) -> bool {
        self.resident.contains(adapter)
    }
}

/// An engine that may be given adapters now.
#[derive(Clone, Debug)]
pub(crate) struct PoolEngine {
    pub(crate) name: EngineName,
    pub(crate) zone: Zone,
    pub(crate) region: Region,
    pub(crate) places: usize,
    /// It has other weights than the wanted ones, or is to be drained: its copies will serve nobody.
    pub(crate) is_going: bool,
}

/// What engines share that may stand in for each other.
pub(crate) type PoolName = (ModelName, Role);

/// The engines that serve, on weights not given up, and were heard lately, by model and role.
pub(crate) fn pools(
    state: &FleetState,
    seen: &BTreeMap<EngineName, SeenEngine>,
    old_weights: &OldWeights,
    now: Instant,
) -> BTreeMap<PoolName, Vec<PoolEngine>> {
    let draining = to_be_drained(state);
    let mut pools: BTreeMap<PoolName, Vec<PoolEngine>> = BTreeMap::new();
    for (name, listed) in &state.listing.engines {
        let Some(told) = seen.get(name).filter(|told| now.since(told.at) < SILENT_AFTER) else { continue };
        let Some(model) = state.desired.models.get(&listed.model) else { continue };
        if !serves(state, name, listed) || !old_weights.is_usable(state, name, &listed.model, now) {
            continue;
        }
        let engine = PoolEngine {
            name: name.clone(),
            zone: listed.zone.clone(),
            region: state.desired.region_of(&listed.zone),
            is_going: is_outdated(state, name, model.weights) || draining.contains(name),
            places: model.adapter_places.min(told.places) as usize,
        };
        pools.entry((listed.model.clone(), listed.role)).or_default().push(engine);
    }
    pools
}

/// Whether an engine is listed open and neither drained nor closed for new weights.
pub(crate) fn serves(state: &FleetState, name: &EngineName, listed: &ListedEngine) -> bool {
    let standing = state.engine_statuses.get(name);
    let is_confirmed = standing.is_some_and(|standing| standing.confirmed.is_some() && !standing.closed);
    listed.listed == Listed::Open && is_confirmed && !state.drained.contains(name)
}

fn is_outdated(state: &FleetState, name: &EngineName, wanted: WeightsEdition) -> bool {
    let confirmed = state.engine_statuses.get(name).and_then(|standing| standing.confirmed.as_ref());
    confirmed.is_some_and(|(weights, _)| *weights != wanted)
}

/// The engines that a confirmed plan drains next.
fn to_be_drained(state: &FleetState) -> BTreeSet<&EngineName> {
    let under_way = state.plans.values().filter(|plan| !plan.is_over());
    let drained = under_way.filter_map(|plan| match plan.next_step() {
        Some(Step::Drain { engine }) => Some(engine),
        _ => None,
    });
    drained.collect()
}
