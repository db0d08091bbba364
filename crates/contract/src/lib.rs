//! The shapes met outside: callers' requests, engines' events and orders, the platform's listing. The
//! stand-ins and the daemons read and write the same ones; docs/contract.md tells them in words.

pub mod prelude;

mod engines;
mod listing;
mod requests;
