//! The one import of this package's files, and of the programs for HTTP.

pub use crate::ask::*;
pub use crate::body::*;
pub(crate) use crate::guard::*;
pub use crate::serve::*;
pub use bytes::Bytes;
pub(crate) use gotham::handler::HandlerFuture;
pub(crate) use gotham::helpers::http::Body as GothamBody;
pub(crate) use gotham::state::{FromState, State};
pub use http_body_util::BodyExt;
pub(crate) use http_body_util::Full;
pub(crate) use http_body_util::combinators::UnsyncBoxBody;
pub(crate) use hyper::body::{Body, Frame, Incoming};
pub use hyper::header::{HeaderMap, HeaderName, HeaderValue};
pub use hyper::{Method, StatusCode};
pub(crate) use hyper::{Request, Response, Uri};
pub(crate) use hyper_util::rt::TokioIo;
pub use serde_json::{Value, json};
pub use std::future::Future;
pub(crate) use std::io;
pub use std::pin::Pin;
pub use std::sync::Arc;
pub(crate) use std::task::{Context, Poll};
pub(crate) use std::time::Duration;
pub(crate) use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
pub(crate) use tokio::net::{TcpListener, TcpStream};
pub(crate) use tokio::sync::mpsc;
pub(crate) use units::prelude::*;
