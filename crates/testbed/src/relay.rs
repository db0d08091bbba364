//! A TCP relay whose connections can be cut, or stalled without being closed, as by a network that drops all
//! packets.

use crate::prelude::*;

/// How a relay treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Traffic is forwarded.
    Open,
    /// Nothing is forwarded, and connections stay open.
    Stalled,
    /// Connections are closed, and new ones are closed at once.
    Cut,
}

/// A relay in front of one process.
pub struct Relay {
    /// Address that the relay listens on.
    pub address: String,
    mode: Arc<Mutex<RelayMode>>,
    target: Arc<Mutex<String>>,
    streams: Streams,
}

/// The sockets of open connections, two for each.
type Streams = Arc<Mutex<Vec<Weak<TcpStream>>>>;

impl Relay {
    /// Starts a relay without a target.
    pub fn start() -> Result<Relay, String> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|fault| fault.to_string())?;
        let address = listener.local_addr().map_err(|fault| fault.to_string())?.to_string();
        let mode = Arc::new(Mutex::new(RelayMode::Open));
        let target = Arc::new(Mutex::new(String::new()));
        let streams = Streams::default();
        let relay =
            Relay { address, mode: Arc::clone(&mode), target: Arc::clone(&target), streams: Arc::clone(&streams) };
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                if current_mode(&mode) == RelayMode::Cut {
                    continue;
                }
                let server_address = target.lock().map(|target| target.clone()).unwrap_or_default();
                let Ok(server) = TcpStream::connect(&server_address) else { continue };
                let (client, server) = (Arc::new(client), Arc::new(server));
                if !register(&streams, &mode, [&client, &server]) {
                    continue;
                }
                let (forward_mode, return_mode) = (Arc::clone(&mode), Arc::clone(&mode));
                let (client_return, server_return) = (Arc::clone(&client), Arc::clone(&server));
                std::thread::spawn(move || forward(&client, &server, &forward_mode));
                std::thread::spawn(move || forward(&server_return, &client_return, &return_mode));
            }
        });
        Ok(relay)
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, address: &str) {
        if let Ok(mut target) = self.target.lock() {
            address.clone_into(&mut target);
        }
    }

    /// Sets the mode. When a call with [`RelayMode::Cut`] returns, nothing more is forwarded.
    pub fn set_mode(&self, new_mode: RelayMode) {
        let Ok(mut streams) = self.streams.lock() else { return };
        if let Ok(mut mode) = self.mode.lock() {
            *mode = new_mode;
        }
        if new_mode == RelayMode::Cut {
            streams.drain(..).filter_map(|stream| stream.upgrade()).for_each(|stream| close(&stream));
        }
    }
}

/// Registers a new connection, so that a cut closes it; returns false if the relay is already cut.
fn register(streams: &Streams, mode: &Mutex<RelayMode>, ends: [&Arc<TcpStream>; 2]) -> bool {
    let Ok(mut streams) = streams.lock() else { return false };
    if current_mode(mode) == RelayMode::Cut {
        return false;
    }
    streams.retain(|stream| stream.strong_count() > 0);
    streams.extend(ends.map(Arc::downgrade));
    true
}

fn close(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn current_mode(mode: &Mutex<RelayMode>) -> RelayMode {
    mode.lock().map_or(RelayMode::Cut, |mode| *mode)
}

fn forward(mut from: &TcpStream, mut to: &TcpStream, mode: &Mutex<RelayMode>) {
    use std::io::{Read, Write};
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let _ = to.set_nodelay(true);
    let mut buffer = [0u8; 16 << 10];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(fault) if matches!(fault.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                if current_mode(mode) == RelayMode::Cut {
                    break;
                }
                continue;
            }
            Err(_) => break,
        };
        wait_until(Duration::from_secs(600), || current_mode(mode) != RelayMode::Stalled);
        if current_mode(mode) == RelayMode::Cut || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    close(from);
    close(to);
}
