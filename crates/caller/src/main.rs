//! Stand-in for an office's callers: plays part of a day against a fleet, checks every answer, and
//! writes one JSON line for each request.

mod day;
mod office;
mod prelude;

use crate::prelude::*;

static TRADE: ProgramSpec = ProgramSpec {
    program: "caller",
    about: "Stand-in for an office's callers.",
    settings: &[
        setting("routers", SettingKind::Addresses, None, "the routers to call"),
        setting("office", SettingKind::Choice(&["engraving", "sms"]), Some("engraving"), "whose day is played"),
        setting("model", SettingKind::Text, Some("model"), "the model asked for"),
        setting("keys", SettingKind::Path, None, "a JSON file: [[tenant, key], ...], eight of them"),
        setting("out", SettingKind::Path, None, "file for the lines"),
        setting("seconds", SettingKind::Integer(1, 3600), Some("10"), "how long requests are begun"),
        setting("rate", SettingKind::Integer(0, 2000), Some("0"), "requests a second; 0 for the office's own"),
        setting("limit_ms", SettingKind::Integer(100, 10_000), Some("8000"), "each request's limit"),
        setting("seed", SettingKind::Integer(0, 1 << 53), Some("1"), "same seed, same requests"),
        LOG_LEVEL,
    ],
};

fn main() -> std::process::ExitCode {
    run_program(&TRADE, call)
}

fn call(settings: Settings) -> Result<(), Report> {
    let _logs = start_logs(TRADE.program, settings.text("log_level")?)?;
    let keys_path = settings.text("keys")?;
    let keys_text = std::fs::read_to_string(keys_path).map_err(|fault| miette!("keys: {keys_path}: {fault}"))?;
    let pairs: Vec<(String, String)> =
        serde_json::from_str(&keys_text).map_err(|fault| miette!("keys: {keys_path}: {fault}"))?;
    if pairs.len() != 8 {
        return Err(miette!("keys: {keys_path}: expected eight pairs, found {}", pairs.len()));
    }
    let routers = settings.addresses("routers");
    if routers.is_empty() {
        return Err(miette!("routers is missing: give it in the settings file or as --routers"));
    }
    let out_path = settings.text("out")?;
    let out = std::fs::File::create(out_path).map_err(|fault| miette!("out: {out_path}: {fault}"))?;
    let office = Office::named(settings.text("office")?);
    let rate = match settings.whole("rate")? {
        0 => office.requests_per_second,
        rate => rate,
    };
    let (tenants, keys) = pairs.into_iter().unzip();
    let day = Arc::new(Day {
        routers,
        office,
        model: settings.text("model")?.to_owned(),
        tenants,
        keys,
        limit: settings.millis("limit_ms")?,
        out: Mutex::new(out),
    });
    let runtime = small_runtime(2).map_err(|fault| miette!("{fault}"))?;
    let (seconds, seed) = (settings.whole("seconds")?, settings.whole("seed")?);
    let request_count = runtime.block_on(day.play(seconds, rate, seed));
    print_ready_line(&[("requests", request_count.to_string())]);
    Ok(())
}
