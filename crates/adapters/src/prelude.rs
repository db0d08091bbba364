//! The items that every file of this crate imports.

pub(crate) use crate::assignment::*;
pub use crate::closing::*;
pub use crate::demand::*;
pub use crate::meter::*;
pub use crate::old_weights::*;
pub use crate::planner::*;
pub use crate::pool::*;
pub(crate) use desired::prelude::{
    AdapterCopy, AdapterSpec, CopyStage, FleetState, Listed, ListedEngine, Plan, Role, Step, WarmingSettings,
};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet};
pub(crate) use units::prelude::*;
