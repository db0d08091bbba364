//! Measurements, each by its name; docs/measurements.md tells what they gave and when.

mod fleets;
mod picks;
mod prelude;
mod recovery;
mod scale;
mod trials;

use crate::prelude::*;

static TRADE: Trade = Trade {
    program: "measure",
    about: "Measures a fleet on this machine: picks, overhead, acks, recovery, pile-up, memory, trials or scale.",
    settings: &[
        setting(
            "what",
            Kind::Choice(&[
                "picks", "overhead", "acks", "recovery", "gap", "cuts", "pile-up", "memory", "trials", "scale",
            ]),
            None,
            "what to measure",
        ),
        setting("driver", Kind::Text, Some("all"), "scale: what is grown, several with commas between"),
        setting("sizes", Kind::Text, None, "scale: the sizes of a single driver, rising"),
        setting("rounds", Kind::Whole(1, 20), Some("3"), "scale: how often each size is measured"),
        setting("window_ms", Kind::Whole(200, 60_000), Some("10000"), "scale: how long a steady stretch is watched"),
        setting("limit_s", Kind::Whole(1, 7200), Some("3600"), "scale: the run ends by itself after this long"),
        setting("in_child", Kind::Flag, None, "scale: used by the run itself for a process of its own"),
    ],
};

fn main() -> std::process::ExitCode {
    run_trade(&TRADE, |settings| {
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
            "scale" => measure_scale(&settings),
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
