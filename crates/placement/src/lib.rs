//! A router's pick: a pure machine that owns the prefix tree, the router's own history, the occupancy
//! it derives from its own attempts, and each engine's coarse, late count. The source's formula decides
//! among the engines that pass admission, liveness and drain; walls, editions, leases and drain are
//! judged outside the policy, so that no policy can weaken them.

#![warn(missing_docs)]

pub mod prelude;

mod fetch;
mod fleet_snapshot;
mod known_engine;
mod pick;
mod picker;
mod placement;
