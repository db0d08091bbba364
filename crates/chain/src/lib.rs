//! The log replicated along the chain of keepers.
//!
//! The head numbers the records, and each record carries the view it was created in, so two logs that contain the
//! same position are equal up to it. A member that is not aligned with its predecessor in the current view first
//! catches up: with the records after its own last position if the predecessor's log contains that position,
//! otherwise with a full snapshot.

pub mod prelude;

mod log;
mod messages;
