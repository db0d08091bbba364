//! The items that every file of this crate imports.

pub use crate::actions::*;
pub use crate::rollout::*;
pub(crate) use desired::prelude::{EngineStatus, FleetState, Listed, ListedEngine, Plan, Role, Step};
pub(crate) use std::collections::BTreeMap;
pub(crate) use units::prelude::*;
