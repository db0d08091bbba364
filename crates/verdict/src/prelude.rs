//! The one import of this package's files, and of whoever judges a run.

pub use crate::adapted::*;
pub use crate::judge::*;
pub use crate::lines::*;
pub(crate) use contract::prelude::{EngineLine, StartLine};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet};
