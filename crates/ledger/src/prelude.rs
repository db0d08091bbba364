//! Common imports of this package's files.

pub use crate::data_folder::*;
pub use crate::disk_fault::*;
#[cfg(feature = "faults")]
pub(crate) use crate::faulty_disk::*;
pub(crate) use crate::medium::*;
#[cfg(feature = "faults")]
pub use crate::simulated_disk::*;
pub(crate) use redb::backends::FileBackend;
pub(crate) use redb::{
    BackendError, Database, ReadOnlyTable, ReadableDatabase, StorageBackend, TableDefinition, TableError,
};
pub(crate) use serde::{Serialize, de::DeserializeOwned};
#[cfg(feature = "faults")]
pub(crate) use std::collections::BTreeSet;
pub(crate) use std::ops::Bound;
pub(crate) use std::path::{Path, PathBuf};
pub(crate) use std::sync::Arc;
#[cfg(feature = "faults")]
pub(crate) use std::sync::Mutex;
#[cfg(feature = "faults")]
pub(crate) use std::sync::atomic::AtomicU64;
pub(crate) use std::sync::atomic::{AtomicBool, Ordering};
pub(crate) use std::{fmt, io};
pub(crate) use units::prelude::*;
