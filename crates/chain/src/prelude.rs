//! The one import of this package's files.

pub use crate::log::*;
pub use crate::messages::*;
pub(crate) use desired::prelude::{CommandOutcome, FleetState, Submission};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::VecDeque;
pub(crate) use units::prelude::*;
pub use view::prelude::Mark;
