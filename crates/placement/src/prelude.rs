//! The one import of this package's files.

pub use crate::fetch::*;
pub(crate) use crate::known_engine::*;
pub use crate::pick::*;
pub use crate::picker::*;
pub use crate::placement::*;
pub use crate::sight::*;
pub use blocks::prelude::{CacheEvent, EventCursor, PrefixIndex, SentHistory, SourceIndex};
pub use desired::prelude::Role;
pub(crate) use desired::prelude::{FleetState, Listed, ListedEngine, Policy, Sight, Standing};
pub(crate) use policy::prelude::{LoadBand, WeightTable, cost};
pub use routes::prelude::RouteTable;
pub(crate) use std::collections::{BTreeMap, HashMap};
pub(crate) use std::sync::Arc;
pub(crate) use std::sync::atomic::{AtomicU64, Ordering};
pub(crate) use units::prelude::*;
