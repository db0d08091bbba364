//! Common imports of this package's files, and of the daemons.

pub use crate::event;
pub use crate::keys::*;
pub use crate::logs::*;
pub use crate::settings::*;
pub use crate::signals::*;
pub use budget::prelude::ProcessLimits;
pub(crate) use desired::prelude::{Bounds, ObjectReader, parse_bounded};
pub(crate) use flexi_logger::{DeferredNow, LogSpecification, Logger};
pub use miette::{Report, miette};
pub(crate) use sha2::{Digest, Sha256};
pub(crate) use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
pub(crate) use std::collections::BTreeMap;
pub(crate) use std::io::Write;
pub(crate) use std::net::SocketAddr;
pub(crate) use std::path::PathBuf;
pub(crate) use units::prelude::*;
