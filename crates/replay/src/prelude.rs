//! Imports shared by the files of this package.

pub(crate) use crate::command_line::*;
pub(crate) use crate::live::*;
pub(crate) use crate::offline::*;
pub(crate) use desired::prelude::{DOCUMENT_BOUNDS, JsonValue, parse_bounded, read_document};
pub(crate) use placement::prelude::spread_of;
pub(crate) use policy::prelude::{LoadBand, Policy, WeightTable, cost};
pub(crate) use process::prelude::*;
pub(crate) use recording::prelude::{RecordedDay, RecordedPick, RecordedRun, RecordedScore, read_day};
pub(crate) use serde_json::json;
pub(crate) use std::collections::{BTreeMap, BTreeSet};
pub(crate) use std::process::ExitCode;
pub(crate) use std::sync::{Arc, Mutex};
pub(crate) use std::time::Duration;
pub(crate) use units::prelude::*;
pub(crate) use web::prelude::{Method, OutgoingRequest, open_stream, small_runtime};
