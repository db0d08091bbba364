//! Common imports of this package's files.

pub(crate) use crate::load_run::*;
pub(crate) use crate::workload::*;
pub(crate) use contract::prelude::*;
pub(crate) use process::prelude::*;
pub(crate) use serde_json::{Value, json};
pub(crate) use std::io::Write as _;
pub(crate) use std::sync::{Arc, Mutex};
pub(crate) use std::time::Duration;
pub(crate) use units::prelude::*;
pub(crate) use verdict::prelude::CallerLine;
pub(crate) use web::prelude::{IncomingResponse, Method, OutgoingRequest, open_stream, read_whole, small_runtime};
