//! Estimates of quantities from a node's observations, in place of constants that suit only one deployment. Each
//! estimate is a small pure state machine: it starts with a prior, tracks changes, stays within bounds, and drops
//! impossible observations.

#![warn(missing_docs)]

pub mod prelude;

mod prefill_speed;
mod quantile;
