//! The one import of this crate's files, and of programs that run a gateway.

pub use crate::assignment::*;
pub use crate::caller_handler::*;
pub use crate::candidates::*;
pub use crate::connections::*;
pub use crate::events::*;
pub use crate::followers::*;
pub use crate::gate::*;
pub use crate::mechanism::*;
pub use crate::old_weights::*;
pub use crate::peer_grants::*;
pub use crate::process::*;
pub use crate::protocol::*;
pub use crate::readiness::*;
pub use crate::relay::*;
pub use crate::relay_handler::*;
pub use crate::relay_log::*;
pub use crate::request::*;
pub use crate::retry_state::*;
pub use crate::scheduler::*;
pub(crate) use admission::prelude::RetryBudget;
pub(crate) use attempts::prelude::is_leased;
pub(crate) use blocks::prelude::Salt;
pub use budget::prelude::{Budget, ProcessLimits, Share, configure_allocator};
pub(crate) use desired::prelude::{DesiredState, ServiceSpec};
pub use parts::prelude::{PartBatch, PartEvent, PartName, SourcePosition};
pub(crate) use placement::prelude::{DEFAULT_POLICY, FleetSnapshot, NO_WEIGHTS, OldWeightsLimits};
pub(crate) use process::prelude::{Report, event, miette, sha256_hex};
pub(crate) use queues::prelude::*;
pub use router::prelude::RouterAddress;
pub use router::prelude::Timing;
pub(crate) use router::prelude::{CoordinatorClient, FeedConfig, GrantReport, SharedState, spawn_feed};
pub(crate) use routes::prelude::{NamedRoute, RouteKind};
pub use selection::prelude::{
    Candidate, Chosen, FaultKind, FollowOutcome, LoadBand, NodeLoad, Selection, SelectionRequest, SelectionSettings,
    Selector, StoreLocation, store_source,
};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
pub(crate) use std::sync::atomic::{AtomicU64, Ordering};
pub(crate) use std::sync::{Arc, Mutex};
pub(crate) use std::time::Duration;
pub(crate) use tokio::sync::oneshot;
pub use units::prelude::*;
pub(crate) use web::prelude::{
    BodyExt, BodyFault, BodySender, ConnectionTimeouts, CountedBody, Event, EventBlock, EventBlocks, EventFault,
    Incoming, IncomingRequest, OpenConnections, OutgoingRequest, PersistentConnection, RequestHandler, Response,
    ResponseFuture, ServerOptions, WebResponse, WebResponseExt, bind, bytes_response, fetch_response, read_whole,
    read_within_budget, serve_with_options, streaming_response,
};
pub use web::prelude::{
    Bytes, ClientAccount, Full, HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri,
};
