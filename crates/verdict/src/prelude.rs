//! Imports shared by the files of this package, and the public API for checking a run.

pub use crate::adapters::*;
pub(crate) use crate::answers::*;
pub use crate::cache::*;
pub use crate::check::*;
pub use crate::lines::*;
pub use crate::register::*;
pub use crate::service::*;
pub use crate::states::*;
pub use crate::withdrawn::*;
pub(crate) use contract::prelude::{EngineLogLine, StartLine};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet};
