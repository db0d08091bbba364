//! Plays one case of the review against the project's own program: `review-case NAME RECORD`. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod engine;
mod fleet;
mod http;
mod record;

use std::path::Path;
use std::process::ExitCode;

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = record::Record::create(Path::new(path)) else { return ExitCode::from(2) };
    record.note(format!("case {name}, disruption {}", if has_trouble { "on" } else { "off" }));
    let (outcome, code) = match cases::play(name, has_trouble, &record) {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken(reason) => (format!("RULE BROKEN: {reason}"), 1),
        Outcome::NotRun(reason) => (format!("could not run: {reason}"), 2),
    };
    record.note(&outcome);
    println!("{name}: {outcome}");
    ExitCode::from(code)
}
