//! Rules 8 to 10: acknowledged states hold, old weights end, and one holder alone orders.

use crate::prelude::*;

/// Within this after its acknowledgement, a state is in force at every leased router.
pub const DESIRED_STATE_LIMIT_MS: u64 = 2_000;
/// So long after newer weights were acknowledged, nothing begins on older ones any more.
pub const WEIGHTS_LIMIT_MS: u64 = 20_000;
/// Between the orders of two holders to one engine there is at least this.
pub const HOLDER_GAP_MS: u64 = 3_000;

pub(crate) fn desired_states_hold(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    let mut shown: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &record.events {
        let EventLine::Sample { at, router, edition, leased, .. } = line else { continue };
        let highest = shown.entry(router).or_insert(0);
        if *edition < *highest {
            found.push(format!("router {router} fell back from edition {highest} to {edition}"));
        }
        *highest = (*highest).max(*edition);
        for acked in &record.events {
            let EventLine::Acked { at: acked_at, edition: acked_edition } = acked else { continue };
            if *leased && *at > acked_at + DESIRED_STATE_LIMIT_MS && edition < acked_edition {
                found.push(format!(
                    "router {router} served edition {edition} {} ms after {acked_edition}",
                    at - acked_at
                ));
            }
        }
    }
    found
}

pub(crate) fn old_weights_end(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for line in &record.events {
        let EventLine::WeightsAcked { at, weights } = line else { continue };
        for start in record.work_starts().filter(|start| start.weights < *weights) {
            if start.at > at + WEIGHTS_LIMIT_MS {
                found.push(format!(
                    "attempt {} began on weights {} {} ms late",
                    start.attempt,
                    start.weights,
                    start.at - at
                ));
            }
        }
    }
    found
}

pub(crate) fn one_holder_orders(record: &Record) -> Vec<String> {
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
                found.push(format!("engine {engine}: two holders within {} ms", later.0 - earlier.0));
            }
            if later.1 < earlier.1 && later.3 {
                found.push(format!("engine {engine}: took term {} after {}", later.1, earlier.1));
            }
        }
    }
    found
}
