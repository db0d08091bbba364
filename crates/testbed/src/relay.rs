//! A relay between processes: streams pass through it and can be cut, or stalled without being closed,
//! as by a network that drops everything.

use crate::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    Open,
    /// Nothing gets through, nothing is closed.
    Stalled,
    /// Streams are closed and new ones refused.
    Cut,
}

pub struct Relay {
    pub address: String,
    passage: Arc<Mutex<Passage>>,
    target: Arc<Mutex<String>>,
}

impl Relay {
    pub fn start() -> Result<Relay, String> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|fault| fault.to_string())?;
        let address = listener.local_addr().map_err(|fault| fault.to_string())?.to_string();
        let passage = Arc::new(Mutex::new(Passage::Open));
        let target = Arc::new(Mutex::new(String::new()));
        let relay = Relay { address, passage: Arc::clone(&passage), target: Arc::clone(&target) };
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                if now(&passage) == Passage::Cut {
                    continue;
                }
                let far_address = target.lock().map(|target| target.clone()).unwrap_or_default();
                let Ok(far) = std::net::TcpStream::connect(&far_address) else { continue };
                let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else { continue };
                let (there, back) = (Arc::clone(&passage), Arc::clone(&passage));
                std::thread::spawn(move || pass(near, far, &there));
                std::thread::spawn(move || pass(far_back, near_back, &back));
            }
        });
        Ok(relay)
    }

    pub fn lead_to(&self, address: &str) {
        if let Ok(mut target) = self.target.lock() {
            address.clone_into(&mut target);
        }
    }

    pub fn set(&self, wished: Passage) {
        if let Ok(mut passage) = self.passage.lock() {
            *passage = wished;
        }
    }
}

fn now(passage: &Mutex<Passage>) -> Passage {
    passage.lock().map_or(Passage::Cut, |passage| *passage)
}

fn pass(mut from: std::net::TcpStream, mut to: std::net::TcpStream, passage: &Mutex<Passage>) {
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
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
