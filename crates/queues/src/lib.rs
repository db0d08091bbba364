//! Bounded queues and duty threads. A duty is a named thread; one that panics has met a broken
//! invariant, and takes the process with it.

#![warn(missing_docs)]

pub mod prelude;

mod threads;
