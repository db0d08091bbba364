//! Signals, the ready line, and the end of a program.

use crate::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Drain and stop.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Calls back for each signal, on a thread of its own.
pub fn on_signals(mut handle: impl FnMut(Signal) + Send + 'static) -> Result<(), Report> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|fault| miette!("signals cannot be taken: {fault}"))?;
    let spawned = std::thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            handle(if signal == SIGHUP { Signal::Reload } else { Signal::Stop });
        }
    });
    spawned.map(drop).map_err(|fault| miette!("no thread for signals: {fault}"))
}

/// The one line on standard output that says a daemon serves, and where.
pub fn say_ready(details: &[(&str, String)]) {
    let mut line = String::from("ready");
    for (key, value) in details {
        line.push_str(&format!(" {key}={}", plain(value)));
    }
    println!("{line}");
    let _ = std::io::stdout().flush();
}

/// Runs a daemon's body and turns its outcome into an exit code.
pub fn run_trade(trade: &'static Trade, body: impl FnOnce(Settings) -> Result<(), Report>) -> std::process::ExitCode {
    let settings = match trade.read(std::env::args_os().skip(1)) {
        Ok(Wanted::Run(settings)) => settings,
        Ok(Wanted::Printed) => return std::process::ExitCode::SUCCESS,
        Err(report) => return complain(trade.program, &report, EXIT_USAGE),
    };
    match body(settings) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(report) => {
            let is_usage = report.to_string().contains("is missing: give it");
            complain(trade.program, &report, if is_usage { EXIT_USAGE } else { EXIT_FAULT })
        }
    }
}

fn complain(program: &str, report: &Report, code: u8) -> std::process::ExitCode {
    for line in report.to_string().lines() {
        eprintln!("{program}: {line}");
    }
    std::process::ExitCode::from(code)
}
