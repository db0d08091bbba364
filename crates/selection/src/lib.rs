//! A node's selection of an engine, as a pure machine without clock or sockets. It owns the index of kept
//! prompt parts, the node's own history, the load derived from its own requests, and each engine's coarse,
//! late count. The source's formula decides among the engines that pass; which engines are listed, on which
//! weights and behind which wall is judged by the caller, who gives the candidates.

pub mod prelude;

mod bearing;
mod choice;
mod fetch;
mod known;
mod peers;
mod request;
mod selector;
