//! The items that every file of this crate, and programs that embed a router, import.

pub use crate::allowance_extender::*;
pub use crate::api_handler::*;
pub use crate::demand::*;
pub use crate::feed::*;
pub use crate::followers::*;
pub use crate::forward::*;
pub use crate::held_runs::*;
pub use crate::pieces::*;
pub use crate::plan::*;
pub use crate::recorder::*;
pub use crate::router_roster::*;
pub use crate::scheduler::*;
pub use crate::shared_state::*;
pub use adapters::prelude::{DemandMeter, DemandReport};
pub use admission::prelude::{ConcurrencyShares, RetryBudget};
pub use attempts::prelude::*;
pub use blocks::prelude::{BLOCK_TOKENS, Salt, blocks_needed, hash_blocks};
pub use budget::prelude::{Share, configure_allocator};
pub use contract::prelude::*;
pub use desired::prelude::{Command, CommandOutcome, Submission};
pub use figures::prelude::{PolicyMetrics, TrafficMetrics};
pub use lease::prelude::{GrantReport, GrantTracker, Timing};
pub use links::prelude::{Hello, Link, LinkEvent, Purpose, dial_and_run};
pub use placement::prelude::*;
pub use process::prelude::*;
pub use queues::prelude::*;
pub use recording::prelude::{DayWriter, RecordedPick, RecordedRun, RecordedScore};
pub use serde_json::{Value, json};
pub use std::collections::{BTreeMap, HashMap, VecDeque};
pub use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
pub use std::sync::{Arc, Mutex, RwLock};
pub use std::time::Duration;
pub use tokio::sync::oneshot;
pub use units::prelude::*;
#[cfg(test)]
pub(crate) use web::prelude::MAX_EVENT_BYTES;
pub use web::prelude::{
    BodyFault, BodySender, Bytes, EventBlock, EventBlocks, IncomingRequest, IncomingResponse, Method, OpenStream,
    OutgoingRequest, RequestHandler, ResponseFuture, SendFault, ServerOptions, StatusCode, WebResponse,
    WebResponseExt, bind, bytes_response, error_response, json_response, not_found_response, open_stream, read_whole,
    serve_with_options, small_runtime, streaming_response,
};
pub use wire::prelude::{AgentToRouter, RouterAddress, RouterToAgent};
