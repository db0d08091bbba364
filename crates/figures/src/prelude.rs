//! The one import of this package's files.

pub use crate::exposition::*;
pub use crate::histogram::*;
pub use crate::policy_metrics::*;
pub(crate) use std::collections::BTreeMap;
pub(crate) use std::fmt::Write;
