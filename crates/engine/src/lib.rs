//! The stand-in engine's parts: its kept blocks, its pace and its pages. The stand-in store keeps its
//! blocks the same way.

pub mod prelude;

mod adapters;
mod cost;
mod memory;
mod site;
