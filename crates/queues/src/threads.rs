//! Rings and the threads they join.

use crate::prelude::*;

/// A bounded ring.
pub fn bounded_queue<T>(places: usize) -> (Sender<T>, Receiver<T>) {
    crossbeam_channel::bounded(places)
}

/// Starts a named thread for a duty.
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

/// Drains what is waiting, after waiting at most `span` for the first; nothing if all senders left.
pub fn receive_batch<T>(source: &Receiver<T>, span: std::time::Duration, most: usize) -> Option<Vec<T>> {
    let first_item = match source.recv_timeout(span) {
        Ok(item) => item,
        Err(RecvTimeoutError::Timeout) => return Some(Vec::new()),
        Err(RecvTimeoutError::Disconnected) => return None,
    };
    let mut items = vec![first_item];
    while items.len() < most
        && let Ok(item) = source.try_recv()
    {
        items.push(item);
    }
    Some(items)
}
