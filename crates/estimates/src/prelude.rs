//! The one import of this package's files, and of others for estimates.

pub use crate::quantile::*;
pub use crate::reading_speed::*;
pub(crate) use units::prelude::*;
