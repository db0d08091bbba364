//! Re-exports the public items of this crate, together with the external items its modules use.

pub use crate::log::*;
pub use crate::messages::*;
pub(crate) use desired::prelude::{CommandOutcome, FleetState, Submission};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::VecDeque;
pub(crate) use units::prelude::*;
pub use view::prelude::LogPosition;
