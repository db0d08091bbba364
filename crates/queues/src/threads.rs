//! Bounded queues and the threads that they connect.

use crate::prelude::*;

/// Creates a queue that holds at most `capacity` items.
pub fn bounded_queue<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    crossbeam_channel::bounded(capacity)
}

/// Spawns a named thread. The process aborts if the thread panics or cannot be started.
pub fn spawn_thread(name: &str, work: impl FnOnce() + Send + 'static) {
    let thread_name = name.to_owned();
    let guarded_work = move || {
        if std::panic::catch_unwind(std::panic::AssertUnwindSafe(work)).is_err() {
            log::error!(target: "haremount", "event=invariant_broken duty={thread_name}");
            std::process::abort();
        }
    };
    if let Err(fault) = std::thread::Builder::new().name(name.to_owned()).spawn(guarded_work) {
        log::error!(target: "haremount", "event=no_thread duty={name} reason=\"{fault}\"");
        std::process::abort();
    }
}

/// Receives up to `max` queued items, waiting at most `timeout` for the first. Returns an empty batch on a timeout,
/// and `None` once the queue is empty and all senders are gone.
pub fn receive_batch<T>(receiver: &Receiver<T>, timeout: std::time::Duration, max: usize) -> Option<Vec<T>> {
    let first_item = match receiver.recv_timeout(timeout) {
        Ok(item) => item,
        Err(RecvTimeoutError::Timeout) => return Some(Vec::new()),
        Err(RecvTimeoutError::Disconnected) => return None,
    };
    let mut items = vec![first_item];
    while items.len() < max
        && let Ok(item) = receiver.try_recv()
    {
        items.push(item);
    }
    Some(items)
}
