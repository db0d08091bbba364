//! Protection of the server's connections. A connection without progress for too long is closed, so that slow and
//! half-closed clients cannot occupy one of the limited connections for ever. Requests with ambiguous framing are
//! never passed to the HTTP library.

use crate::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// Timeouts of client connections; they may change while connections are open.
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
    /// Sets how long a connection may make no progress.
    pub fn set_idle_timeout(&self, span: Span) {
        self.idle_millis.store(span.as_millis(), Ordering::Relaxed);
    }

    /// Sets how long receiving the head of a request may take.
    pub fn set_head_timeout(&self, span: Span) {
        self.head_millis.store(span.as_millis(), Ordering::Relaxed);
    }

    fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_millis.load(Ordering::Relaxed))
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_millis.load(Ordering::Relaxed))
    }
}

/// A byte that makes the HTTP library answer with 400 and close the connection.
const INVALID_BYTE: u8 = 0;

/// A byte of a head that is being received is held by the library, by the check of its line and as a parsed field.
const COPIES_OF_HEAD: u64 = 3;

/// A client connection with its timeouts, framing checks and account.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    idle: Pin<Box<tokio::time::Sleep>>,
    timeouts: Arc<ConnectionTimeouts>,
    framing: RequestFraming,
    /// When the first byte of the head being received arrived.
    head_started: Option<tokio::time::Instant>,
    /// A request is completely received, and no byte of its response is sent.
    awaits_response: bool,
    client: ClientAccount,
    /// The library's buffer, as large as the largest read.
    read_buffer: HeldBytes,
    /// The head being received.
    head: HeldBytes,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, client: ClientAccount, timeouts: Arc<ConnectionTimeouts>) -> GuardedStream {
        let idle = Box::pin(tokio::time::sleep(timeouts.idle_timeout()));
        GuardedStream {
            stream,
            idle,
            timeouts,
            framing: RequestFraming::default(),
            head_started: None,
            awaits_response: false,
            read_buffer: client.hold(),
            head: client.hold(),
            client,
        }
    }

    /// Restarts the timer after progress.
    fn restart_timer(&mut self) {
        let idle_end = tokio::time::Instant::now() + self.timeouts.idle_timeout();
        let head_end = self.head_started.map(|started| started + self.timeouts.head_timeout());
        self.idle.as_mut().reset(head_end.map_or(idle_end, |head_end| idle_end.min(head_end)));
    }

    /// Counts bytes that arrived. Fails if the process may not hold them.
    fn count_received(&mut self, count: usize) -> io::Result<()> {
        self.client.record_progress(self.framing.awaits_rest());
        let bytes = count as u64;
        let counted = match self.framing.is_in_head() {
            true => self.head.grow(bytes * COPIES_OF_HEAD),
            false => {
                self.head.clear();
                self.read_buffer.grow_to(bytes)
            }
        };
        counted.map_err(|Exhausted| io::ErrorKind::OutOfMemory.into())
    }

    /// Fails if the connection has to give way while no handler can refuse its request.
    fn check_eviction(&self) -> io::Result<()> {
        let has_handler = self.framing.awaits_rest() && !self.framing.is_in_head();
        match self.client.is_evicted() && !has_handler {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    /// Restarts the timer after a write, and records whether the client takes what is written.
    fn end_write(&mut self, context: &mut Context<'_>, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.awaits_response &= polled.is_pending();
        self.client.set_blocked(polled.is_pending());
        if polled.is_ready() {
            self.client.record_progress(self.framing.awaits_rest());
        }
        self.check_timer(context, polled)
    }

    /// Fails a pending operation when the timer has expired, except while a response is being prepared.
    fn check_timer<T>(&mut self, context: &mut Context<'_>, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.restart_timer();
            return polled;
        }
        match self.idle.as_mut().poll(context) {
            Poll::Ready(()) if self.awaits_response => {
                self.restart_timer();
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
        self.check_eviction()?;
        let filled_before = buffer.filled().len();
        let complete_before = self.framing.complete_count();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Err(fault) = self.framing.inspect(&buffer.filled()[filled_before..]) {
            log::info!(target: "haremount", "event=request_refused reason=\"{fault:?}\"");
            buffer.filled_mut()[filled_before..].fill(INVALID_BYTE);
        }
        self.awaits_response |= self.framing.complete_count() > complete_before;
        self.head_started = match self.framing.is_in_head() {
            true => Some(self.head_started.unwrap_or_else(tokio::time::Instant::now)),
            false => None,
        };
        let received = buffer.filled().len() - filled_before;
        if received > 0 {
            self.count_received(received)?;
        }
        self.check_timer(context, polled)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.check_eviction()?;
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.end_write(context, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_eviction()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.end_write(context, polled)
    }

    /// The library then writes a body from where it lies, instead of a copy.
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
