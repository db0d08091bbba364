//! The fleet in virtual time. The same machines that the daemons drive (warden, courier, conductor,
//! the router's sight) run here on simulated machines with clocks of their own, disks that take time,
//! a network that delays, reorders and is cut, and a seeded schedule of faults; the oracles judge what
//! came out. The same seed gives the same run.

pub mod prelude;

mod cast;
mod faults;
mod net;
mod run;
mod world;
