//! A relay between processes: streams pass through it and can be cut, or stalled without being closed,
//! as by a network that drops everything.

use crate::prelude::*;

/// What a relay lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Everything.
    Open,
    /// Nothing gets through, nothing is closed.
    Stalled,
    /// Streams are closed and new ones refused.
    Cut,
}

/// A relay before one process.
pub struct Relay {
    /// Where it is reached.
    pub address: String,
    mode: Arc<Mutex<RelayMode>>,
    target: Arc<Mutex<String>>,
    streams: Streams,
}

/// The open streams, both ends of each.
type Streams = Arc<Mutex<Vec<Weak<TcpStream>>>>;

impl Relay {
    /// Starts a relay that leads nowhere yet.
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

    /// Sets where new streams are led.
    pub fn set_target(&self, address: &str) {
        if let Ok(mut target) = self.target.lock() {
            address.clone_into(&mut target);
        }
    }

    /// Once this is over, nothing more gets through a relay that was cut.
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

/// Notes a new stream, so that a cut closes it; false if the relay is cut already.
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
