//! The prelude: everything that the modules of this crate and its users import.

pub(crate) use crate::engine_state::*;
pub use crate::fetch::*;
pub use crate::fleet_snapshot::*;
pub use crate::pick::*;
pub use crate::picker::*;
pub use crate::placement::*;
pub use blocks::prelude::{CacheEvent, EventCursor, PrefixIndex, SentHistory, SourceIndex};
pub use desired::prelude::Role;
pub(crate) use desired::prelude::{CacheStateSource, EngineStatus, FleetState, Listed, ListedEngine, Policy};
pub(crate) use policy::prelude::{LoadBand, WeightTable, cost};
pub use routes::prelude::RouteTable;
pub(crate) use std::collections::{BTreeMap, HashMap};
pub(crate) use std::sync::Arc;
pub(crate) use units::prelude::*;
