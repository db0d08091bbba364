//! The one import of this package's files.

pub use crate::engines::*;
pub use crate::listing::*;
pub use crate::requests::*;
pub(crate) use blocks::prelude::CacheEvent;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use units::prelude::*;
