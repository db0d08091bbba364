//! Decides which orders engines get, from the fleet state and the engines' own reports, without I/O. An engine
//! serves requests once its weights are confirmed in the fleet state. New weights are loaded in waves: close
//! the engine (in force on every router before anything else), wait for running requests, load, confirm, open.

pub mod prelude;

mod actions;
mod rollout;
