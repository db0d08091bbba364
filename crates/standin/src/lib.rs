//! What the stand-ins share: logs, a listener, the ready line, and a site served until the process is
//! told to stop.

pub mod prelude;

mod booth;
