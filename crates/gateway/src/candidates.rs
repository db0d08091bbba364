//! The engines that may serve a request now: of its service and model, listed as open, not closed, with weights
//! that may still be used. The engines of a service without models have no weights.

use crate::prelude::*;

/// The candidates for a service's requests, with their addresses.
pub fn candidates(
    snapshot: &FleetSnapshot,
    service: &ServiceName,
    model: Option<&ModelName>,
    now: Instant,
) -> Vec<Candidate> {
    let default_spec = ServiceSpec::default();
    let spec = snapshot.state.desired.services.get(service).unwrap_or(&default_spec);
    let listed = snapshot.state.listing.engines.iter().filter(|(_, listed)| listed.service == *service);
    listed
        .filter_map(|(engine, listed)| {
            Some(Candidate {
                weights: snapshot.usable_weights_for_named(engine, model, now)?,
                engine: engine.clone(),
                address: listed.address.clone(),
                zone: listed.zone.clone(),
                service: service.clone(),
                slots: if listed.slots > 0 { listed.slots } else { spec.slots },
                cache_tokens: if spec.cache_tokens > 0 { spec.cache_tokens } else { u64::MAX },
            })
        })
        .collect()
}

/// The stores configured in the desired state, by service.
pub fn stores(desired: &DesiredState) -> BTreeMap<ServiceName, StoreLocation> {
    let locations = desired.services.iter().filter_map(|(service, spec)| {
        let store = spec.store.as_ref()?;
        let location =
            StoreLocation { address: store.address.clone(), zone: store.zone.clone(), link_mbps: spec.link_mbps };
        Some((service.clone(), location))
    });
    locations.collect()
}
