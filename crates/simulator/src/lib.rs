//! Deterministic simulation of a whole fleet in virtual time. The state machines that the programs run (coordinator,
//! subscription, conductor, fleet snapshot, picker, attempt machine) run here on simulated machines with their own
//! clocks, disks with sync latency, a network that delays, reorders and partitions, engines that crash and misbehave,
//! callers that disconnect and resume, and a seeded schedule of faults. The checks of the `verdict` crate judge the
//! recorded run. The same seed always gives the same run.

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
mod overlapping_outages;
mod register_operators;
mod resuming;
mod router_runs;
mod run;
mod sampling;
mod shift;
mod work_limits;
mod world;
