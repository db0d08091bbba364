//! Command line of the simulator: runs a range of seeds and prints totals, or the notes of each run.

use process::prelude::*;
use simulator::prelude::*;
use std::collections::BTreeMap;
use units::prelude::*;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "simulator",
    about: "Simulates the fleet's state machines under seeded faults in virtual time.",
    settings: &[
        setting("seed", SettingKind::Integer(0, 1 << 53), Some("1"), "the first seed"),
        setting("count", SettingKind::Integer(1, 1_000_000), Some("1"), "how many seeds"),
        setting("trouble_s", SettingKind::Integer(1, 600), Some("30"), "how long faults are injected"),
        setting("pause_ms", SettingKind::Integer(1, 60_000), Some("1500"), "mean pause between faults"),
        setting(
            "lasting",
            SettingKind::Choice(&["nothing", "deaf", "one-way"]),
            Some("nothing"),
            "a network cut that stays to the end",
        ),
        setting("disorder", SettingKind::Flag, None, "the core alone, with events in any order"),
        setting(
            "adapters",
            SettingKind::Choice(&["nothing", "trouble", "foreign", "shift", "leave"]),
            Some("nothing"),
            "requests for adapters: under all faults, also with foreign answers and changing bindings, or in a shift between regions with losses or leaving engines",
        ),
        setting("returns", SettingKind::Flag, None, "operators remove tenants, who return with a wall or without"),
        setting("notes", SettingKind::Flag, None, "print notes of what happened"),
    ],
};

fn main() -> std::process::ExitCode {
    run_program(&PROGRAM, |settings| {
        let fault_pause_ms = settings.whole("pause_ms")?;
        let lasting = match settings.text("lasting")? {
            "deaf" => Lasting::DeafKeeper,
            "one-way" => Lasting::OneWay,
            _ => Lasting::Nothing,
        };
        let adapters = match settings.text("adapters")? {
            "trouble" => AdapterMode::Trouble,
            "foreign" => AdapterMode::Foreign,
            "shift" => AdapterMode::Shift,
            "leave" => AdapterMode::Leave,
            _ => AdapterMode::Nothing,
        };
        let disorder = settings.flag("disorder");
        let tenants_return = settings.flag("returns");
        let first_seed = settings.whole("seed")?;
        let fault_span = Span::seconds(settings.whole("trouble_s")?);
        let keeps_notes = settings.flag("notes");
        let plans: Vec<RunPlan> = (first_seed..first_seed + settings.whole("count")?)
            .map(|seed| RunPlan {
                fault_span,
                fault_pause_ms,
                lasting,
                keeps_notes,
                disorder,
                adapters,
                tenants_return,
                ..RunPlan::for_seed(seed)
            })
            .collect();
        let mut totals = Totals::default();
        for batch in plans.chunks(64) {
            for (plan, outcome) in batch.iter().zip(run_many(batch)) {
                print(plan, &outcome);
                totals.add(outcome);
            }
        }
        totals.print();
        let broken_count = totals.broken_count;
        if broken_count == 0 { Ok(()) } else { Err(miette!("{broken_count} seeds broke a rule")) }
    })
}

fn print(plan: &RunPlan, outcome: &RunOutcome) {
    outcome.notes.iter().for_each(|line| println!("{line}"));
    if !plan.keeps_notes && outcome.violations.is_empty() {
        return;
    }
    println!(
        "seed {}: {} violations, {} starts, {} acks, {} faults, recovery {:?} ms",
        plan.seed,
        outcome.violations.len(),
        outcome.starts,
        outcome.acks,
        outcome.faults,
        outcome.recovery.map(Span::as_millis),
    );
    for violation in outcome.violations.iter().take(5) {
        println!("  {violation}");
    }
}

/// Totals over many runs.
#[derive(Default)]
struct Totals {
    runs: usize,
    broken_count: usize,
    starts: usize,
    recoveries: Vec<Span>,
    outcomes: BTreeMap<String, usize>,
    /// How many runs broke each rule.
    rules: BTreeMap<u8, usize>,
    kinds: BTreeMap<&'static str, usize>,
    warmed: Vec<Span>,
    loads: u64,
}

impl Totals {
    fn add(&mut self, outcome: RunOutcome) {
        self.runs += 1;
        self.broken_count += usize::from(!outcome.violations.is_empty());
        self.starts += outcome.starts;
        self.recoveries.extend(outcome.recovery);
        self.warmed.extend(outcome.warmed_after);
        self.loads += outcome.loads;
        for rule in outcome.broken_rules() {
            *self.rules.entry(rule).or_default() += 1;
        }
        for (named, count) in outcome.outcomes {
            *self.outcomes.entry(named).or_default() += count;
        }
        for kind in outcome.fault_kinds {
            *self.kinds.entry(kind).or_default() += 1;
        }
    }

    fn print(&mut self) {
        self.recoveries.sort();
        let percentile = |share: usize| {
            self.recoveries.get(self.recoveries.len() * share / 100).map_or(0, |span| span.as_millis())
        };
        let most = self.recoveries.last().map_or(0, |span| span.as_millis());
        println!("runs {} starts {} recovered {}", self.runs, self.starts, self.recoveries.len());
        println!("recovery ms: p50 {} p90 {} p99 {} most {most}", percentile(50), percentile(90), percentile(99));
        if self.loads > 0 {
            self.warmed.sort();
            let warmed =
                |share: usize| self.warmed.get(self.warmed.len() * share / 100).map_or(0, |span| span.as_millis());
            let most = self.warmed.last().map_or(0, |span| span.as_millis());
            println!(
                "adapters: {} loads; warm in the new region in {} runs, ms after the shift began: p50 {} p90 {} most {most}",
                self.loads,
                self.warmed.len(),
                warmed(50),
                warmed(90)
            );
        }
        println!("outcomes {:?}", self.outcomes);
        println!("faults {:?}", self.kinds);
        for (rule, count) in &self.rules {
            println!("rule {rule} broken in {count} of {} runs", self.runs);
        }
    }
}
