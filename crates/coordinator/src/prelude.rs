//! The items that each file of this crate imports.

pub(crate) use crate::addressing::*;
pub use crate::dispatch::*;
pub(crate) use crate::duties::*;
pub use crate::leaving::*;
pub use crate::machine::*;
pub use crate::messages::*;
pub(crate) use crate::queries::*;
pub(crate) use crate::tail::*;
pub use crate::view_changes::join_ids;
pub(crate) use crate::view_composition::*;
pub use adapters::prelude::{AgedDemandReport, DemandReport};
pub use chain::prelude::{ChainMessage, CommitAges, Log, Record, SourceState};
pub use desired::prelude::{
    CLAIM_RETENTION, Command, CommandOutcome, Duty, DutyKind, EngineStatus, FleetState, Listing, Revision,
    Submission, ValidationError,
};
pub use lease::prelude::{HeldLease, LEASE_MARGIN, NODE_LEASE, NodeLeases, READ_LEASE, ReadLease, Timing};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub(crate) use units::prelude::*;
pub use view::prelude::{Ballot, Campaign, LogPosition, Member, View, ViewMessage, VoterState};
