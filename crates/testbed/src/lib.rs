//! Runs a whole fleet of real processes on one machine, on ports assigned by the operating system. It starts,
//! freezes and kills processes (only those it started), and records what it did for the oracles. Tests and the
//! `testbed` program both build on it.

#![warn(missing_docs)]

pub mod prelude;

mod documents;
mod faults;
mod fleet;
mod monitoring;
mod plan;
mod process;
mod recording;
mod relay;
mod report;
mod requests;
mod startup;
