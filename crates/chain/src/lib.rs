//! The log that runs along the chain of keepers. Records are numbered by the head and carry the view
//! they were made in, so that two logs with an equal mark are equal up to it. A member that is not
//! aligned with the one before it in the present view is first brought level: by the records after
//! its own mark if that mark is known there, by a whole snapshot if not.

pub mod prelude;

mod log;
mod messages;
