//! Runs several hundred fixed seeds of a whole fleet under faults. A failing seed is printed and can be run alone
//! with `simulator --seed N --notes`.

use simulator::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use units::prelude::*;

/// Runs the plans, asserts that no rule is broken, and returns the outcomes.
fn run_without_violations(plans: Vec<RunPlan>) -> Vec<RunOutcome> {
    let outcomes = run_many(&plans);
    let violations: Vec<String> = plans
        .iter()
        .zip(&outcomes)
        .flat_map(|(plan, outcome)| {
            outcome.violations.iter().map(move |violation| format!("seed {}: {violation}", plan.seed))
        })
        .collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    outcomes
}

fn count(outcomes: &[RunOutcome], outcome_name: &str) -> usize {
    outcomes.iter().filter_map(|outcome| outcome.outcomes.get(outcome_name)).sum()
}

#[test]
fn no_seed_breaks_a_rule() {
    let outcomes = run_without_violations((0..320).map(RunPlan::for_seed).collect());
    let starts: usize = outcomes.iter().map(|outcome| outcome.starts).sum();
    assert!(starts > 400_000, "the runs did little: {starts} starts");
    for (outcome_name, least) in [
        ("whole", 300_000),
        ("unknown", 5_000),
        ("cut", 5_000),
        ("claimed", 500),
        ("withdrawn", 200),
        ("cancelled", 20_000),
    ] {
        let seen = count(&outcomes, outcome_name);
        assert!(seen >= least, "{seen} requests ended {outcome_name}");
    }
    let recoveries: Vec<Span> = outcomes.iter().filter_map(|outcome| outcome.recovery).collect();
    assert_eq!(recoveries.len(), outcomes.len(), "every run recovers");
    let longest = recoveries.iter().max().copied().unwrap_or_default();
    assert!(longest < Span::seconds(12), "recovery took {} ms", longest.as_millis());
    assert_coverage(&outcomes);
}

/// Every kind of fault was injected, and most pairs of kinds directly after each other.
fn assert_coverage(outcomes: &[RunOutcome]) {
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    let mut pairs: BTreeSet<(&str, &str)> = BTreeSet::new();
    for outcome in outcomes {
        for kind in &outcome.fault_kinds {
            *kinds.entry(kind).or_default() += 1;
        }
        pairs.extend(outcome.fault_kinds.windows(2).map(|pair| (pair[0], pair[1])));
    }
    let all_kinds = fault_kinds();
    let missing: Vec<&&str> = all_kinds.iter().filter(|kind| !kinds.contains_key(**kind)).collect();
    assert!(missing.is_empty(), "never injected: {missing:?}");
    let least = kinds.values().min().copied().unwrap_or_default();
    assert!(least >= 40, "{kinds:?}");
    let possible = all_kinds.len() * all_kinds.len();
    println!("{} fault kinds, least {least} times; {} of {possible} pairs", all_kinds.len(), pairs.len());
    assert!(pairs.len() * 100 >= possible * 93, "{} of {possible} pairs", pairs.len());
}

#[test]
fn faults_in_quick_succession_break_no_rule() {
    run_without_violations(
        (1000..1100).map(|seed| RunPlan { fault_pause_ms: 300, ..RunPlan::for_seed(seed) }).collect(),
    );
}

#[test]
fn service_recovers_while_a_keeper_receives_nothing_or_one_direction_stays_cut() {
    for (first_seed, lasting) in [(2000, Lasting::DeafKeeper), (2100, Lasting::OneWay)] {
        run_without_violations(
            (first_seed..first_seed + 50).map(|seed| RunPlan { lasting, ..RunPlan::for_seed(seed) }).collect(),
        );
    }
}

#[test]
fn the_core_in_any_event_order_neither_loses_nor_alters_a_committed_change() {
    let plans: Vec<RunPlan> = (0..2000).map(|seed| RunPlan { disorder: true, ..RunPlan::for_seed(seed) }).collect();
    let acks: usize = run_without_violations(plans).iter().map(|outcome| outcome.acks).sum();
    assert!(acks > 50_000, "little was committed: {acks}");
}

/// Every question is answered completely, once, within ten seconds and by its own adapter, while the load shifts
/// between the regions and an engine, a router's node and the conductor are lost.
#[test]
fn a_shift_between_regions_with_losses_leaves_no_question_unanswered() {
    let adapters = AdapterMode::Shift;
    let outcomes =
        run_without_violations((5000..5200).map(|seed| RunPlan { adapters, ..RunPlan::for_seed(seed) }).collect());
    assert!(count(&outcomes, "whole") > 200_000, "{} answers", count(&outcomes, "whole"));
    assert!(outcomes.iter().all(|outcome| outcome.faults == 3), "every run has three losses");
    let warmed: Vec<Span> = outcomes.iter().filter_map(|outcome| outcome.warmed_after).collect();
    assert!(warmed.len() >= 195, "the new region was warmed in {} runs", warmed.len());
    let longest = warmed.iter().max().copied().unwrap_or_default();
    assert!(longest < Span::seconds(20), "warming took {} ms", longest.as_millis());
}

/// All engines that hold one adapter are listed as leaving and all that hold another are drained: every question is
/// answered, and fewer than one attempt is refused per thousand answers.
#[test]
fn engines_that_leave_with_the_last_copies_leave_no_question_unanswered() {
    let adapters = AdapterMode::Leave;
    let outcomes =
        run_without_violations((6000..6040).map(|seed| RunPlan { adapters, ..RunPlan::for_seed(seed) }).collect());
    let (answered, refused) = (count(&outcomes, "whole"), count(&outcomes, "not_run"));
    assert!(answered > 60_000, "{answered} answers");
    assert!(refused * 1000 < answered, "{refused} attempts refused of {answered} answered");
}

/// The adapter binding of a tenant keeps changing, and engines name adapters of other tenants.
#[test]
fn changing_bindings_and_foreign_answers_break_no_rule() {
    let adapters = AdapterMode::Foreign;
    let outcomes =
        run_without_violations((6500..6540).map(|seed| RunPlan { adapters, ..RunPlan::for_seed(seed) }).collect());
    assert!(count(&outcomes, "whole") > 80_000, "{} answers", count(&outcomes, "whole"));
}

#[test]
fn adapter_requests_under_all_faults_break_no_rule() {
    let adapters = AdapterMode::Trouble;
    // Seed 5680: weights were abandoned while no conductor was active.
    let seeds = (5500..5560).chain([5680]);
    let outcomes =
        run_without_violations(seeds.map(|seed| RunPlan { adapters, ..RunPlan::for_seed(seed) }).collect());
    assert!(count(&outcomes, "whole") > 120_000, "{} answers", count(&outcomes, "whole"));
}

/// Guards against rule 5: a tenant that was removed and returned with a wall shared what it had made before.
#[test]
fn tenants_that_leave_and_return_break_no_rule() {
    let plan = |seed| RunPlan { tenants_return: true, ..RunPlan::for_seed(seed) };
    let outcomes = run_without_violations((3_000..3_080).map(plan).collect());
    let starts: usize = outcomes.iter().map(|outcome| outcome.starts).sum();
    assert!(starts > 100_000, "the runs did little: {starts} starts");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let plan = RunPlan { keeps_notes: true, ..RunPlan::for_seed(42) };
    let (first, second) = (run_seed(&plan), run_seed(&plan));
    assert_eq!(first.notes, second.notes);
    assert!(first.faults > 5 && first.acks > 10);
}
