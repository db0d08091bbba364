//! The stand-in engine: its block cache, its cost model and its HTTP interface. The stand-in store uses the same
//! block cache.

pub mod prelude;

mod adapters;
mod attempts;
mod block_cache;
mod block_transfer;
mod cache_routes;
mod completion;
mod cost;
mod faults;
mod orders;
mod server;
