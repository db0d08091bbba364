//! The one import of this package's files.

pub(crate) use crate::allowing::*;
pub(crate) use crate::carry::*;
pub(crate) use crate::entry::*;
pub(crate) use crate::feed::*;
pub(crate) use crate::followers::*;
pub(crate) use crate::pieces::*;
pub(crate) use crate::plan::*;
pub(crate) use crate::recorder::*;
pub(crate) use crate::runs::*;
pub(crate) use crate::stand::*;
pub(crate) use crate::table::*;
pub(crate) use admission::prelude::{RetryBudget, Shares};
pub(crate) use blocks::prelude::{BLOCK_TOKENS, Salt, blocks_of, cut};
pub(crate) use carriage::prelude::*;
pub(crate) use contract::prelude::*;
pub(crate) use desired::prelude::{Command, Settled, Submission};
pub(crate) use figures::prelude::{Figures, PolicyBook};
pub(crate) use links::prelude::{Hello, Link, LinkEvent, Purpose, dial_and_hold};
pub(crate) use placement::prelude::*;
pub(crate) use recording::prelude::{DayWriter, RecordedPick, RecordedRun, RecordedScore};
pub(crate) use rings::prelude::*;
pub(crate) use serde_json::{Value, json};
pub(crate) use std::collections::{HashMap, VecDeque};
pub(crate) use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
pub(crate) use std::sync::{Arc, Mutex, RwLock};
pub(crate) use std::time::Duration;
pub(crate) use tokio::sync::oneshot;
pub(crate) use trade::prelude::*;
pub(crate) use units::prelude::*;
pub(crate) use web::prelude::{
    Asked, BodyFault, Bytes, Method, OpenStream, OutcomeFuture, PieceSender, Question, Replied, SendFault, Site,
    StatusCode, WebOutcome, WebOutcomeExt, bind, no_such_page, open_stream, outcome_bytes, outcome_json,
    outcome_pieces, read_whole, refuse, serve, small_runtime,
};
pub(crate) use wire::prelude::{RouterDown, RouterUp};
