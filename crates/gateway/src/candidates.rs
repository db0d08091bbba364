//! The engines that may take a request now: of its service and model, listed open, not closed, on weights
//! that may still be used. A service without models has engines without weights.

use crate::prelude::*;

/// The candidates for a service's requests, with the address each is reached at.
pub fn candidates(
    sight: &FleetSnapshot,
    service: &ServiceName,
    model: Option<&ModelName>,
    now: Instant,
) -> Vec<Candidate> {
    let usual = ServiceSpec::default();
    let wish = sight.state.desired.services.get(service).unwrap_or(&usual);
    let listed = sight.state.listing.engines.iter().filter(|(_, listed)| listed.service == *service);
    listed
        .filter_map(|(engine, listed)| {
            Some(Candidate {
                weights: sight.usable_weights_for_named(engine, model, now)?,
                engine: engine.clone(),
                address: listed.address.clone(),
                zone: listed.zone.clone(),
                service: service.clone(),
                slots: if listed.slots > 0 { listed.slots } else { wish.slots },
                cache_tokens: if wish.cache_tokens > 0 { wish.cache_tokens } else { u64::MAX },
            })
        })
        .collect()
}

/// The stores that services of the document name.
pub fn stores(desired: &DesiredState) -> BTreeMap<ServiceName, StoreLocation> {
    let named = desired.services.iter().filter_map(|(service, wish)| {
        let store = wish.store.as_ref()?;
        let place =
            StoreLocation { address: store.address.clone(), zone: store.zone.clone(), link_mbps: wish.link_mbps };
        Some((service.clone(), place))
    });
    named.collect()
}
