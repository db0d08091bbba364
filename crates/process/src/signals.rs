//! Signals, the ready line and the exit code of a program.

use crate::prelude::*;

/// What a signal asks a program to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Drain and stop.
    Stop,
    /// Reload the settings.
    Reload,
}

/// Calls `handle` for each signal, on a separate thread.
pub fn on_signals(mut handle: impl FnMut(Signal) + Send + 'static) -> Result<(), Report> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|fault| miette!("cannot install signal handlers: {fault}"))?;
    let spawned = std::thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            handle(if signal == SIGHUP { Signal::Reload } else { Signal::Stop });
        }
    });
    spawned.map(drop).map_err(|fault| miette!("cannot start the signal thread: {fault}"))
}

/// Makes a write beyond the file-size limit return an error instead of killing the process.
pub fn ignore_file_size_signal() -> Result<(), Report> {
    signal_hook::flag::register(signal_hook::consts::SIGXFSZ, std::sync::Arc::default())
        .map(drop)
        .map_err(|fault| miette!("cannot install signal handlers: {fault}"))
}

/// Handles a daemon's signals: stop, and reload of the settings with the same flags. If any reloaded setting is
/// invalid, all of them are refused and the current settings stay in force.
pub fn handle_signals(
    spec: &'static ProgramSpec,
    settings: Settings,
    logs: LogsHandle,
    mut stop: impl FnMut() + Send + 'static,
    mut reload: impl FnMut(&Settings) + Send + 'static,
) -> Result<(), Report> {
    let mut settings_now = settings;
    on_signals(move |signal| match signal {
        Signal::Stop => stop(),
        Signal::Reload => match spec.read_again(&settings_now) {
            Ok(read_settings) => {
                let _ = logs.set_level(read_settings.get("log_level").unwrap_or("info"));
                reload(&read_settings);
                settings_now = read_settings;
                event!(info, "settings_reloaded");
            }
            Err(report) => event!(error, "settings_refused", reason = report),
        },
    })
}

/// Prints the line on standard output that reports that a daemon is serving, and where.
pub fn print_ready_line(details: &[(&str, String)]) {
    let mut line = String::from("ready");
    for (key, value) in details {
        line.push_str(&format!(" {key}={}", quote_value(value)));
    }
    println!("{line}");
    let _ = std::io::stdout().flush();
}

/// Reads the settings, runs a program's body and turns its result into an exit code.
pub fn run_program(
    spec: &'static ProgramSpec,
    body: impl FnOnce(Settings) -> Result<(), Report>,
) -> std::process::ExitCode {
    let settings = match spec.read(std::env::args_os().skip(1)) {
        Ok(CommandLine::Run(settings)) => settings,
        Ok(CommandLine::Printed) => return std::process::ExitCode::SUCCESS,
        Err(report) => return print_report(spec.program, &report, EXIT_USAGE),
    };
    match body(settings) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(report) => {
            let is_usage = report.to_string().contains("is missing: give it");
            print_report(spec.program, &report, if is_usage { EXIT_USAGE } else { EXIT_FAULT })
        }
    }
}

fn print_report(program: &str, report: &Report, code: u8) -> std::process::ExitCode {
    for line in report.to_string().lines() {
        eprintln!("{program}: {line}");
    }
    std::process::ExitCode::from(code)
}
