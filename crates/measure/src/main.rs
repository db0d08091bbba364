//! Measurements, each by its name; docs/measurements.md tells what they gave and when.

mod fleets;
mod picks;
mod prelude;
mod recovery;
mod trials;

use crate::prelude::*;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "measure",
    about: "Measures a fleet on this machine: picks, overhead, acks, recovery, pile-up, memory or trials.",
    settings: &[setting(
        "what",
        SettingKind::Choice(&["picks", "overhead", "acks", "recovery", "gap", "cuts", "pile-up", "memory", "trials"]),
        None,
        "what to measure",
    )],
};

fn main() -> std::process::ExitCode {
    run_program(&PROGRAM, |settings| {
        let outcome = match settings.text("what")? {
            "picks" => {
                measure_picks();
                Ok(())
            }
            "overhead" => measure_overhead(),
            "acks" => measure_acks(),
            "recovery" => measure_recovery(),
            "gap" => measure_gap(),
            "cuts" => measure_cuts(),
            "pile-up" => measure_pile_up(),
            "trials" => measure_trials(),
            _ => measure_memory(),
        };
        outcome.map_err(|reason| miette!("{reason}"))
    })
}

/// Quarter, half and nine tenths of some figures, and the most.
pub fn spread(figures: &mut [u64]) -> String {
    figures.sort();
    let at =
        |share: usize| figures.get((figures.len() * share / 100).min(figures.len().max(1) - 1)).copied().unwrap_or(0);
    format!("p25 {} p50 {} p90 {} most {}", at(25), at(50), at(90), at(100))
}
