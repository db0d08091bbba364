//! Common imports of this package's files, and of the stand-in store.

pub use crate::adapters::*;
pub(crate) use crate::attempts::*;
pub use crate::block_cache::*;
pub use crate::cache_routes::*;
pub(crate) use crate::completion::*;
pub use crate::cost::*;
pub use crate::faults::*;
pub use crate::server::*;
pub use blocks::prelude::*;
pub use contract::prelude::*;
pub use process::prelude::*;
pub use serde_json::{Value, json};
pub(crate) use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
pub(crate) use std::io::Write as _;
pub use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
pub use std::sync::{Arc, Mutex};
pub(crate) use std::time::Duration;
pub use units::prelude::*;
pub use web::prelude::*;
