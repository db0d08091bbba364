//! The desired state and the replicated fleet state it is part of.
//!
//! Operators state the desired state in a JSON document, which is validated as a whole: every error is reported
//! with its path. The fleet state is a replicated state machine: each record of the chain carries a [`Command`],
//! and applying the same commands in the same order gives the same fleet state on every keeper and router.
//!
//! [`Command`]: prelude::Command

pub mod prelude;

mod adapter_placements;
mod adapters;
mod claims;
mod commands;
mod configuration;
mod document;
mod document_changes;
mod duties;
mod fleet;
mod json_text;
mod listing;
mod object_reader;
mod operator_submissions;
mod plan_commands;
mod plans;
mod traffic;
mod walls;
