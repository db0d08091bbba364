//! The one import of this package's files.

#[cfg(feature = "faults")]
pub use crate::faults::*;
pub use crate::folder::*;
pub(crate) use redb::{Database, ReadableDatabase, TableDefinition, TableError};
pub(crate) use serde::{Serialize, de::DeserializeOwned};
pub(crate) use std::path::Path;
pub(crate) use units::prelude::*;
