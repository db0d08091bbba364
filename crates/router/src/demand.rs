//! Reports to the coordinator, through the agent, the rate of requests for each adapter at this router. A lost
//! report is made good by the next one; a router without such requests sends none.

use crate::prelude::*;

/// How often the rates are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports the rates for as long as the program runs.
pub async fn report_demand(
    shared: Arc<SharedState>,
    coordinator: Arc<CoordinatorClient>,
    router: NodeId,
    zone: Zone,
) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let rates = shared.demand(boot_now());
        if !rates.is_empty() {
            coordinator.send(&RouterToAgent::Demand(DemandReport { router, zone: zone.clone(), rates }));
        }
    }
}
