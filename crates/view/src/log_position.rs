//! Places in the members' logs.

use crate::prelude::*;

/// A place in a log: equal marks mean equal logs up to there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    pub edition: Edition,
    pub view: ViewNumber,
}
