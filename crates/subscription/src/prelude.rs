//! The one import of this package's files.

pub use crate::machine::*;
pub use crate::messages::*;
pub(crate) use coordinator::prelude::{
    DemandReport, FleetState, NodeDown, NodeUp, RouterAddress, Settled, Submission, View,
};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use timing::prelude::renewal_interval;
pub(crate) use units::prelude::*;
