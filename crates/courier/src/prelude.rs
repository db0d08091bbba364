//! The one import of this package's files.

pub use crate::mind::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use units::prelude::*;
pub(crate) use warden::prelude::{DemandReport, FleetState, NodeDown, NodeUp, RouterDoor, Settled, Submission, View};
