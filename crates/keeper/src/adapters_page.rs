//! The operators' page on adapters: active revisions, copies at engines, and request rates by region.

use crate::prelude::*;

/// Every adapter of the document with its copies and its request rates by region.
pub(crate) fn show_adapters(state: &FleetState, demand: &[AgedDemandReport]) -> Value {
    let adapters: Vec<Value> = state
        .desired
        .adapters
        .iter()
        .map(|(name, adapter)| {
            let owners: Vec<&str> = adapter.owners.iter().map(TenantName::as_str).collect();
            json!({"name": name.as_str(), "model": adapter.model.as_str(), "owners": owners,
                   "revision": adapter.revision.0, "in_force": state.adapters.active_revisions.get(name).map(|revision| revision.0),
                   "copies": copies_json(state, name), "requests_a_minute": demand_json(state, name, demand)})
        })
        .collect();
    json!({ "adapters": adapters })
}

fn copies_json(state: &FleetState, name: &AdapterName) -> Vec<Value> {
    let mut values = Vec::new();
    for (engine, copies) in &state.adapters.copies {
        let zone = state.listing.engines.get(engine).map(|listed| listed.zone.clone()).unwrap_or_default();
        for copy in copies.iter().filter(|copy| copy.adapter.name == *name) {
            let stage = match copy.stage {
                CopyStage::Loading => "loading",
                CopyStage::Warm { .. } => "warm",
                CopyStage::Leaving => "leaving",
            };
            values.push(json!({"engine": engine.as_str(), "revision": copy.adapter.revision.0, "stage": stage,
                              "zone": zone.as_str(), "region": state.desired.region_of(&zone).as_str()}));
        }
    }
    values
}

fn demand_json(state: &FleetState, name: &AdapterName, demand: &[AgedDemandReport]) -> Value {
    let mut rates: BTreeMap<String, f64> = BTreeMap::new();
    for AgedDemandReport { report, .. } in demand {
        if let Some(rate) = report.rates.get(name) {
            let region = state.desired.region_of(&report.zone);
            *rates.entry(region.0).or_default() += *rate as f64 / RATE_UNIT;
        }
    }
    json!(rates)
}
