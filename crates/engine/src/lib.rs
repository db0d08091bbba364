//! The stand-in engine's parts: its kept blocks, its pace and its pages. The stand-in store keeps its
//! blocks the same way.

pub mod prelude;

mod adapters;
mod block_cache;
mod cache_routes;
mod completion;
mod cost;
mod faults;
mod fetching;
mod orders;
mod running;
mod site;
