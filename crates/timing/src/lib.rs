//! Derives all lease durations, waits and gaps from the bounds that a deployment guarantees to its users.
//!
//! The bounds are part of the settings. The durations are derived only here, and bounds that cannot be met together
//! are rejected.

pub mod prelude;

mod bounds;
mod derive;
