//! Attempts, retries and the final answer of a planned request, as a state machine without I/O. The router
//! carries out its effects; the simulator drives it against engines whose answers are complete, partial,
//! meant for another attempt, late, broken or missing.

#![warn(missing_docs)]

pub mod prelude;

mod allowance;
mod gate;
mod held;
mod machine;
mod messages;
