//! Common imports of this package's files, and of the stand-in programs that use it.

pub use crate::serving::*;
pub(crate) use process::prelude::*;
pub(crate) use std::sync::Arc;
pub(crate) use web::prelude::{RequestHandler, bind, serve, small_runtime};
