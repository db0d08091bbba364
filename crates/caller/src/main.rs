//! Stand-in for an office's callers: a load generator that sends an office's requests to a fleet, checks every
//! answer, and writes one JSON line per request.

mod load_run;
mod prelude;
mod workload;

use crate::prelude::*;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "caller",
    about: "Stand-in for an office's callers.",
    settings: &[
        setting("routers", SettingKind::Addresses, None, "addresses of the routers"),
        setting(
            "office",
            SettingKind::Choice(&["engraving", "sms"]),
            Some("engraving"),
            "the office whose requests are sent",
        ),
        setting("model", SettingKind::Text, Some("model"), "the model to request"),
        setting("keys", SettingKind::Path, None, "JSON file with eight tenants and their keys: [[tenant, key], ...]"),
        setting("out", SettingKind::Path, None, "file for the JSON lines"),
        setting("seconds", SettingKind::Integer(1, 3600), Some("10"), "for how long new requests are sent"),
        setting(
            "rate",
            SettingKind::Integer(0, 2000),
            Some("0"),
            "requests per second; 0 for the office's usual rate",
        ),
        setting(
            "limit_ms",
            SettingKind::Integer(100, 10_000),
            Some("8000"),
            "time limit of each request, in milliseconds",
        ),
        setting(
            "seed",
            SettingKind::Integer(0, 1 << 53),
            Some("1"),
            "random seed; the same seed gives the same requests",
        ),
        LOG_LEVEL,
    ],
};

fn main() -> std::process::ExitCode {
    run_program(&PROGRAM, generate_load)
}

fn generate_load(settings: Settings) -> Result<(), Report> {
    let _logs = start_logs(PROGRAM.program, settings.text("log_level")?)?;
    let keys_path = settings.text("keys")?;
    let keys_text = std::fs::read_to_string(keys_path).map_err(|fault| miette!("keys: {keys_path}: {fault}"))?;
    let pairs: Vec<(String, String)> =
        serde_json::from_str(&keys_text).map_err(|fault| miette!("keys: {keys_path}: {fault}"))?;
    if pairs.len() != TENANTS {
        return Err(miette!("keys: {keys_path}: expected {TENANTS} pairs, found {}", pairs.len()));
    }
    let routers = settings.addresses("routers");
    if routers.is_empty() {
        return Err(miette!("routers is missing: give it in the settings file or as --routers"));
    }
    let out_path = settings.text("out")?;
    let out = std::fs::File::create(out_path).map_err(|fault| miette!("out: {out_path}: {fault}"))?;
    let workload = Workload::of_office(settings.text("office")?);
    let rate = match settings.whole("rate")? {
        0 => workload.requests_per_second,
        rate => rate,
    };
    let (tenants, keys) = pairs.into_iter().unzip();
    let load_run = Arc::new(LoadRun {
        routers,
        workload,
        model: settings.text("model")?.to_owned(),
        tenants,
        keys,
        time_limit: settings.millis("limit_ms")?,
        out: Mutex::new(out),
    });
    let runtime = small_runtime(2).map_err(|fault| miette!("{fault}"))?;
    let (seconds, seed) = (settings.whole("seconds")?, settings.whole("seed")?);
    let request_count = runtime.block_on(load_run.run(seconds, rate, seed));
    print_ready_line(&[("requests", request_count.to_string())]);
    Ok(())
}
