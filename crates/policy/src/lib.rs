//! Routing policies: rules that weigh reuse of cached blocks against an engine's load, compiled into a table of
//! weights.
//!
//! The table supplies only the weight. The cost itself is computed for each request, because its inputs (blocks not
//! cached, blocks in work) change all the time.

pub mod prelude;

mod cost;
mod table;
