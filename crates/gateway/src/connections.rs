//! Connections to engines, kept and used again. One is used for a request only when the one before it ended
//! cleanly, and is given up well before the engine would close it.

use crate::prelude::*;

/// How long a connection may come up.
pub const CONNECT_TIMEOUT: Span = Span::millis(400);
/// How long bytes to an engine may stay unacknowledged.
const ENGINE_USER_TIMEOUT: Span = Span::millis(1500);
/// Taken for the idle time of an engine that states none.
const DEFAULT_IDLE_TIME: Span = Span::seconds(4);
const MAX_IDLE_TIME: Span = Span::seconds(20);
const MAX_IDLE_PER_ADDRESS: usize = 8;

struct IdleConnection {
    connection: KeptConnection,
    until: Instant,
}

/// The idle connections, by address.
#[derive(Default)]
pub struct ConnectionPool {
    is_single_use: bool,
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// A pool in which each connection is used once.
    pub fn single_use() -> ConnectionPool {
        ConnectionPool { is_single_use: true, ..ConnectionPool::default() }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.idle.lock().expect("no holder of this lock panics")
    }

    /// A connection that lies idle, the one used last first.
    fn take(&self, address: &str, now: Instant) -> Option<KeptConnection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(address)?;
        while let Some(found) = connections.pop() {
            if now < found.until && found.connection.is_free() {
                return Some(found.connection);
            }
        }
        None
    }

    /// A connection to an address, idle or new; the flag tells whether it was used before.
    pub async fn connect(&self, address: &str, now: Instant) -> Result<(KeptConnection, bool), String> {
        if let Some(connection) = self.take(address, now) {
            return Ok((connection, true));
        }
        let connection = KeptConnection::open(address, CONNECT_TIMEOUT, ENGINE_USER_TIMEOUT).await?;
        Ok((connection, false))
    }

    /// Keeps a connection whose answer ended cleanly.
    pub fn release(&self, address: &str, connection: KeptConnection, answer: &AnswerHead, now: Instant) {
        if answer.closes || self.is_single_use {
            return;
        }
        let idle_time = answer.keep_alive.map_or(DEFAULT_IDLE_TIME, |span| Span(span.0 / 2)).min(MAX_IDLE_TIME);
        let mut idle = self.idle();
        let connections = idle.entry(address.to_owned()).or_default();
        connections.retain(|kept| now < kept.until);
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { connection, until: now + idle_time });
        }
    }

    /// Connections to other addresses are closed.
    pub fn retain_addresses(&self, addresses: &BTreeSet<String>) {
        self.idle().retain(|address, _| addresses.contains(address));
    }
}
