//! Re-exports the public items of this crate, together with the external items its modules use.

pub use crate::bounds::*;
pub use crate::derive::*;
pub(crate) use units::prelude::*;
