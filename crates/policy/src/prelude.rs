//! The one import of this package's files.

pub use crate::cost::*;
pub use crate::table::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::BTreeMap;
pub(crate) use units::prelude::*;
