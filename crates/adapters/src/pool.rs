//! The engines that may hold adapters of one model in one role, and the reports of what they hold.

use crate::prelude::*;

/// An engine that has not reported for this long counts as lost.
pub const SILENT_AFTER: Span = Span::millis(2500);

/// An engine's report of the adapters it holds, and when it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterReport {
    /// Identifies the running process of the engine; a restart changes it.
    pub boot: String,
    pub resident: Vec<AdapterId>,
    pub places: u64,
    pub at: Instant,
}

impl AdapterReport {
    pub(crate) fn holds(&self, adapter: &AdapterId) -> bool {
        self.resident.contains(adapter)
    }
}

/// An engine that may be assigned adapters now.
#[derive(Clone, Debug)]
pub(crate) struct PoolEngine {
    pub(crate) name: EngineName,
    pub(crate) zone: Zone,
    pub(crate) region: Region,
    pub(crate) places: usize,
    /// The engine has outdated weights or is about to be drained, so its copies will soon be unused.
    pub(crate) is_retiring: bool,
}

/// The model and role that interchangeable engines share.
pub(crate) type PoolKey = (ModelName, Role);

/// The engines that serve on usable weights and reported lately, by model and role.
pub(crate) fn pools(
    state: &FleetState,
    seen: &BTreeMap<EngineName, AdapterReport>,
    old_weights: &OldWeights,
    now: Instant,
) -> BTreeMap<PoolKey, Vec<PoolEngine>> {
    let draining = to_be_drained(state);
    let mut pools: BTreeMap<PoolKey, Vec<PoolEngine>> = BTreeMap::new();
    for (name, listed) in &state.listing.engines {
        let Some(report) = seen.get(name).filter(|report| now.since(report.at) < SILENT_AFTER) else { continue };
        let Some(model) = state.desired.models.get(&listed.model) else { continue };
        if !serves(state, name, listed) || !old_weights.is_usable(state, name, &listed.model, now) {
            continue;
        }
        let engine = PoolEngine {
            name: name.clone(),
            zone: listed.zone.clone(),
            region: state.desired.region_of(&listed.zone),
            is_retiring: is_outdated(state, name, model.weights) || draining.contains(name),
            places: model.adapter_places.min(report.places) as usize,
        };
        pools.entry((listed.model.clone(), listed.role)).or_default().push(engine);
    }
    pools
}

/// Whether an engine is listed as open, confirmed, and neither drained nor closed for new weights.
pub(crate) fn serves(state: &FleetState, name: &EngineName, listed: &ListedEngine) -> bool {
    let status = state.engine_statuses.get(name);
    let is_confirmed = status.is_some_and(|status| status.confirmed.is_some() && !status.closed);
    listed.listed == Listed::Open && is_confirmed && !state.drained.contains(name)
}

fn is_outdated(state: &FleetState, name: &EngineName, wanted: WeightsEdition) -> bool {
    let confirmed = state.engine_statuses.get(name).and_then(|status| status.confirmed.as_ref());
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
