//! Logs to standard error, one line of key=value pairs for each event. The daemons log with `event!`; messages of
//! libraries become the text of an event named `library`.

use crate::prelude::*;

/// Logs an event with its fields: `event!(info, "lease_lost", node = node, left = 3)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $name:expr $(, $key:ident = $value:expr)* $(,)?) => {
        ::log::$level!(target: "haremount", "event={}{}", $name,
            <[String]>::concat(&[$(format!(
                " {}={}", stringify!($key), $crate::prelude::quote_value(&$value.to_string())
            )),*]))
    };
}

/// A value as written in a log line: quoted and escaped if it is empty or has whitespace, quotes or equals signs.
pub fn quote_value(text: &str) -> String {
    let needs_no_quotes = !text.is_empty()
        && text.chars().all(|character| !character.is_whitespace() && character != '"' && character != '=');
    if needs_no_quotes { text.to_owned() } else { format!("\"{}\"", text.escape_debug()) }
}

/// Starts logging; the level is one of error, warn, info, debug.
pub fn start_logs(program: &'static str, level: &str) -> Result<LogsHandle, Report> {
    let _ = PROGRAM.set(program);
    let logger = Logger::with(specification(level)?)
        .format(write_line)
        .start()
        .map_err(|fault| miette!("cannot start logging: {fault}"))?;
    Ok(LogsHandle(logger))
}

static PROGRAM: std::sync::OnceLock<&'static str> = std::sync::OnceLock::new();

fn write_line(out: &mut dyn Write, _: &mut DeferredNow, record: &log::Record) -> std::io::Result<()> {
    let level_text = record.level().as_str().to_ascii_lowercase();
    let program = PROGRAM.get().copied().unwrap_or("");
    write!(out, "at={} level={level_text} program={program} ", unix_millis())?;
    match record.target() {
        "haremount" => write!(out, "{}", record.args()),
        from => write!(out, "event=library from={from} text={}", quote_value(&record.args().to_string())),
    }
}

/// Keeps the logger running and allows its level to be changed.
pub struct LogsHandle(flexi_logger::LoggerHandle);

impl LogsHandle {
    /// Changes the log level.
    pub fn set_level(&self, level: &str) -> Result<(), Report> {
        self.0.set_new_spec(specification(level)?);
        Ok(())
    }
}

fn specification(level: &str) -> Result<LogSpecification, Report> {
    LogSpecification::parse(format!("error, haremount={level}")).map_err(|fault| miette!("log_level: {fault}"))
}
