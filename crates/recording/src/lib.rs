//! Recorded days. A file begins with a head line naming the format, then has one line for each run: a
//! checksum of eight hex digits, a space, JSON. No prompt text is in it, only block names and sizes.

pub mod prelude;

mod lines;
mod reading;
mod writing;
