//! Rules 8 to 10: acknowledged states are in force, old weights are retired, and only one holder of a duty sends
//! orders.

use crate::prelude::*;

/// A state is in force at every router with a lease within this time after its acknowledgement.
pub const DESIRED_STATE_LIMIT_MS: u64 = 2_000;
/// No work starts on older weights later than this after newer ones were acknowledged.
pub const WEIGHTS_LIMIT_MS: u64 = 20_000;
/// Minimum time between orders of two different holders to one engine.
pub const HOLDER_GAP_MS: u64 = 3_000;

/// Rule 8: a router's edition never goes back, and a router with a lease has every acknowledged edition in force
/// within the limit.
pub(crate) fn acknowledged_states_in_force(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    let mut highest_editions: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &record.events {
        let EventLine::Sample { at, router, edition, leased, .. } = line else { continue };
        let highest = highest_editions.entry(router).or_insert(0);
        if *edition < *highest {
            found.push(format!("router {router} went back from edition {highest} to {edition}"));
        }
        *highest = (*highest).max(*edition);
        for acked in &record.events {
            let EventLine::Acked { at: acked_at, edition: acked_edition } = acked else { continue };
            if *leased && *at > acked_at + DESIRED_STATE_LIMIT_MS && edition < acked_edition {
                found.push(format!(
                    "router {router} was at edition {edition} {} ms after edition {acked_edition} was acknowledged",
                    at - acked_at
                ));
            }
        }
    }
    found
}

/// Rule 9: no work starts on older weights later than the limit after newer ones were acknowledged.
pub(crate) fn old_weights_retired(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for line in &record.events {
        let EventLine::WeightsAcked { at, weights } = line else { continue };
        for start in record.work_starts().filter(|start| start.weights < *weights) {
            if start.at > at + WEIGHTS_LIMIT_MS {
                found.push(format!(
                    "attempt {} started on weights {} {} ms after newer ones were acknowledged",
                    start.attempt,
                    start.weights,
                    start.at - at
                ));
            }
        }
    }
    found
}

/// Rule 10: orders of two holders to one engine are apart by the minimum time, and no engine accepts an order of an
/// older term.
pub(crate) fn single_holder_orders(record: &Record) -> Vec<String> {
    let mut orders: BTreeMap<&str, Vec<(u64, u64, &str, bool)>> = BTreeMap::new();
    for line in &record.engines {
        if let EngineLogLine::Order { at, engine, holder, term, taken, .. } = line {
            orders.entry(engine).or_default().push((*at, *term, holder, *taken));
        }
    }
    let mut found = Vec::new();
    for (engine, mut engine_orders) in orders {
        engine_orders.sort_by_key(|order| order.0);
        for pair in engine_orders.windows(2) {
            let (earlier, later) = (pair[0], pair[1]);
            if earlier.2 != later.2 && later.0 - earlier.0 < HOLDER_GAP_MS {
                found.push(format!("engine {engine}: orders of two holders within {} ms", later.0 - earlier.0));
            }
            if later.1 < earlier.1 && later.3 {
                found.push(format!(
                    "engine {engine}: accepted an order of term {} after one of term {}",
                    later.1, earlier.1
                ));
            }
        }
    }
    found
}
