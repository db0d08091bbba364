//! Everything that the files of this crate import.

pub use crate::adapter_placements::*;
pub use crate::adapters::*;
pub use crate::claims::*;
pub use crate::commands::*;
pub use crate::configuration::*;
pub use crate::document::*;
pub use crate::document_changes::*;
pub use crate::duties::*;
pub use crate::fleet::*;
pub use crate::json_text::*;
pub use crate::listing::*;
pub use crate::object_reader::*;
pub use crate::operator_submissions::*;
pub use crate::plans::*;
pub use crate::traffic::*;
pub use crate::walls::*;
pub use policy::prelude::{LoadBand, Policy, Rule, WeightTable};
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub(crate) use std::fmt;
pub use tinyjson::JsonValue;
pub(crate) use units::prelude::*;
