//! The items that every file of this crate, and programs that record or replay runs, import.

pub use crate::lines::*;
pub use crate::reading::*;
pub use crate::writing::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::io::{BufWriter, Write};
pub(crate) use std::path::{Path, PathBuf};
