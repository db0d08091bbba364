//! Long-lived TCP connections between haremount's own processes. A `Link` is one connection, accepted or dialed,
//! with a reading and a writing thread; a bounded queue leads to the writing thread. A `PeerSender` keeps one
//! outgoing connection for each address and drops what it cannot send: its user repeats the messages that matter.

pub mod prelude;

mod link;
mod peer_sender;
mod sockets;
