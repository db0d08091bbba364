//! Re-exports the public items of this crate and the channel types they use.

pub use crate::threads::*;
pub use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
