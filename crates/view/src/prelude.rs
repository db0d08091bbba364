//! Re-exports the public items of this crate, together with the external items its modules use.

pub use crate::campaign::*;
pub use crate::log_position::*;
pub use crate::view::*;
pub use crate::voter::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet};
pub(crate) use units::prelude::*;
