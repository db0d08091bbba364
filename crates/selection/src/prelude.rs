//! The prelude: everything that the modules of this crate and its users import.

pub use crate::fetch::*;
pub use crate::peers::NodeLoad;
pub use crate::request::*;
pub use crate::selector::*;
pub use crate::source_state::{EngineLoad, FaultKind};
pub(crate) use crate::{availability::*, peers::*, source_state::*};
pub(crate) use estimates::prelude::PrefillSpeed;
pub use parts::prelude::{FollowOutcome, PartBatch, PartEvent, PartName, SourcePosition};
pub(crate) use parts::prelude::{PartIndex, SentParts, stable_hash};
pub use policy::prelude::LoadBand;
pub(crate) use policy::prelude::cost;
pub(crate) use std::collections::{BTreeMap, BTreeSet, HashMap};
pub(crate) use units::prelude::*;
