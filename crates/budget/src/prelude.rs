//! Common imports of this package's files, and what its users import.

pub use crate::account::*;
pub use crate::allocator::*;
pub(crate) use crate::ledger::*;
pub use crate::limits::*;
pub(crate) use std::collections::BTreeMap;
pub(crate) use std::sync::{Arc, Mutex, MutexGuard};
pub(crate) use units::prelude::*;
