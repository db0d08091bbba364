//! What every daemon shares: the command line, the settings file, logs, signals and the ready line.
//! A daemon declares its settings once, in a table from which help, flags, file reading and checks are derived.

#![warn(missing_docs)]

pub mod prelude;

mod keys;
mod logs;
mod settings;
mod signals;
