//! Common imports of this package's files.

pub use crate::link::*;
pub use crate::peer_sender::*;
pub(crate) use crate::sockets::*;
pub(crate) use budget::prelude::{Account, Budget, Exhausted};
pub(crate) use queues::prelude::*;
pub(crate) use serde::{Serialize, de::DeserializeOwned};
pub(crate) use std::collections::HashMap;
pub(crate) use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
pub(crate) use std::sync::Arc;
pub(crate) use std::sync::atomic::{AtomicU64, Ordering};
pub(crate) use std::time::Duration;
pub(crate) use units::prelude::*;
pub use wire::prelude::{Hello, Purpose};
pub(crate) use wire::prelude::{MAX_FRAME_BYTES, encode, read_frame, read_frame_counted, read_hello, write_frame};
