//! Bounded queues, and named threads that abort the process when they panic: a panic means a broken invariant, and
//! the other threads must not go on without the failed one.

#![warn(missing_docs)]

pub mod prelude;

mod threads;
