//! Runs seeds, or one seed with its notes.

use simulator::prelude::*;
use trade::prelude::*;
use units::prelude::*;

static TRADE: Trade = Trade {
    program: "simulator",
    about: "Plays the fleet's pure machines under seeded faults in virtual time.",
    settings: &[
        setting("seed", Kind::Whole(0, 1 << 53), Some("1"), "the first seed"),
        setting("count", Kind::Whole(1, 1_000_000), Some("1"), "how many seeds"),
        setting("trouble_s", Kind::Whole(1, 600), Some("30"), "how long faults go on"),
        setting("pause_ms", Kind::Whole(1, 60_000), Some("1500"), "mean pause between faults"),
        setting(
            "lasting",
            Kind::Choice(&["nothing", "deaf", "one-way"]),
            Some("nothing"),
            "a cut that stays to the end",
        ),
        setting("notes", Kind::Flag, None, "print what happened"),
    ],
};

fn main() -> std::process::ExitCode {
    run_trade(&TRADE, |settings| {
        let fault_pause_ms = settings.whole("pause_ms")?;
        let lasting = match settings.text("lasting")? {
            "deaf" => Lasting::DeafKeeper,
            "one-way" => Lasting::OneWay,
            _ => Lasting::Nothing,
        };
        let first_seed = settings.whole("seed")?;
        let mut broken_count = 0;
        let mut recoveries = Vec::new();
        for seed in first_seed..first_seed + settings.whole("count")? {
            let trouble = Span::seconds(settings.whole("trouble_s")?);
            let outcome = play(&RunPlan {
                trouble,
                fault_pause_ms,
                lasting,
                keeps_notes: settings.flag("notes"),
                ..RunPlan::of(seed)
            });
            for line in &outcome.notes {
                println!("{line}");
            }
            recoveries.extend(outcome.recovery);
            if settings.flag("notes") || !outcome.violations.is_empty() {
                println!(
                    "seed {seed}: {} violations, {} starts, {} acks, {} faults, recovery {:?} ms",
                    outcome.violations.len(),
                    outcome.starts,
                    outcome.acks,
                    outcome.faults,
                    outcome.recovery.map(Span::as_millis),
                );
            }
            broken_count += u64::from(!outcome.violations.is_empty());
            for violation in outcome.violations.iter().take(5) {
                println!("  {violation}");
            }
        }
        recoveries.sort();
        let at = |share: usize| recoveries.get(recoveries.len() * share / 100).map_or(0, |span| span.as_millis());
        println!(
            "recovery ms: p50 {} p90 {} p99 {} most {}",
            at(50),
            at(90),
            at(99),
            recoveries.last().map_or(0, |span| span.as_millis())
        );
        if broken_count == 0 { Ok(()) } else { Err(miette!("{broken_count} seeds broke a rule")) }
    })
}
