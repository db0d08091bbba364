//! The fleet in virtual time, at the size of an office. The same state machines that the daemons drive
//! (coordinator, subscription, conductor, the router's view of the fleet, picker, attempts) run here on
//! simulated machines with clocks of their own, disks that take time, a network that delays, reorders and is
//! cut, engines that crash and misbehave, callers that leave and come back, and a seeded schedule of faults;
//! the oracles judge what came out. The same seed gives the same run.

#![warn(missing_docs)]

pub mod prelude;

mod adapted;
mod bounds;
mod callers;
mod claims;
mod disorder;
mod effects;
mod engine_work;
mod engines;
mod events;
mod faults;
mod foreign;
mod founding;
mod keepers;
mod leaving;
mod machines;
mod memory;
mod net;
mod nodes;
mod operators;
mod placing;
mod polling;
mod register_operators;
mod resuming;
mod run;
mod runs;
mod sampling;
mod shift;
mod trouble;
mod world;
