//! Logs when this router stops using superseded weights, and why not sooner.

use crate::prelude::*;

/// How often the deadlines are read while some weights are about to be given up; disturbances may move them.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Logs each superseded edition once this router no longer uses it.
pub async fn log_given_up_weights(shared: Arc<SharedState>) {
    let mut changes = shared.subscribe();
    let mut in_use: BTreeMap<(ModelName, WeightsEdition), Instant> = BTreeMap::new();
    loop {
        changes.borrow_and_update();
        let snapshot = shared.snapshot();
        let now = boot_now();
        for (edition, until) in snapshot.old_weights_deadlines.iter().filter(|(_, until)| now < **until) {
            in_use.entry(edition.clone()).or_insert(*until);
        }
        in_use.retain(|(model, weights), first_deadline| {
            let until = snapshot.old_weights_until(model, *weights).max(*first_deadline);
            if now < until {
                return true;
            }
            let lengthened = until.since(*first_deadline);
            event!(
                info,
                "weights_given_up",
                model = model,
                weights = weights,
                lengthened_ms = lengthened.as_millis()
            );
            false
        });
        match in_use.is_empty() {
            true => {
                let _ = changes.changed().await;
            }
            false => tokio::time::sleep(CHECK_INTERVAL).await,
        }
    }
}
