//! Cached prompt parts: their names, the numbered events of the sources that cache them, the index of cached tokens
//! by source, and a node's record of the parts that it sent. A name includes a salt, so a part of other weights or
//! of another isolation domain has another name.

pub mod prelude;

mod events;
mod index;
mod name;
mod sent;
