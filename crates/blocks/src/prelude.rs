//! The one import of this package's files.

pub use crate::chunking::*;
pub use crate::events::*;
pub use crate::history::*;
pub use crate::prefix_index::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{HashMap, HashSet, VecDeque};
pub(crate) use units::prelude::*;
