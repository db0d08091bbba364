//! The one import of this package's files.

pub use crate::bringing::*;
pub use crate::mind::*;
pub(crate) use desired::prelude::{EngineStatus, FleetState, Listed, ListedEngine, Plan, Role, Step};
pub(crate) use std::collections::BTreeMap;
pub(crate) use units::prelude::*;
