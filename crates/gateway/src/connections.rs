//! The pool of engine connections. A connection is reused only if its previous response ended cleanly, and is
//! dropped well before the engine's idle timeout.

use crate::prelude::*;

/// The time limit for opening a connection.
pub const CONNECT_TIMEOUT: Span = Span::millis(400);
/// The TCP user timeout: how long bytes sent to an engine may stay unacknowledged.
const ENGINE_USER_TIMEOUT: Span = Span::millis(1500);
/// How long a connection is kept if the engine states no keep-alive time.
const DEFAULT_IDLE_TIME: Span = Span::seconds(4);
const MAX_IDLE_TIME: Span = Span::seconds(20);
const MAX_IDLE_PER_ADDRESS: usize = 8;

struct IdleConnection {
    connection: PersistentConnection,
    until: Instant,
}

/// Idle connections by engine address.
#[derive(Default)]
pub struct ConnectionPool {
    is_single_use: bool,
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// A pool that never reuses a connection.
    pub fn single_use() -> ConnectionPool {
        ConnectionPool { is_single_use: true, ..ConnectionPool::default() }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.idle.lock().expect("no holder of this lock panics")
    }

    /// Takes a usable idle connection, the most recently used first.
    fn take(&self, address: &str, now: Instant) -> Option<PersistentConnection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(address)?;
        while let Some(found) = connections.pop() {
            if now < found.until && found.connection.is_free() {
                return Some(found.connection);
            }
        }
        None
    }

    /// Returns an idle or a new connection; the flag is true if it was used before.
    pub async fn connect(&self, address: &str, now: Instant) -> Result<(PersistentConnection, bool), String> {
        if let Some(connection) = self.take(address, now) {
            return Ok((connection, true));
        }
        let connection = PersistentConnection::open(address, CONNECT_TIMEOUT, ENGINE_USER_TIMEOUT).await?;
        Ok((connection, false))
    }

    /// Returns a connection to the pool; its response must have ended cleanly.
    pub fn release(&self, address: &str, connection: PersistentConnection, answer: &AnswerHead, now: Instant) {
        if answer.closes || self.is_single_use {
            return;
        }
        let idle_time = answer.keep_alive.map_or(DEFAULT_IDLE_TIME, |span| Span(span.0 / 2)).min(MAX_IDLE_TIME);
        let mut idle = self.idle();
        let connections = idle.entry(address.to_owned()).or_default();
        connections.retain(|idle| now < idle.until);
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { connection, until: now + idle_time });
        }
    }

    /// Closes idle connections to all other addresses.
    pub fn retain_addresses(&self, addresses: &BTreeSet<String>) {
        self.idle().retain(|address, _| addresses.contains(address));
    }
}
