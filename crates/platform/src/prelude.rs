//! Common imports of this package's files.

pub(crate) use contract::prelude::*;
pub(crate) use process::prelude::*;
pub(crate) use serde_json::json;
pub(crate) use standin::prelude::*;
pub(crate) use std::sync::{Arc, Mutex};
pub(crate) use units::prelude::*;
pub(crate) use web::prelude::*;
