//! The desired state: what operators say, read by hand from `tinyjson` values and checked with every
//! fault listed by its path; and the numbered fleet state it is part of. Each record of the chain is
//! a `Command`; applying the same commands in the same order gives the same fleet state on every
//! keeper and in every router.

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
