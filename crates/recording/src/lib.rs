//! Recordings of the runs that a router forwarded. A file starts with a header line that names the format, followed
//! by one line for each run. Each line is a checksum of eight hex digits, a space and JSON. No prompt text is
//! recorded, only block hashes and sizes.

pub mod prelude;

mod lines;
mod reading;
mod writing;
