//! The yard's program: starts a whole office on this machine, plays its day, and reports.

use trade::prelude::*;
use yard::prelude::*;

static TRADE: Trade = Trade {
    program: "yard",
    about: "Runs a whole fleet on this machine, plays an office's day, and reports.",
    settings: &[
        setting("office", Kind::Choice(&["engraving", "sms"]), Some("engraving"), "whose day is played"),
        setting("seconds", Kind::Whole(1, 3600), Some("20"), "how long the day lasts"),
        setting("rate", Kind::Whole(0, 2000), Some("0"), "requests a second; 0 for the office's own"),
        setting("seed", Kind::Whole(0, 1 << 53), Some("1"), "same seed, same requests"),
        setting("nodes", Kind::Whole(1, 32), Some("9"), "edge machines"),
        setting("engines", Kind::Whole(1, 64), Some("20"), "engines"),
        setting(
            "sight",
            Kind::Choice(&["events", "history", "occupancy"]),
            Some("events"),
            "where overlap comes from",
        ),
        setting("weight", Kind::Whole(0, 1000), Some("1"), "the default policy's weight"),
        setting("kills", Kind::Flag, None, "kill and restart a keeper, a router, an agent and an engine meanwhile"),
        setting("serve", Kind::Flag, None, "serve until stopped instead of playing a day"),
        setting("folder", Kind::Path, None, "keep data and logs here"),
        LOG_LEVEL,
    ],
};

fn main() -> std::process::ExitCode {
    run_trade(&TRADE, |settings| run(settings).map_err(|reason| miette!("{reason}")))
}

fn run(settings: Settings) -> Result<(), String> {
    let whole = |key: &str| settings.whole(key).map_err(|report| report.to_string());
    let text = |key: &str| settings.text(key).map(str::to_owned).map_err(|report| report.to_string());
    let plan = FleetPlan {
        nodes: whole("nodes")? as usize,
        engines: whole("engines")? as usize,
        sight: text("sight")?,
        weight: whole("weight")? as f64,
        log_level: text("log_level")?,
        ..FleetPlan::office(&text("office")?)
    };
    let mut fleet = match settings.maybe("folder") {
        Some(folder) => Fleet::start_in(plan, folder.into(), true)?,
        None => Fleet::start(plan)?,
    };
    say_ready(&[
        ("routers", (0..fleet.nodes.len()).map(|number| fleet.router_address(number)).collect::<Vec<_>>().join(",")),
        ("doors", fleet.keepers.iter().map(|keeper| keeper.door.clone()).collect::<Vec<_>>().join(",")),
    ]);
    if settings.flag("serve") {
        println!("operator key: {}", fleet.operator_key);
        for (tenant, key) in &fleet.tenants {
            println!("{tenant} key: {key}");
        }
        let (stop, stopped) = std::sync::mpsc::channel();
        on_signals(move |signal| {
            if signal == Signal::Stop {
                let _ = stop.send(());
            }
        })
        .map_err(|report| report.to_string())?;
        let _ = stopped.recv();
        return Ok(());
    }
    let seconds = whole("seconds")?;
    let (calling, calls) = fleet.start_caller("day", seconds, whole("rate")?, whole("seed")?)?;
    let began = boot_millis();
    let mut kills = settings.flag("kills").then(|| Kills::new(seconds));
    while boot_millis() < began + seconds * 1000 {
        fleet.sample();
        if let Some(kills) = kills.as_mut() {
            kills.tend(&mut fleet, boot_millis() - began)?;
        }
        std::thread::park_timeout(Duration::from_millis(100));
    }
    fleet.note(WorldLine::RunEnds { at: boot_millis() });
    calling.join().map_err(|_| "the caller's thread died")??;
    let report = DayReport::of(&fleet.record(&[calls]));
    println!("{}", report.text());
    if report.violations.is_empty() { Ok(()) } else { Err("a rule was broken".into()) }
}

/// A keeper, a router, an agent and an engine killed one after the other, each started again later.
struct Kills {
    moments: Vec<(u64, &'static str)>,
}

impl Kills {
    fn new(seconds: u64) -> Kills {
        let span = seconds * 1000;
        let order = [
            "keeper",
            "keeper back",
            "router",
            "router back",
            "agent",
            "agent back",
            "engine",
            "engine back",
            "over",
        ];
        let moments = order.iter().enumerate().map(|(place, what)| (span * (place as u64 + 1) / 16, *what)).collect();
        Kills { moments }
    }

    fn tend(&mut self, fleet: &mut Fleet, elapsed: u64) -> Result<(), String> {
        while let Some((moment, what)) = self.moments.first().copied() {
            if elapsed < moment {
                return Ok(());
            }
            self.moments.remove(0);
            let at = boot_millis();
            fleet.note(WorldLine::Fault { at, what: what.into() });
            match what {
                "keeper" => fleet.keepers[0].process = None,
                "keeper back" => fleet.start_keeper(0, false)?,
                "router" => fleet.nodes[0].router = None,
                "router back" => fleet.start_router(0)?,
                "agent" => fleet.nodes[1 % fleet.plan.nodes].agent = None,
                "agent back" => fleet.start_agent(1 % fleet.plan.nodes)?,
                "engine" => fleet.engines[0].process = None,
                "engine back" => fleet.start_engine(0, 1)?,
                _ => fleet.note(WorldLine::LastFaultOver { at }),
            }
        }
        Ok(())
    }
}
