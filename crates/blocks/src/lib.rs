//! Kept blocks: how a prompt is cut and named, and the prefix tree of which engine keeps what. A
//! block's name is chained from a salt of model, weights edition and wall, so a name made under other
//! weights or behind another wall never matches.

pub mod prelude;

mod chunking;
mod events;
mod history;
mod prefix_index;
