//! The agent program with its settings.

use agent::prelude::*;
use process::prelude::*;
use units::prelude::*;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "agent",
    about: "Holds a machine's stream to the core and feeds its router.",
    settings: &[
        setting("listen", SettingKind::Address, Some("127.0.0.1:0"), "where this machine's router reaches the agent"),
        setting("seeds", SettingKind::Addresses, None, "addresses of keepers to contact"),
        setting("zone", SettingKind::Text, Some("a"), "the zone of this machine"),
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
    let seeds = settings.addresses("seeds");
    if seeds.is_empty() {
        return Err(miette!("seeds is missing: give it in the settings file or as --seeds"));
    }
    let listener = std::net::TcpListener::bind(settings.address("listen")?)
        .map_err(|fault| miette!("listen: {}: {fault}", settings.text("listen").unwrap_or("")))?;
    let address = listener.local_addr().map_err(|fault| miette!("listen: {fault}"))?;
    if !address.ip().is_loopback() {
        return Err(miette!("listen: {address}: not a loopback address; an agent serves only its own machine"));
    }
    let config = AgentConfig { listener, seeds, router_exit_timeout: Span(0), limits: process_limits(&settings)? };
    run_agent(config, move |handle| {
        let (stopped, reloaded) = (handle.clone(), handle.clone());
        let reload = move |settings: &Settings| reloaded.set_seeds(settings.addresses("seeds"));
        handle_signals(&PROGRAM, settings, logs, move || stopped.stop(), reload)?;
        print_ready_line(&[("id", handle.identity.to_string()), ("address", address.to_string())]);
        Ok(())
    })
}
