//! The agent that runs beside a router: it holds the stream to the core, renews the node's lease and feeds the
//! router over loopback. One thread owns the subscription and processes a command queue; each stream has its own
//! threads. Nothing is kept on disk: a restarted agent fetches the state from the core.

pub mod prelude;

mod run;
