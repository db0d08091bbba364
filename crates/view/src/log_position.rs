//! Positions in the members' logs.

use crate::prelude::*;

/// A position in a log. If two logs contain the same position, they are equal up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    pub edition: Edition,
    pub view: ViewNumber,
}
