//! One judge for each of the rules.

use crate::prelude::*;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule's number.
    pub rule: u8,
    /// What broke it.
    pub what: String,
}

/// What one rule's judge found.
type Judge = fn(&Record) -> Vec<String>;

/// Everything that broke a rule; empty for a clean run.
pub fn check_record(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    let judges: [(u8, Judge); 13] = [
        (1, runs_once),
        (2, answers_are_whole),
        (3, streams_are_whole),
        (4, memory_is_of_its_weights),
        (5, memory_keeps_to_walls),
        (6, withdrawn_keys_do_nothing),
        (7, engines_listed_away_get_nothing),
        (8, desired_states_hold),
        (9, old_weights_end),
        (10, one_holder_orders),
        (11, retries_are_few),
        (12, service_returns),
        (13, adapters_are_own),
    ];
    for (rule, judge_rule) in judges {
        violations.extend(judge_rule(record).into_iter().map(|what| Violation { rule, what }));
    }
    violations
}
