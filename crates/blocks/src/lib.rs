//! KV-cache blocks: how a prompt is split and hashed, and the index of which engine caches which blocks.
//!
//! Block hashes are chained from a salt of the model, the version of its weights and the wall (the cache isolation
//! domain), so a hash computed for other weights or behind another wall never matches.

pub mod prelude;

mod chunking;
mod events;
mod history;
mod prefix_index;
