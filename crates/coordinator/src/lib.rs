//! One keeper's whole state, as a pure machine: (state, input, instant) -> effects. It joins the chain,
//! the agreed view, the leases and the duties; it owns no clock, socket, disk or thread. The keeper
//! program and the simulator both drive it. Effects are carried out in order, and whatever is to be
//! stored is synced before any later effect leaves the machine.

pub mod prelude;

mod addressing;
mod dispatch;
mod duties;
mod leaving;
mod machine;
mod messages;
mod queries;
mod replication;
mod tail;
mod view_changes;
mod view_composition;
