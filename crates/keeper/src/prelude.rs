//! The items that each file of this crate imports, and the public ones for programs that run a keeper.

pub(crate) use crate::adapters_page::*;
pub(crate) use crate::conductor_duty::*;
pub(crate) use crate::directory_poller::*;
pub use crate::document_admission::*;
pub use crate::executor::ExecutorCommand;
pub(crate) use crate::executor::*;
pub(crate) use crate::listing_poller::*;
pub(crate) use crate::operator_interface::*;
pub use crate::ports::*;
pub(crate) use crate::protocol_interface::*;
pub use crate::publisher::KeeperSnapshot;
pub(crate) use crate::publisher::*;
pub use crate::retry_queue::*;
pub use crate::run::*;
pub use crate::state_store::*;
pub(crate) use crate::weights_orders::*;
pub(crate) use adapters::prelude::{AdapterReport, RATE_UNIT, WarmingAction, WarmingPlanner};
pub(crate) use budget::prelude::{Budget, Share, configure_allocator, return_unused_memory};
pub use conductor::prelude::OrderAnswer;
pub(crate) use conductor::prelude::{Conductor, ConductorAction, EngineObservation, RolloutStep, WeightsRollout};
pub(crate) use contract::prelude::*;
pub(crate) use coordinator::prelude::*;
pub(crate) use desired::prelude::{
    Bounds as TextBounds, ConfigurationChange, CopyStage, DOCUMENT_BOUNDS, DesiredState, JsonValue, Listed,
    ListedEngine, LoadBand, Plan, PlanStatus, Policy, Revision, Role, merge, parse_bounded, read_document,
    read_intent, write_sorted,
};
pub(crate) use ledger::prelude::{DataFolder, DiskFault, Row};
pub(crate) use links::prelude::{Hello, Link, LinkEvent, LinkId, PeerSender, Purpose, accept_links};
pub(crate) use process::prelude::*;
pub(crate) use queues::prelude::*;
pub(crate) use serde_json::{Value, json};
pub(crate) use std::collections::{BTreeMap, BTreeSet, HashMap};
pub(crate) use std::path::{Path, PathBuf};
pub(crate) use std::sync::atomic::{AtomicU64, Ordering};
pub(crate) use std::sync::{Arc, RwLock};
pub(crate) use std::time::Duration;
pub use timing::prelude::Timing;
pub(crate) use tokio::sync::oneshot;
pub(crate) use units::prelude::*;
pub use web::prelude::{HeaderMap, Method, StatusCode, bind};
pub(crate) use web::prelude::{
    IncomingRequest, RequestHandler, ResponseFuture, ServerOptions, WebResponse, WebResponseExt, body_fault_response,
    bytes_response, error_response, fetch_response, json_response, not_found_response, open_stream,
    serve_with_options, small_runtime,
};
pub(crate) use wire::prelude::Inbound;
