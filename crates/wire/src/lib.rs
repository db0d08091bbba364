//! The wire protocol between haremount's processes: a hello that states format and fleet, followed by length-prefixed
//! MessagePack frames.

pub mod prelude;

mod frame;
