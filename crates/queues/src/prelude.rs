//! The one import of this package's files, and of others for rings.

pub use crate::duty::*;
pub use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
