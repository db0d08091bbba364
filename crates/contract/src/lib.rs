//! The types of the external interfaces: callers' requests, engines' events and orders, the platform's listing. The
//! stand-ins and the daemons share them; docs/contract.md describes them.

pub mod prelude;

mod engines;
mod listing;
mod requests;
