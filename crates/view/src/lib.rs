//! The agreed view of the core: who stands in the chain and in what order, and who votes. View n+1 is
//! decided by a majority of the voters of view n, each view by a vote of its own (single-decree, with
//! ballots). A voter that promised for the next view takes no more part in the present one.

pub mod prelude;

mod campaign;
mod log_position;
mod view;
mod voter;
