//! The one import of this package's files.

pub use crate::grant_tracker::*;
pub use crate::held::*;
pub use crate::nodes::*;
pub use crate::read::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::BTreeMap;
pub(crate) use timing::prelude::PEER_ANSWER_LIMIT;
pub use timing::prelude::{LEASE_MARGIN, Timing};
pub(crate) use units::prelude::*;

pub const READ_LEASE: Span = Span::millis(700);
/// A node's lease where no bounds are stated.
pub const NODE_LEASE: Span = Timing::DEFAULT.node_lease;
