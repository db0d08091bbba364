//! The gateway: receives opaque requests, selects an engine of the route's service for each by the cost of its
//! prompt's parts, and forwards the response unchanged. The program provides the caller and engine protocols;
//! this crate knows no protocol header by name.

pub mod prelude;

mod assignment;
mod caller_handler;
mod candidates;
mod connections;
mod events;
mod followers;
mod gate;
mod mechanism;
mod old_weights;
mod peer_grants;
mod process;
mod protocol;
mod readiness;
mod relay;
mod relay_handler;
mod relay_log;
mod request;
mod retry_state;
mod scheduler;
