//! The prelude: everything that the modules of this crate and its users import.

pub use crate::events::*;
pub use crate::index::*;
pub use crate::name::*;
pub use crate::sent::*;
pub(crate) use std::collections::hash_map::Entry;
pub(crate) use std::collections::{HashMap, VecDeque};
