//! The cases of the second review. Each starts the project's programs and the project's own stand-ins of the
//! platform, and judges what clients and engines saw.
//!
//! Usage: `review-cases-2 CASE`; see `run-case.sh`. With `TROUBLE=0` in the environment the disruption is
//! left out. Writes the record to standard output. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.

/// The cases use only parts of it.
#[allow(dead_code, unused_imports)]
#[path = "../../../platform/tests/whole/standins/mod.rs"]
mod standins;

mod cases;
mod record;

use std::process::ExitCode;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A stand-in panics if the fleet did not come to serve; that says nothing about the rule.
    let outcome = std::panic::catch_unwind(|| cases::run(&case, has_trouble));
    match outcome {
        Ok(Some(false)) => ExitCode::from(0),
        Ok(Some(true)) => ExitCode::from(1),
        Ok(None) | Err(_) => ExitCode::from(2),
    }
}
