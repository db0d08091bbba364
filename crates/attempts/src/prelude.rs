//! The one import of this package's files.

pub use crate::allowance::*;
pub use crate::gate::*;
pub use crate::held::*;
pub use crate::machine::*;
pub use crate::messages::*;
pub(crate) use blocks::prelude::Salt;
pub(crate) use desired::prelude::{CLAIMS_FULL, Settled};
pub(crate) use placement::prelude::FleetSnapshot;
pub(crate) use units::prelude::*;
