//! Newtypes for the ids, names, version numbers, instants and durations used throughout haremount.
//!
//! An [`Instant`](prelude::Instant) counts nanoseconds of a clock that also runs while the machine is suspended, so a
//! process that was suspended or frozen sees how much time passed. Only `unix_millis` reads the wall clock, and it is
//! meant for log lines alone.

pub mod prelude;

mod adapter;
mod clock;
mod hash;
mod names;
mod numbers;
mod rng;
