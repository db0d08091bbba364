//! The agent's mind, as a pure machine. It keeps one stream to the core, finds the tail by the views
//! it is told, renews the node's lease while its router lives, and passes pushes and the lease on. A
//! lease is passed only to the router incarnation it was asked for.

#![warn(missing_docs)]

pub mod prelude;

mod machine;
mod messages;
