//! One-way post to many addresses, as keepers use it among themselves. Each address has a thread that
//! dials, says hello, and writes; while it cannot, what is posted is dropped.

use crate::prelude::*;

const POST_PLACES: usize = 1024;
const MOST_GATHERED: usize = 64 << 10;
const MOST_ADDRESSES: usize = 64;
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

pub struct PeerSender {
    own_hello: Arc<dyn Fn() -> Hello + Send + Sync>,
    boxes: HashMap<String, Sender<Vec<u8>>>,
}

impl PeerSender {
    pub fn new(own_hello: impl Fn() -> Hello + Send + Sync + 'static) -> PeerSender {
        PeerSender { own_hello: Arc::new(own_hello), boxes: HashMap::new() }
    }

    pub fn send<T: Serialize>(&mut self, address: &str, message: &T) {
        let Ok(frame) = encode(message) else { return };
        if !self.boxes.contains_key(address) {
            if self.boxes.len() >= MOST_ADDRESSES {
                self.boxes.clear();
            }
            let (posted, queued) = ring(POST_PLACES);
            let (address_text, own_hello) = (address.to_owned(), Arc::clone(&self.own_hello));
            duty("post", move || carry_post(&address_text, &*own_hello, &queued));
            self.boxes.insert(address.to_owned(), posted);
        }
        if let Some(letter_box) = self.boxes.get(address) {
            let _ = letter_box.try_send(frame);
        }
    }
}

fn carry_post(address: &str, own_hello: &dyn Fn() -> Hello, queued: &Receiver<Vec<u8>>) {
    let mut pause = Duration::from_millis(50);
    let mut held_stream: Option<TcpStream> = None;
    while let Ok(mut frame) = queued.recv() {
        gather(queued, &mut frame);
        if held_stream.as_ref().is_some_and(is_closed) {
            held_stream = None;
        }
        if held_stream.is_none() {
            match open_stream(address, own_hello) {
                Ok(stream) => {
                    held_stream = Some(stream);
                    pause = Duration::from_millis(50);
                }
                Err(_) => {
                    drop_during(queued, pause);
                    pause = (pause * 2).min(LONGEST_PAUSE);
                    continue;
                }
            }
        }
        let Some(stream) = held_stream.as_mut() else { continue };
        if std::io::Write::write_all(stream, &frame).is_err() {
            held_stream = None;
        }
    }
}

/// The other side writes nothing after its hello: readable means ended.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0u8; 1]);
    let is_open = peeked.is_err_and(|fault| fault.kind() == std::io::ErrorKind::WouldBlock);
    !is_open || stream.set_nonblocking(false).is_err()
}

fn open_stream(address: &str, own_hello: &dyn Fn() -> Hello) -> Result<TcpStream, String> {
    let mut stream = crate::held::dial(address)?;
    crate::held::shake_hands(&mut stream, &own_hello())?;
    Ok(stream)
}

/// Takes what waits as well, so that it goes out in one write.
pub(crate) fn gather(queued: &Receiver<Vec<u8>>, frames: &mut Vec<u8>) {
    while frames.len() < MOST_GATHERED
        && let Ok(next) = queued.try_recv()
    {
        frames.extend_from_slice(&next);
    }
}

fn drop_during(queued: &Receiver<Vec<u8>>, pause: Duration) {
    let resume_at = std::time::Instant::now() + pause;
    while let Ok(_dropped) = queued.recv_deadline(resume_at) {}
}
