//! HTTP/1.1 on gotham and hyper: a small runtime, a server with timeouts for its clients, bodies read within
//! limits, streamed responses that abort instead of ending cleanly when they are incomplete, and a client that
//! reports whether any byte of a failed request may have been sent.

pub mod prelude;

mod body;
mod client;
mod client_account;
mod closing;
mod event_stream;
mod framing;
mod guard;
mod persistent;
mod server;
mod sockets;
