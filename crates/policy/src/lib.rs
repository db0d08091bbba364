//! Policies: short rules that weigh reuse of kept memory against an engine's occupancy, compiled
//! into a fixed table of weights. The cost formula itself stays a live computation, because its
//! inputs (blocks lacking, blocks in work) are live numbers; the table only settles the weight.

pub mod prelude;

mod cost;
mod table;
