//! The items that every file of this crate imports.

pub use crate::allowance::*;
pub use crate::gate::*;
pub use crate::held::*;
pub use crate::machine::*;
pub use crate::messages::*;
pub(crate) use blocks::prelude::Salt;
pub(crate) use desired::prelude::{CLAIMS_FULL, CommandOutcome};
pub(crate) use placement::prelude::FleetSnapshot;
pub(crate) use units::prelude::*;
