//! The keeper program with the built-in protocols: its settings, the platform's numbered engine listing, orders to
//! engines and the operators' interface.

use keeper::prelude::*;
use process::prelude::*;
use std::path::{Path, PathBuf};
use units::prelude::*;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "keeper",
    about: "Keeps haremount's shared state: a member of the core's chain with an interface for operators.",
    settings: &[
        setting("listen", SettingKind::Address, Some("127.0.0.1:0"), "where keepers and agents reach this keeper"),
        setting("door", SettingKind::Address, Some("127.0.0.1:0"), "where operators reach it over HTTP"),
        setting("advertise", SettingKind::Address, None, "the address others use for listen, if it differs"),
        setting("advertise_door", SettingKind::Address, None, "the address others use for door, if it differs"),
        setting("zone", SettingKind::Text, Some("a"), "the zone of this machine"),
        setting("data", SettingKind::Path, None, "the data folder; an empty one starts a new member"),
        setting("seeds", SettingKind::Addresses, None, "addresses of other keepers to contact"),
        setting("found", SettingKind::Flag, None, "found a new fleet; refused where one exists"),
        setting("operator_key_file", SettingKind::Path, None, "with found: a file holding the first operator's key"),
        setting("core_size", SettingKind::Integer(1, 7), Some("4"), "how many keepers the core grows to"),
        setting("platform", SettingKind::Address, None, "the platform's listing of engines"),
        #[cfg(feature = "faults")]
        setting("disk_faults", SettingKind::Path, None, "for tests: a file that controls injected disk faults"),
        setting("threads", SettingKind::Integer(1, 64), Some("2"), "threads for HTTP"),
        MEMORY_LIMIT,
        DESCRIPTOR_LIMIT,
        LOG_LEVEL,
    ],
};

fn main() -> std::process::ExitCode {
    run_program(&PROGRAM, run)
}

fn run(settings: Settings) -> Result<(), Report> {
    let logs = start_logs(PROGRAM.program, settings.text("log_level")?)?;
    ignore_file_size_signal()?;
    let data_folder = settings.text("data")?.to_owned();
    let listener = std::net::TcpListener::bind(settings.address("listen")?)
        .map_err(|fault| miette!("listen: {}: {fault}", settings.text("listen").unwrap_or("")))?;
    let operator_listener = bind(settings.address("door")?)
        .map_err(|fault| miette!("door: {}: {fault}", settings.text("door").unwrap_or("")))?;
    let local = |listening: std::io::Result<std::net::SocketAddr>| {
        listening.map(|address| address.to_string()).map_err(|fault| miette!("{fault}"))
    };
    let bound_address = local(listener.local_addr())?;
    let address = advertised_address(&settings, "advertise", local(listener.local_addr())?)?;
    let operator_address = advertised_address(&settings, "advertise_door", local(operator_listener.local_addr())?)?;
    let platform = settings.get("platform").map(str::to_owned);
    let config = KeeperConfig {
        listener,
        operator_listener,
        address: address.clone(),
        operator_address: operator_address.clone(),
        zone: Zone(settings.text("zone")?.to_owned()),
        data_folder: PathBuf::from(data_folder),
        disk_faults: settings.get("disk_faults").map(PathBuf::from),
        seeds: settings.addresses("seeds"),
        bootstrap: bootstrap(&settings).map_err(|reason| miette!("found: {reason}"))?,
        core_size: settings.whole("core_size")? as usize,
        automatic_size: false,
        timing: Timing::default(),
        engines: platform.map_or(EngineSource::None, EngineSource::Listing),
        orders: EngineOrderSource::BuiltIn,
        operators: OperatorSource::BuiltIn,
        limits: process_limits(&settings)?,
        threads: settings.whole("threads")? as usize,
    };
    let handle_signals = move |handle: KeeperHandle| {
        let reloaded = handle.clone();
        let reload = move |settings: &Settings| reloaded.set_seeds(settings.addresses("seeds"));
        handle_signals(&PROGRAM, settings, logs, move || handle.stop(), reload)
    };
    run_keeper(config, handle_signals, move |identity| {
        print_ready_line(&[
            ("id", identity.to_string()),
            ("address", address),
            ("door", operator_address),
            ("bound", bound_address),
        ]);
    })
}

/// The address that a member publishes: the setting, or else the bound address, unless that is the wildcard address,
/// which other machines cannot connect to.
fn advertised_address(settings: &Settings, key: &str, bound: String) -> Result<String, Report> {
    if let Some(address) = settings.get(key) {
        return Ok(address.to_owned());
    }
    if bound.starts_with("0.0.0.0:") || bound.starts_with("[::]:") {
        return Err(miette!("{key} is missing: other machines cannot connect to {bound}"));
    }
    Ok(bound)
}

/// Reads whether to found a fleet; the founding document holds the hash of the first operator's key.
fn bootstrap(settings: &Settings) -> Result<Bootstrap, String> {
    if !settings.flag("found") {
        return Ok(Bootstrap::Join);
    }
    let key_file = settings.get("operator_key_file").ok_or("operator_key_file is required")?;
    let key = std::fs::read_to_string(Path::new(key_file)).map_err(|fault| format!("{key_file}: {fault}"))?;
    if key.trim().len() < 8 {
        return Err(format!("{key_file}: a key has at least 8 characters"));
    }
    let document = serde_json::json!({"operators": {"founder": sha256_hex(key.trim())}}).to_string();
    Ok(Bootstrap::Found { document, tolerance: 1, join_if_exists: false })
}
