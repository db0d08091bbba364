//! Oracles that check a recorded run against the system's rules. They read three kinds of log lines, all
//! timestamped in milliseconds of the boot-time clock: what callers observed, what engines started and which
//! orders they received, and what operators, the platform and the test did. The same oracles check simulated
//! runs, whole-program tests and replayed days.

#![warn(missing_docs)]

pub mod prelude;

mod adapters;
mod answers;
mod cache;
mod check;
mod lines;
mod register;
mod service;
mod states;
mod withdrawn;
