//! The prelude: everything that the modules of this crate and its users import.

pub use crate::budget::*;
pub use crate::shares::*;
pub(crate) use std::collections::BTreeMap;
pub(crate) use units::prelude::*;
