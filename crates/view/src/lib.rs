//! The core's membership view: the members of the replication chain in order, and the voters.
//!
//! View n+1 is decided by a majority of the voters of view n, each view by its own instance of single-decree Paxos. A
//! voter that has promised for the next view no longer takes part in the current one.

pub mod prelude;

mod campaign;
mod log_position;
mod view;
mod voter;
