//! What peers may make a process hold: bytes and connections, drawn from the limits of its machine.
//!
//! A server opens an [`Account`](prelude::Account) for each connection and charges bytes to it as they arrive. If a
//! charge or a new connection exceeds the [`Budget`](prelude::Budget), connections that wait for their peer are
//! evicted, the longest stalled first. Requests that are being served are never evicted; if they alone fill the
//! budget, the charge is refused.

#![warn(missing_docs)]

pub mod prelude;

mod account;
mod allocator;
mod ledger;
mod limits;
