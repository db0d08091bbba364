//! Held streams between haremount's own processes. A `Door` accepts, a dial opens; each stream has a
//! reading and a writing thread, joined to its owner by bounded queues. A `PeerSender` keeps one outgoing
//! stream for each address and drops what cannot be sent: whoever uses it says again what matters.

pub mod prelude;

mod held;
mod post;
mod sockets;
