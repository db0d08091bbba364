//! Picks the engine for a prompt on a router. It is a pure state machine that owns the prefix tree, the history of
//! sent blocks, the occupancy caused by its own attempts, and each engine's coarse, delayed count of requests. A
//! cost function decides among the engines that pass admission, liveness and drain. Tenant isolation, weights
//! editions, leases and drain are checked outside the policy, so that no policy can weaken them.

#![warn(missing_docs)]

pub mod prelude;

mod engine_state;
mod fetch;
mod fleet_snapshot;
mod pick;
mod picker;
mod placement;
