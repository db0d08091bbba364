//! The node agent as a pure state machine. It keeps one connection to the core, finds the tail by the views it
//! receives, renews the node's lease while its router is connected, and forwards changes and leases. A lease is
//! forwarded only to the router incarnation for which it was requested.

#![warn(missing_docs)]

pub mod prelude;

mod machine;
mod messages;
