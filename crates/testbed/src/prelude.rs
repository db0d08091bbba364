//! Imports shared by the files of this package, and the public API for tests.

pub use crate::faults::*;
pub use crate::fleet::*;
pub use crate::plan::*;
pub use crate::process::*;
pub use crate::relay::*;
pub use crate::report::*;
pub(crate) use crate::requests::REQUEST_TIMEOUT;
pub(crate) use crate::startup::{QUICK_LINK_US, SLOW_LINK_US};
pub use contract::prelude::EngineLogLine;
pub(crate) use process::prelude::sha256_hex;
pub use serde_json::{Value, json};
pub(crate) use std::collections::BTreeMap;
pub(crate) use std::io::BufRead;
pub(crate) use std::net::TcpStream;
pub(crate) use std::path::{Path, PathBuf};
pub(crate) use std::process::{Child, Command, Stdio};
pub(crate) use std::sync::{Arc, Mutex, Weak};
pub use std::time::Duration;
pub(crate) use units::prelude::*;
pub use verdict::prelude::{CallerLine, EventLine, Record, Violation, check_record};
pub use web::prelude::{Method, StatusCode};
pub(crate) use web::prelude::{OutgoingRequest, fetch_json, fetch_response, small_runtime};
