//! Re-exports the public items of this crate, together with the external items its modules use.

pub use crate::chunking::*;
pub use crate::events::*;
pub use crate::history::*;
pub use crate::prefix_index::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{HashMap, HashSet, VecDeque};
pub(crate) use units::prelude::*;
