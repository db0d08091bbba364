//! The oracles. They read three sorts of lines, all with boot-time milliseconds: what callers saw,
//! what engines started and were ordered, and what operators, the platform and the test did. The same
//! code judges simulated runs, whole-program tests and replayed days.

pub mod prelude;

mod adapted;
mod judge;
mod lines;
