//! The one import of this package's files.

pub use crate::agreed::*;
pub use crate::campaign::*;
pub use crate::mark::*;
pub use crate::vote::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet};
pub(crate) use units::prelude::*;
