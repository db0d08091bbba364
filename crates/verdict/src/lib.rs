//! The oracles. They read three sorts of lines, all with boot-time milliseconds: what callers saw,
//! what engines started and were ordered, and what operators, the platform and the test did. The same
//! code judges simulated runs, whole-program tests and replayed days.

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
