//! A caller's connection under guard: one that neither sends nor takes anything for too long is ended, so
//! that slow and half-closed callers cannot hold a seat for ever; and what two readers of the same bytes
//! may see differently is never passed to the HTTP library.

use crate::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bounds on callers; they may change while connections are open.
#[derive(Debug)]
pub struct ConnectionTimeouts {
    idle_millis: AtomicU64,
    head_millis: AtomicU64,
}

impl Default for ConnectionTimeouts {
    fn default() -> ConnectionTimeouts {
        ConnectionTimeouts { idle_millis: AtomicU64::new(30_000), head_millis: AtomicU64::new(30_000) }
    }
}

impl ConnectionTimeouts {
    /// How long a connection may lie still.
    pub fn set_idle_timeout(&self, span: Span) {
        self.idle_millis.store(span.as_millis(), Ordering::Relaxed);
    }

    /// How long the head of a request may take to come.
    pub fn set_head_timeout(&self, span: Span) {
        self.head_millis.store(span.as_millis(), Ordering::Relaxed);
    }

    fn head(&self) -> Duration {
        Duration::from_millis(self.head_millis.load(Ordering::Relaxed))
    }

    fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_millis.load(Ordering::Relaxed))
    }
}

/// What the HTTP library answers with 400 and a closed connection.
const REFUSED_BYTE: u8 = 0;

pub(crate) struct GuardedStream {
    stream: TcpStream,
    idle: Pin<Box<tokio::time::Sleep>>,
    bounds: Arc<ConnectionTimeouts>,
    framing: RequestFraming,
    /// When the head that is coming now began to come.
    head_began: Option<tokio::time::Instant>,
    /// A request has come whole, and no byte of its answer has left.
    awaits_answer: bool,
    _seat: tokio::sync::OwnedSemaphorePermit,
}

impl GuardedStream {
    pub(crate) fn new(
        stream: TcpStream,
        seat: tokio::sync::OwnedSemaphorePermit,
        bounds: Arc<ConnectionTimeouts>,
    ) -> GuardedStream {
        let idle = Box::pin(tokio::time::sleep(bounds.idle()));
        let framing = RequestFraming::default();
        GuardedStream { stream, idle, bounds, framing, head_began: None, awaits_answer: false, _seat: seat }
    }

    fn moved(&mut self) {
        let idle_end = tokio::time::Instant::now() + self.bounds.idle();
        let head_end = self.head_began.map(|began| began + self.bounds.head());
        self.idle.as_mut().reset(head_end.map_or(idle_end, |head_end| idle_end.min(head_end)));
    }

    fn watch<T>(&mut self, context: &mut Context<'_>, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.moved();
            return polled;
        }
        match self.idle.as_mut().poll(context) {
            Poll::Ready(()) if self.awaits_answer => {
                self.moved();
                let _ = self.idle.as_mut().poll(context);
                Poll::Pending
            }
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let whole_before = self.framing.whole_count();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Err(fault) = self.framing.inspect(&buffer.filled()[filled_before..]) {
            log::info!(target: "haremount", "event=request_refused reason=\"{fault:?}\"");
            buffer.filled_mut()[filled_before..].fill(REFUSED_BYTE);
        }
        self.awaits_answer |= self.framing.whole_count() > whole_before;
        self.head_began = match self.framing.is_in_head() {
            true => Some(self.head_began.unwrap_or_else(tokio::time::Instant::now)),
            false => None,
        };
        self.watch(context, polled)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.awaits_answer &= polled.is_pending();
        self.watch(context, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
