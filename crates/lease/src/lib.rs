//! Leases, as seen by holders and by granters.
//!
//! A holder counts its lease from the moment it sent the renewal; the granter counts it from the moment of the grant
//! and adds a margin, so the lease always ends at the holder first. The tail's read lease is granted by a majority of
//! the voters. A node's lease is granted by the tail; without new grants, the node may use it to its end only as long
//! as no other node is granted one.

pub mod prelude;

mod grant_tracker;
mod held;
mod nodes;
mod read;
