//! The one import of this package's files.

pub use crate::adapted::*;
pub use crate::callers::*;
pub use crate::carrying::*;
pub use crate::cast::*;
pub use crate::disorder::*;
pub use crate::faults::*;
pub use crate::keepers::*;
pub use crate::net::*;
pub use crate::pool::*;
pub use crate::run::*;
pub use crate::shift::*;
pub use crate::world::*;
pub(crate) use adapters::prelude::{DemandMeter, DemandReport, SeenEngine, WarmingAct, WarmingPlanner};
pub(crate) use admission::prelude::RetryBudget;
pub(crate) use attempts::prelude::*;
pub(crate) use blocks::prelude::{Salt, blocks_of, cut};
pub(crate) use conductor::prelude::{Act, Conductor, Observed};
pub(crate) use contract::prelude::{EngineLine, NOT_RESIDENT, StartLine};
pub(crate) use coordinator::prelude::*;
pub(crate) use desired::prelude::{Intent, Listed, ListedEngine, Role};
pub(crate) use placement::prelude::{
    FetchFrom, FetchRun, FleetSight, KeptEvent, Picker, Placement, Prompt, STORE_SOURCE,
};
pub(crate) use std::cmp::Reverse;
pub(crate) use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
pub(crate) use subscription::prelude::{Courier, CourierEffect, CourierInput, RouterDown, RouterUp};
pub(crate) use units::prelude::*;
pub(crate) use verdict::prelude::{CallerLine, Record, Violation, WorldLine, judge, judge_questions};
