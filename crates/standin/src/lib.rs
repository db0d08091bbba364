//! The common part of the stand-in programs: starts the logs and a listener, prints the ready line, and serves
//! requests until the process is told to stop.

#![warn(missing_docs)]

pub mod prelude;

mod serving;
