//! Small types for everything that is counted, named or timed in haremount: ids, editions, terms,
//! instants and spans. An `Instant` is nanoseconds of a clock that also runs while the machine is
//! suspended, so a process frozen and woken sees the time that passed. Nothing here reads the wall
//! clock except `unix_millis`, which exists for log lines alone.

pub mod prelude;

mod adapter;
mod clock;
mod hash;
mod names;
mod numbers;
mod rng;
