//! Re-exports the public items of this crate, together with the external items its modules use.

pub use crate::engines::*;
pub use crate::listing::*;
pub use crate::requests::*;
pub(crate) use blocks::prelude::CacheEvent;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use units::prelude::*;
