//! The items that each file of this crate imports.

pub(crate) use crate::Client;
pub(crate) use crate::arguments::*;
pub(crate) use crate::comparison::*;
pub(crate) use figures::prelude::{PolicyMetrics, Quantile, TrafficMetrics};
pub(crate) use process::prelude::*;
pub(crate) use serde_json::{Value, json};
pub(crate) use std::process::ExitCode;
pub(crate) use units::prelude::*;
pub(crate) use web::prelude::{HeaderMap, Method, OutgoingRequest, StatusCode, fetch_response, small_runtime};
