//! Runs the oracle of each rule over a record.

use crate::prelude::*;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Number of the violated rule.
    pub rule: u8,
    /// Description of the violation.
    pub what: String,
}

/// The oracle of one rule; returns a description of each violation.
type Oracle = fn(&Record) -> Vec<String>;

/// All violations in a record; empty if every rule holds.
pub fn check_record(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    let oracles: [(u8, Oracle); 13] = [
        (1, no_duplicate_runs),
        (2, answers_are_whole),
        (3, streams_are_whole),
        (4, cache_matches_weights),
        (5, cache_respects_walls),
        (6, withdrawn_keys_get_no_work),
        (7, delisted_engines_get_no_requests),
        (8, acknowledged_states_in_force),
        (9, old_weights_retired),
        (10, single_holder_orders),
        (11, retries_within_budget),
        (12, service_recovers),
        (13, adapters_match_tenants),
    ];
    for (rule, check_rule) in oracles {
        violations.extend(check_rule(record).into_iter().map(|what| Violation { rule, what }));
    }
    violations
}
