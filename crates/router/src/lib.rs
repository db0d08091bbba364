//! The router: takes prompts, picks each one's engine by the source's cost, and forwards the stream.
//! Duties: the feed (fleet and lease from the agent), the table (picks, shares, budget), followers of
//! the engines' events, and the request site on a small runtime. Nothing starts without a lease.

mod allowance_extender;
mod demand;
mod feed;
mod followers;
mod forward;
mod held_runs;
mod pieces;
mod plan;
pub mod prelude;
mod recorder;
mod request_site;
mod router_roster;
mod scheduler;
mod shared_state;
