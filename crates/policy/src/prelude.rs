//! Re-exports the public items of this crate, together with the external items its modules use.

pub use crate::cost::*;
pub use crate::table::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::BTreeMap;
pub(crate) use units::prelude::*;
