//! The one import of this package's files, and of others for queues.

pub use crate::threads::*;
pub use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
