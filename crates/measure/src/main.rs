//! The `measure` program: runs one measurement by name. docs/measurements.md lists the results with their dates.

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

/// Formats the p25, p50, p90 and maximum of some figures.
pub fn quantiles_text(figures: &mut [u64]) -> String {
    figures.sort();
    let at = |percent: usize| {
        figures.get((figures.len() * percent / 100).min(figures.len().max(1) - 1)).copied().unwrap_or(0)
    };
    format!("p25 {} p50 {} p90 {} most {}", at(25), at(50), at(90), at(100))
}
