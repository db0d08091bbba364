//! Selects the engine for a request. It is a pure state machine without a clock or sockets. It owns the index of
//! cached prompt parts, the history of parts that this node sent, the load of this node's own requests, and the
//! coarse, delayed load that each engine reports. A cost function decides among the available engines. The
//! caller supplies the candidates: it decides which engines are listed, run usable weights and belong to the
//! tenant's isolation domain.

pub mod prelude;

mod availability;
mod choice;
mod fetch;
mod peers;
mod request;
mod selector;
mod source_state;
