//! Some hundred fixed seeds of the whole coordination under faults. A seed that fails is printed and
//! can be run alone: `simulator --seed N --notes`.

use simulator::prelude::*;
use units::prelude::*;

/// Plays seeds on a few threads and returns every complaint with its seed.
fn play_all(plans: Vec<RunPlan>) -> (Vec<String>, usize, Vec<Span>) {
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get());
    let mut complaints = Vec::new();
    let mut starts = 0;
    let mut recoveries = Vec::new();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|worker| {
                let own_plans: Vec<RunPlan> = plans.iter().skip(worker).step_by(threads).cloned().collect();
                scope.spawn(move || own_plans.into_iter().map(|plan| (plan.seed, play(&plan))).collect::<Vec<_>>())
            })
            .collect();
        for worker in workers {
            for (seed, outcome) in worker.join().unwrap() {
                starts += outcome.starts;
                recoveries.extend(outcome.recovery);
                complaints.extend(outcome.violations.iter().map(|violation| format!("seed {seed}: {violation}")));
            }
        }
    });
    (complaints, starts, recoveries)
}

#[test]
fn no_seed_breaks_a_rule() {
    let plans: Vec<RunPlan> = (0..400).map(RunPlan::of).collect();
    let plan_count = plans.len();
    let (complaints, starts, recoveries) = play_all(plans);
    assert!(complaints.is_empty(), "{}", complaints.join("\n"));
    assert!(starts > 500_000, "the runs did little: {starts} starts");
    assert_eq!(recoveries.len(), plan_count, "every run recovers");
    let longest = recoveries.iter().max().copied().unwrap_or_default();
    assert!(longest < Span::seconds(12), "recovery took {} ms", longest.as_millis());
}

#[test]
fn faults_in_quick_succession_break_no_rule() {
    let plans = (1000..1100).map(|seed| RunPlan { fault_pause_ms: 300, ..RunPlan::of(seed) }).collect();
    let (complaints, _, _) = play_all(plans);
    assert!(complaints.is_empty(), "{}", complaints.join("\n"));
}

#[test]
fn service_returns_though_a_keeper_stays_deaf_or_a_way_stays_cut() {
    for (first_seed, lasting) in [(2000, Lasting::DeafKeeper), (2100, Lasting::OneWay)] {
        let plans = (first_seed..first_seed + 60).map(|seed| RunPlan { lasting, ..RunPlan::of(seed) }).collect();
        let (complaints, _, _) = play_all(plans);
        assert!(complaints.is_empty(), "{lasting:?}: {}", complaints.join("\n"));
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let plan = RunPlan { keeps_notes: true, ..RunPlan::of(42) };
    let (first, second) = (play(&plan), play(&plan));
    assert_eq!(first.notes, second.notes);
    assert!(first.faults > 5 && first.acks > 10);
}
