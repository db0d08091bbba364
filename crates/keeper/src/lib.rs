//! A core machine's process: member of the chain, voter, and an interface for operators. Duties: the executor
//! (coordinator and data folder), links in, post out, census, and the interface on a small runtime of its own. What
//! operators, engines and the list of engines speak goes through ports.

pub mod prelude;

mod adapters_page;
mod conductor_duty;
mod directory_poller;
mod executor;
mod listing_poller;
mod operator_interface;
mod ports;
mod protocol_interface;
mod publisher;
mod retry_queue;
mod run;
mod state_store;
mod weights_orders;
