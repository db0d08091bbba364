//! Re-exports everything that this package's files use, so that each needs one import.

pub(crate) use crate::adapter_traffic::*;
pub(crate) use crate::block_cache::*;
pub(crate) use crate::callers::*;
pub(crate) use crate::disorder::*;
pub(crate) use crate::engines::*;
pub(crate) use crate::events::*;
pub use crate::faults::fault_kinds;
pub(crate) use crate::faults::*;
pub(crate) use crate::foreign_adapters::*;
pub(crate) use crate::keepers::*;
pub(crate) use crate::machines::*;
pub(crate) use crate::network::*;
pub(crate) use crate::register_operators::*;
pub(crate) use crate::router_runs::*;
pub use crate::run::*;
pub(crate) use crate::shift::*;
pub(crate) use crate::world::*;
pub(crate) use adapters::prelude::{AdapterReport, DemandMeter, DemandReport, WarmingAction, WarmingPlanner};
pub(crate) use admission::prelude::RetryBudget;
pub(crate) use attempts::prelude::*;
pub(crate) use blocks::prelude::{Salt, blocks_needed, hash_blocks};
pub(crate) use conductor::prelude::{Conductor, ConductorAction, EngineObservation};
pub(crate) use contract::prelude::{ADAPTER_NOT_RESIDENT, EngineLogLine, StartLine};
pub(crate) use coordinator::prelude::*;
pub(crate) use desired::prelude::{ConfigurationChange, Intent, Listed, ListedEngine, Role};
pub(crate) use placement::prelude::{
    CacheEvent, FetchFrom, FetchRun, FleetSnapshot, Picker, Placement, Prompt, STORE_SOURCE,
};
pub(crate) use std::cmp::Reverse;
pub(crate) use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
pub(crate) use subscription::prelude::{
    AgentToRouter, RouterToAgent, Subscription, SubscriptionEffect, SubscriptionInput,
};
pub(crate) use units::prelude::*;
pub(crate) use verdict::prelude::{
    CallerLine, EventLine, NEVER, Record, RegisterAnswer, RegisterCall, RegisterOperation, Violation,
    check_questions, check_record, check_register,
};
