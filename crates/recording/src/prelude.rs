//! The one import of this package's files, and of who records or replays.

pub use crate::lines::*;
pub use crate::reading::*;
pub use crate::writing::*;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use std::io::{BufWriter, Write};
pub(crate) use std::path::{Path, PathBuf};
