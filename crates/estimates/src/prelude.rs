//! The prelude: everything that the modules of this crate and its users import.

pub use crate::prefill_speed::*;
pub use crate::quantile::*;
pub(crate) use units::prelude::*;
