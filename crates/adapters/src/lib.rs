//! Decides which engines keep which adapter loaded ("warm"), without I/O. Its inputs are where requests for each
//! adapter arrive and which adapters engines report as resident; its outputs are changes to the fleet state and
//! orders to engines. It remembers only averages and ages: decisions are kept in the fleet state, so that another
//! conductor can continue from there.
//!
//! A copy is used only after it was loaded and its engine reported it. Copies that are no longer wanted stay
//! until their place is needed and are evicted in the order of their last use, but none before its replacements
//! are warm.

pub mod prelude;

mod assignment;
mod closing;
mod demand;
mod meter;
mod old_weights;
mod planner;
mod pool;
