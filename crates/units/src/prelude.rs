//! Re-exports every type of this crate, together with the external items its modules use.

pub use crate::adapter::*;
pub use crate::clock::*;
pub use crate::hash::*;
pub use crate::names::*;
pub use crate::numbers::*;
pub use crate::rng::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use sha2::{Digest, Sha256};
pub(crate) use std::fmt;
pub(crate) use std::str::FromStr;
