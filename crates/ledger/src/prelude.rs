//! The one import of this package's files.

#[cfg(feature = "faults")]
pub use crate::faults::*;
pub use crate::folder::*;
#[cfg(feature = "faults")]
pub(crate) use crate::frail::*;
pub(crate) use redb::{Database, ReadableDatabase, TableDefinition, TableError};
pub(crate) use serde::{Serialize, de::DeserializeOwned};
pub(crate) use std::path::Path;
#[cfg(feature = "faults")]
pub(crate) use std::path::PathBuf;
pub(crate) use units::prelude::*;
