//! The gateway: takes opaque requests, chooses an engine of the route's service for each by the cost of
//! its prompt's parts, and passes the answer back unchanged. What callers and engines speak is read and
//! written by protocols that the program hands in; nothing here knows a header's name.

pub mod prelude;

mod candidates;
mod connections;
mod events;
mod exchange;
mod followers;
mod front;
mod gate;
mod grant_news;
mod mechanism;
mod ownership;
mod process;
mod protocol;
mod readiness;
mod relay;
mod relay_log;
mod relay_site;
mod request;
mod table;
