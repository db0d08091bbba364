//! The one import of this package's files.

pub use crate::adapters::*;
pub use crate::claims::*;
pub use crate::commands::*;
pub use crate::configuration::*;
pub use crate::document::*;
pub use crate::duties::*;
pub use crate::fleet::*;
pub use crate::held_adapters::*;
pub use crate::listing::*;
pub use crate::orders::*;
pub use crate::plans::*;
pub use crate::read::*;
pub use crate::scan::*;
pub use crate::traffic::*;
pub use crate::walls::*;
pub use policy::prelude::{LoadBand, Policy, Rule, WeightTable};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub(crate) use std::fmt;
pub use tinyjson::JsonValue;
pub(crate) use units::prelude::*;
