//! The agent beside a router: holds the stream to the core, renews the node's lease, and feeds the
//! router over loopback. One duty owns the subscription and works through a queue; each stream has its own
//! threads. It keeps nothing on disk: a restarted agent starts from nothing and asks.

pub mod prelude;

mod run;
