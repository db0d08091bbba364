//! The `testbed` program: runs a fleet on this machine, plays an office's day against it, and prints a report.

use process::prelude::*;
use testbed::prelude::*;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "testbed",
    about: "Runs a whole fleet on this machine, plays an office's day, and reports.",
    settings: &[
        setting("office", SettingKind::Choice(&["engraving", "sms"]), Some("engraving"), "whose day is played"),
        setting("seconds", SettingKind::Integer(1, 3600), Some("20"), "how long the day lasts"),
        setting("rate", SettingKind::Integer(0, 2000), Some("0"), "requests a second; 0 for the office's own"),
        setting("seed", SettingKind::Integer(0, 1 << 53), Some("1"), "same seed, same requests"),
        setting("nodes", SettingKind::Integer(1, 32), Some("9"), "edge machines"),
        setting("engines", SettingKind::Integer(1, 64), Some("20"), "engines"),
        setting(
            "sight",
            SettingKind::Choice(&["events", "history", "occupancy"]),
            Some("events"),
            "what routers take prefix overlap from",
        ),
        setting("weight", SettingKind::Integer(0, 1000), Some("1"), "the default policy's weight"),
        setting(
            "kills",
            SettingKind::Flag,
            None,
            "kill and restart a keeper, a router, an agent and an engine meanwhile",
        ),
        setting("trouble", SettingKind::Integer(0, 1 << 53), None, "seed of a random schedule of faults for the day"),
        setting("records", SettingKind::Flag, None, "routers record the day under the folder"),
        setting("serve", SettingKind::Flag, None, "serve until stopped instead of playing a day"),
        setting("folder", SettingKind::Path, None, "keep data and logs here"),
        LOG_LEVEL,
    ],
};

fn main() -> std::process::ExitCode {
    run_program(&PROGRAM, |settings| run(settings).map_err(|reason| miette!("{reason}")))
}

fn run(settings: Settings) -> Result<(), String> {
    let whole = |key: &str| settings.whole(key).map_err(|report| report.to_string());
    let text = |key: &str| settings.text(key).map(str::to_owned).map_err(|report| report.to_string());
    let plan = FleetPlan {
        nodes: whole("nodes")? as usize,
        engines: whole("engines")? as usize,
        overlap_source: text("sight")?,
        records_days: settings.flag("records"),
        relayed: settings.get("trouble").is_some(),
        weight: whole("weight")? as f64,
        log_level: text("log_level")?,
        ..FleetPlan::office(&text("office")?)
    };
    let mut fleet = match settings.get("folder") {
        Some(folder) => Fleet::start_in(plan, folder.into(), true)?,
        None => Fleet::start(plan)?,
    };
    print_ready_line(&[
        ("routers", (0..fleet.nodes.len()).map(|number| fleet.router_address(number)).collect::<Vec<_>>().join(",")),
        ("doors", fleet.keepers.iter().map(|keeper| keeper.operator_address.clone()).collect::<Vec<_>>().join(",")),
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
    let mut schedule = match settings.get("trouble") {
        Some(_) => Some(FaultSchedule::random(whole("trouble")?, seconds, &fleet.plan)),
        None => settings.flag("kills").then(|| FaultSchedule::new(kills(seconds))),
    };
    while boot_millis() < began + seconds * 1000 {
        fleet.sample_routers();
        if let Some(schedule) = schedule.as_mut() {
            schedule.apply_due(&mut fleet, boot_millis() - began)?;
        }
        std::thread::park_timeout(Duration::from_millis(100));
    }
    fleet.record_event(EventLine::RunEnds { at: boot_millis() });
    calling.join().map_err(|_| "the caller's thread panicked")??;
    let report = DayReport::from_record(&fleet.record(&[calls]));
    println!("{}", report.text());
    if report.violations.is_empty() { Ok(()) } else { Err("a rule was violated".into()) }
}

/// Kills a keeper, a router, an agent and an engine in turn, and restores each before the next.
fn kills(seconds: u64) -> Vec<(u64, Fault)> {
    let span = seconds * 1000;
    let losses = [Fault::LoseKeeper(0), Fault::LoseRouter(0), Fault::LoseAgent(1), Fault::LoseEngine(0)];
    let mut moments = Vec::new();
    for (index, loss) in losses.into_iter().enumerate() {
        let moment = span * (2 * index as u64 + 1) / 16;
        moments.push((moment, loss));
        moments.push((moment + span / 16, Fault::PutBack));
    }
    moments.push((span * 9 / 16, Fault::Over));
    moments
}
