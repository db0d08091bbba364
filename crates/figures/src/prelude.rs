//! The one import of this package's files.

pub use crate::histogram::*;
pub use crate::policies::*;
pub use crate::telling::*;
pub(crate) use std::collections::BTreeMap;
pub(crate) use std::fmt::Write;
