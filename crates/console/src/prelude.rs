//! The one import of this package's files.

pub(crate) use crate::Asker;
pub(crate) use crate::comparing::*;
pub(crate) use crate::words::*;
pub(crate) use figures::prelude::{PolicyMetrics, Quantile, TrafficMetrics};
pub(crate) use process::prelude::*;
pub(crate) use serde_json::{Value, json};
pub(crate) use std::process::ExitCode;
pub(crate) use units::prelude::*;
pub(crate) use web::prelude::{HeaderMap, Method, OutgoingRequest, StatusCode, fetch_response, small_runtime};
