//! Re-exports the public items of this crate, together with the external items its modules use.

pub use crate::frame::*;
pub use coordinator::prelude::{AgentToKeeper, CoreMessage, Envelope, KeeperToAgent, RouterAddress};
pub(crate) use serde::{Deserialize, Serialize, de::DeserializeOwned};
pub(crate) use std::io::{Read, Write};
pub use subscription::prelude::{AgentToRouter, RouterToAgent};
pub(crate) use units::prelude::*;
