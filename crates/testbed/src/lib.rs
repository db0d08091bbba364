//! The yard: a whole fleet of real processes on one machine, on ports the system chooses. It stands in
//! for the platform: it starts, stops, freezes and kills processes (only those it started), and keeps
//! a record of what it did for the oracles. Tests and the `yard` program both build on it.

pub mod prelude;

mod fleet;
mod process;
mod relay;
mod report;
mod trouble;
