//! The one import of this package's files.

pub use crate::log::*;
pub use crate::messages::*;
pub(crate) use desired::prelude::{FleetState, Settled, Submission};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::VecDeque;
pub(crate) use units::prelude::*;
pub use view::prelude::LogPosition;
