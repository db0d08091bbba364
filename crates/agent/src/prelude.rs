//! The items that each file of this crate imports, and the public ones for programs that run an agent.

pub use crate::run::*;
pub(crate) use budget::prelude::{Budget, Share, configure_allocator};
pub(crate) use coordinator::prelude::KeeperToAgent;
pub(crate) use links::prelude::{Hello, Link, LinkEvent, LinkId, Purpose, accept_links, dial_and_run};
pub(crate) use process::prelude::*;
pub(crate) use queues::prelude::*;
pub(crate) use std::sync::Arc;
pub(crate) use std::sync::atomic::{AtomicU64, Ordering};
pub(crate) use subscription::prelude::*;
pub(crate) use units::prelude::*;
