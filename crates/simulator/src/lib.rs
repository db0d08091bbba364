//! The fleet in virtual time, at the size of an office. The same machines that the daemons drive
//! (warden, courier, conductor, the router's sight, picker, carriage) run here on simulated machines with
//! clocks of their own, disks that take time, a network that delays, reorders and is cut, engines that
//! crash and misbehave, callers that leave and come back, and a seeded schedule of faults; the oracles
//! judge what came out. The same seed gives the same run.

pub mod prelude;

mod adapted;
mod callers;
mod carrying;
mod cast;
mod disorder;
mod faults;
mod keepers;
mod net;
mod nodes;
mod operators;
mod pool;
mod run;
mod shift;
mod trouble;
mod world;
