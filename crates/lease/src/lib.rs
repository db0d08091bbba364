//! Leases on both sides. A holder counts its lease from the moment it SENT the renewal, the granter
//! from the moment it granted, with a margin on top; so the holder's always ends first. The tail's
//! read lease is a majority's word; a node's lease is the tail's.

pub mod prelude;

mod held;
mod nodes;
mod read;
