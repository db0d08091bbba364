//! The one import of this crate's files.

pub use crate::table::*;
pub use desired::prelude::{Branch, DesiredState, RouteKind, RouteSpec, normalized_host};
pub(crate) use std::collections::HashMap;
pub(crate) use std::sync::Arc;
pub(crate) use units::prelude::*;
