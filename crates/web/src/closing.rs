//! Graceful shutdown: open connections close once the request in progress is answered.

use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

/// The open connections of a server, and whether they are closing.
#[derive(Debug)]
pub struct OpenConnections {
    count: AtomicUsize,
    closing: watch::Sender<bool>,
}

impl Default for OpenConnections {
    fn default() -> OpenConnections {
        OpenConnections { count: AtomicUsize::new(0), closing: watch::Sender::new(false) }
    }
}

impl OpenConnections {
    /// Closes every connection: idle ones at once, the others after the response in progress.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Counts a connection until the returned guard is dropped.
    pub(crate) fn enter(self: &std::sync::Arc<Self>) -> OpenConnection {
        self.count.fetch_add(1, Ordering::SeqCst);
        OpenConnection(std::sync::Arc::clone(self))
    }
}

/// Counts one open connection while it exists.
pub(crate) struct OpenConnection(std::sync::Arc<OpenConnections>);

impl OpenConnection {
    /// Waits until the connection has to close.
    pub async fn closing(&self) {
        let mut closing = self.0.closing.subscribe();
        let _ = closing.wait_for(|is_closing| *is_closing).await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::SeqCst);
    }
}
