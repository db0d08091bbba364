//! Tells the core, through the agent, which adapters' requests arrive here. What is lost on the way is said
//! again a moment later; a router without such requests says nothing.

use crate::prelude::*;

const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Tells as long as the program runs.
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
            coordinator.say(&RouterToAgent::Demand(DemandReport { router, zone: zone.clone(), rates }));
        }
    }
}
