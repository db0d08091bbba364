//! The process of a core machine: a chain member, a voter and an interface for operators. It runs the executor
//! (coordinator and data folder), inbound and outbound links, the engine listing poller, the engine conductor and
//! the operators' HTTP interface, which has a small runtime of its own. The protocols of operators, of engines and
//! of the engine directory are plugged in through the traits in `ports`.

pub mod prelude;

mod adapters_page;
mod conductor_duty;
mod directory_poller;
mod document_admission;
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
