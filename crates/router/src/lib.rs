//! The router accepts prompts, picks an engine for each by its estimated cost, and forwards the stream.
//!
//! Its long-running parts are the feed (fleet state and lease, from the agent), the scheduler (picks, concurrency
//! shares, retry budget), a follower of each engine's cache events, and the HTTP handlers. No attempt starts
//! without a lease.

mod allowance_extender;
mod api_handler;
mod demand;
mod feed;
mod followers;
mod forward;
mod held_runs;
mod pieces;
mod plan;
pub mod prelude;
mod recorder;
mod router_roster;
mod scheduler;
mod shared_state;
