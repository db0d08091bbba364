//! The gateway: takes opaque requests, chooses an engine of the route's service for each by the cost of
//! its prompt's parts, and passes the answer back unchanged. What callers and engines speak is read and
//! written by protocols that the program hands in; nothing here knows a header's name.

pub mod prelude;

mod assignment;
mod caller_site;
mod candidates;
mod connections;
mod events;
mod followers;
mod gate;
mod mechanism;
mod peer_grants;
mod process;
mod protocol;
mod readiness;
mod relay;
mod relay_log;
mod relay_site;
mod request;
mod retry_state;
mod table;
