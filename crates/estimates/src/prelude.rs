//! The one import of this package's files, and of others for estimates.

pub use crate::prefill_speed::*;
pub use crate::quantile::*;
pub(crate) use units::prelude::*;
