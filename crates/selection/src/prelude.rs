//! The one import of this package's files.

pub use crate::fetch::*;
pub use crate::known::{EngineLoad, FaultKind};
pub use crate::peers::OwnWork;
pub use crate::request::*;
pub use crate::selector::*;
pub(crate) use crate::{bearing::*, known::*, peers::*};
pub(crate) use estimates::prelude::ReadingSpeed;
pub use parts::prelude::{FollowOutcome, PartBatch, PartEvent, PartName, SourcePosition};
pub(crate) use parts::prelude::{PartIndex, SentParts, stable_hash};
pub use policy::prelude::LoadBand;
pub(crate) use policy::prelude::cost;
pub(crate) use std::collections::{BTreeMap, BTreeSet, HashMap};
pub(crate) use units::prelude::*;
