//! One keeper's state as a pure state machine: (state, input, instant) -> effects. It combines chain replication, the
//! agreed view, leases and duties, and owns no clock, socket, disk or thread. The keeper program and the simulator
//! both drive it. Effects are carried out in order, and everything to be stored is synced before any later effect
//! takes place.

pub mod prelude;

mod addressing;
mod catch_up;
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
