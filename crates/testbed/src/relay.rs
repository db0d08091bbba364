//! A relay between processes: streams pass through it and can be cut, or stalled without being closed,
//! as by a network that drops everything.

use crate::prelude::*;

/// What a relay lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
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
    passage: Arc<Mutex<Passage>>,
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
        let passage = Arc::new(Mutex::new(Passage::Open));
        let target = Arc::new(Mutex::new(String::new()));
        let streams = Streams::default();
        let relay = Relay {
            address,
            passage: Arc::clone(&passage),
            target: Arc::clone(&target),
            streams: Arc::clone(&streams),
        };
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                if now(&passage) == Passage::Cut {
                    continue;
                }
                let far_address = target.lock().map(|target| target.clone()).unwrap_or_default();
                let Ok(far) = TcpStream::connect(&far_address) else { continue };
                let (near, far) = (Arc::new(near), Arc::new(far));
                if !keep(&streams, &passage, [&near, &far]) {
                    continue;
                }
                let (there, back) = (Arc::clone(&passage), Arc::clone(&passage));
                let (near_back, far_back) = (Arc::clone(&near), Arc::clone(&far));
                std::thread::spawn(move || pass(&near, &far, &there));
                std::thread::spawn(move || pass(&far_back, &near_back, &back));
            }
        });
        Ok(relay)
    }

    /// Sets where new streams are led.
    pub fn lead_to(&self, address: &str) {
        if let Ok(mut target) = self.target.lock() {
            address.clone_into(&mut target);
        }
    }

    /// Once this is over, nothing more gets through a relay that was cut.
    pub fn set(&self, wished: Passage) {
        let Ok(mut streams) = self.streams.lock() else { return };
        if let Ok(mut passage) = self.passage.lock() {
            *passage = wished;
        }
        if wished == Passage::Cut {
            streams.drain(..).filter_map(|stream| stream.upgrade()).for_each(|stream| close(&stream));
        }
    }
}

/// Notes a new stream, so that a cut closes it; false if the relay is cut already.
fn keep(streams: &Streams, passage: &Mutex<Passage>, ends: [&Arc<TcpStream>; 2]) -> bool {
    let Ok(mut streams) = streams.lock() else { return false };
    if now(passage) == Passage::Cut {
        return false;
    }
    streams.retain(|stream| stream.strong_count() > 0);
    streams.extend(ends.map(Arc::downgrade));
    true
}

fn close(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn now(passage: &Mutex<Passage>) -> Passage {
    passage.lock().map_or(Passage::Cut, |passage| *passage)
}

fn pass(mut from: &TcpStream, mut to: &TcpStream, passage: &Mutex<Passage>) {
    use std::io::{Read, Write};
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let _ = to.set_nodelay(true);
    let mut buffer = [0u8; 16 << 10];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(fault) if matches!(fault.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                if now(passage) == Passage::Cut {
                    break;
                }
                continue;
            }
            Err(_) => break,
        };
        wait_until(Duration::from_secs(600), || now(passage) != Passage::Stalled);
        if now(passage) == Passage::Cut || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    close(from);
    close(to);
}
