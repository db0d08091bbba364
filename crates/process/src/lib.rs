//! What every daemon shares: the command line, the settings file, logs, signals and the ready line.
//! A daemon lists its settings once, as a table; help, flags, file reading and checks all follow it.

pub mod prelude;

mod keys;
mod logs;
mod settings;
mod signals;
