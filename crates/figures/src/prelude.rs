//! Re-exports the public items of this crate, together with the external items its modules use.

pub use crate::exposition::*;
pub use crate::histogram::*;
pub use crate::policy_metrics::*;
pub(crate) use std::collections::BTreeMap;
pub(crate) use std::fmt::Write;
