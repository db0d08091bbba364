//! The one import of this package's files.

pub(crate) use crate::cost::*;
pub(crate) use crate::memory::*;
pub(crate) use crate::site::*;
pub(crate) use blocks::prelude::*;
pub(crate) use contract::prelude::*;
pub(crate) use serde_json::{Value, json};
pub(crate) use std::collections::{BTreeMap, HashMap, VecDeque};
pub(crate) use std::io::Write as _;
pub(crate) use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
pub(crate) use std::sync::{Arc, Mutex};
pub(crate) use std::time::Duration;
pub(crate) use trade::prelude::*;
pub(crate) use units::prelude::*;
pub(crate) use web::prelude::*;
