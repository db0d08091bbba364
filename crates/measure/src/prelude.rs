//! Imports shared by the files of this package.

pub(crate) use crate::fleets::*;
pub(crate) use crate::picks::*;
pub(crate) use crate::recovery::*;
pub(crate) use crate::trials::*;
pub(crate) use blocks::prelude::{CacheEvent, Salt, hash_blocks};
pub(crate) use desired::prelude::{Command, EngineStatus, FleetState, Listed, ListedEngine, Listing, Submission};
pub(crate) use figures::prelude::{PolicyMetrics, TrafficMetrics};
pub(crate) use placement::prelude::{FleetSnapshot, Picker, Prompt};
pub(crate) use process::prelude::*;
pub(crate) use std::collections::BTreeMap;
pub(crate) use testbed::prelude::{
    DayReport, Duration, Fleet, FleetPlan, Method, Process, RelayMode, Value, boot_millis, json, wait_until,
};
pub(crate) use units::prelude::*;
