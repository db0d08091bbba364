//! One line of key=value pairs for each event, to standard error. Our own events are written with
//! `event!`; what a library logs is wrapped as the text of an event named `library`.

use crate::prelude::*;

/// `event!(info, "lease_lost", node = node, left = 3)`
#[macro_export]
macro_rules! event {
    ($level:ident, $name:expr $(, $key:ident = $value:expr)* $(,)?) => {
        ::log::$level!(target: "haremount", "event={}{}", $name,
            <[String]>::concat(&[$(format!(
                " {}={}", stringify!($key), $crate::prelude::quote_value(&$value.to_string())
            )),*]))
    };
}

/// A value as it stands in a log line: quoted if it has spaces or quotes, control characters escaped.
pub fn quote_value(text: &str) -> String {
    let is_plain = !text.is_empty() && text.chars().all(|sign| !sign.is_whitespace() && sign != '"' && sign != '=');
    if is_plain { text.to_owned() } else { format!("\"{}\"", text.escape_debug()) }
}

/// Starts logging; the level is one of error, warn, info, debug.
pub fn start_logs(program: &'static str, level: &str) -> Result<LogsHandle, Report> {
    let _ = PROGRAM.set(program);
    let logger = Logger::with(specification(level)?)
        .format(write_line)
        .start()
        .map_err(|fault| miette!("logs cannot start: {fault}"))?;
    Ok(LogsHandle(logger))
}

static PROGRAM: std::sync::OnceLock<&'static str> = std::sync::OnceLock::new();

fn write_line(out: &mut dyn Write, _: &mut DeferredNow, record: &log::Record) -> std::io::Result<()> {
    let level_text = record.level().as_str().to_ascii_lowercase();
    let program = PROGRAM.get().copied().unwrap_or("");
    write!(out, "at={} level={level_text} program={program} ", wall_millis())?;
    match record.target() {
        "haremount" => write!(out, "{}", record.args()),
        from => write!(out, "event=library from={from} text={}", quote_value(&record.args().to_string())),
    }
}

/// Holds the logger; the level can be changed while it runs.
pub struct LogsHandle(flexi_logger::LoggerHandle);

impl LogsHandle {
    /// Changes what is logged.
    pub fn set_level(&self, level: &str) -> Result<(), Report> {
        self.0.set_new_spec(specification(level)?);
        Ok(())
    }
}

fn specification(level: &str) -> Result<LogSpecification, Report> {
    LogSpecification::parse(format!("error, haremount={level}")).map_err(|fault| miette!("log_level: {fault}"))
}
