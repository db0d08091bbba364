//! A caller's stream under guard: one that neither sends nor takes anything for too long is ended, so
//! that slow and half-closed callers cannot hold a seat for ever.

use crate::prelude::*;

const IDLE_LIMIT: Duration = Duration::from_secs(30);

pub(crate) struct GuardedStream {
    stream: TcpStream,
    idle: Pin<Box<tokio::time::Sleep>>,
    _seat: tokio::sync::OwnedSemaphorePermit,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, seat: tokio::sync::OwnedSemaphorePermit) -> GuardedStream {
        GuardedStream { stream, idle: Box::pin(tokio::time::sleep(IDLE_LIMIT)), _seat: seat }
    }

    fn moved(&mut self) {
        self.idle.as_mut().reset(tokio::time::Instant::now() + IDLE_LIMIT);
    }

    fn watch<T>(&mut self, context: &mut Context<'_>, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.moved();
            return polled;
        }
        match self.idle.as_mut().poll(context) {
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
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.watch(context, polled)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(context, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
