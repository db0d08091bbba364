//! The one import of this package's files, and of whoever judges a run.

pub use crate::adapted::*;
pub(crate) use crate::answers::*;
pub use crate::judge::*;
pub use crate::lines::*;
pub use crate::memory::*;
pub use crate::register::*;
pub use crate::service::*;
pub use crate::states::*;
pub use crate::withdrawn::*;
pub(crate) use contract::prelude::{EngineLogLine, StartLine};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet};
