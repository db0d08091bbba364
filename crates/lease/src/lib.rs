//! Leases on both sides. A holder counts its lease from the moment it SENT the renewal, the granter
//! from the moment it granted, with a margin on top; so the holder's always ends first. The tail's
//! read lease is a majority's word; a node's lease is the tail's, and may outlast the tail's own word for as long
//! as nobody else is granted one.

pub mod prelude;

mod grant_tracker;
mod held;
mod nodes;
mod read;
