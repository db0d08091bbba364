//! The one import of this package's files.

pub use crate::budget::*;
pub use crate::shares::*;
pub(crate) use std::collections::BTreeMap;
pub(crate) use units::prelude::*;
