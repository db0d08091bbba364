//! The items that each file of this crate imports.

pub use crate::machine::*;
pub use crate::messages::*;
pub(crate) use coordinator::prelude::{
    AgentToKeeper, CommandOutcome, DemandReport, FleetState, KeeperToAgent, RouterAddress, Submission, View,
};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use timing::prelude::renewal_interval;
pub(crate) use units::prelude::*;
