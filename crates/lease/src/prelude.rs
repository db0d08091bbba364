//! Re-exports the public items of this crate, together with the external items its modules use.

pub use crate::grant_tracker::*;
pub use crate::held::*;
pub use crate::nodes::*;
pub use crate::read::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::BTreeMap;
pub(crate) use timing::prelude::PEER_ANSWER_LIMIT;
pub use timing::prelude::{LEASE_MARGIN, Timing};
pub(crate) use units::prelude::*;

/// The duration of the tail's read lease.
pub const READ_LEASE: Span = Span::millis(700);
/// The duration of a node's lease if no bounds are configured.
pub const NODE_LEASE: Span = Timing::DEFAULT.node_lease;
