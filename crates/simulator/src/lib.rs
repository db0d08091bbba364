//! The fleet in virtual time, at the size of an office. The same state machines that the daemons drive
//! (coordinator, subscription, conductor, the router's view of the fleet, picker, attempts) run here on
//! simulated machines with clocks of their own, disks that take time, a network that delays, reorders and is
//! cut, engines that crash and misbehave, callers that leave and come back, and a seeded schedule of faults;
//! the oracles judge what came out. The same seed gives the same run.

#![warn(missing_docs)]

pub mod prelude;

mod adapter_traffic;
mod attempt_effects;
mod attempt_placement;
mod block_cache;
mod bootstrap;
mod callers;
mod claim_submissions;
mod disorder;
mod engine_work;
mod engines;
mod event_polling;
mod events;
mod fault_effects;
mod faults;
mod foreign_adapters;
mod keepers;
mod leaving_engines;
mod machines;
mod network;
mod nodes;
mod operators;
mod register_operators;
mod resuming;
mod router_runs;
mod run;
mod sampling;
mod shift;
mod work_limits;
mod world;
