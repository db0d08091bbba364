//! The one import of this package's files.

pub(crate) use crate::addressing::*;
pub(crate) use crate::asks::*;
pub(crate) use crate::composing::*;
pub use crate::dispatch::*;
pub(crate) use crate::duties::*;
pub use crate::leaving::*;
pub use crate::machine::*;
pub use crate::messages::*;
pub(crate) use crate::tail::*;
pub use crate::viewing::list_ids;
pub use adapters::prelude::{DemandReport, HeardDemand};
pub use chain::prelude::{ChainMessage, CommitAges, Log, Record};
pub use desired::prelude::{
    CLAIM_SPAN, Command, Complaint, Duty, DutyKind, FleetState, Listing, Revision, Settled, Standing, Submission,
};
pub use lease::prelude::{HeldLease, LEASE_MARGIN, NODE_LEASE, NodeLeases, READ_LEASE, ReadLease, Timing};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub(crate) use units::prelude::*;
pub use view::prelude::{Ballot, Campaign, LogPosition, Member, View, ViewMessage, VoterState};
