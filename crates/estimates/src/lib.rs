//! Quantities estimated from what a node observes, in place of constants that hold on one deployment alone.
//! Each estimate is a small pure machine: it has a prior for as long as little was seen, follows what changes,
//! stays within bounds, and drops observations that cannot be.

#![warn(missing_docs)]

pub mod prelude;

mod prefill_speed;
mod quantile;
