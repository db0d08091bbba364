//! One-way messages to many addresses, as keepers send them to each other. Each address has a thread that connects,
//! exchanges hellos and writes. Messages are dropped while there is no connection.

use crate::prelude::*;

const SEND_QUEUE_CAPACITY: usize = 1024;
const MAX_BATCH_BYTES: usize = 64 << 10;
const MAX_ADDRESSES: usize = 64;
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Sends messages to many addresses, each over a connection of its own.
pub struct PeerSender {
    own_hello: Arc<dyn Fn() -> Hello + Send + Sync>,
    queues: HashMap<String, Sender<Vec<u8>>>,
}

impl PeerSender {
    /// A sender whose connections begin with this hello.
    pub fn new(own_hello: impl Fn() -> Hello + Send + Sync + 'static) -> PeerSender {
        PeerSender { own_hello: Arc::new(own_hello), queues: HashMap::new() }
    }

    /// Queues a message for an address, or drops it if the queue is full.
    pub fn send<T: Serialize>(&mut self, address: &str, message: &T) {
        let Ok(frame) = encode(message) else { return };
        if !self.queues.contains_key(address) {
            if self.queues.len() >= MAX_ADDRESSES {
                self.queues.clear();
            }
            let (sender, queued) = bounded_queue(SEND_QUEUE_CAPACITY);
            let (address_text, own_hello) = (address.to_owned(), Arc::clone(&self.own_hello));
            spawn_thread("post", move || run_sender(&address_text, &*own_hello, &queued));
            self.queues.insert(address.to_owned(), sender);
        }
        if let Some(queue) = self.queues.get(address) {
            let _ = queue.try_send(frame);
        }
    }
}

fn run_sender(address: &str, own_hello: &dyn Fn() -> Hello, queued: &Receiver<Vec<u8>>) {
    let mut retry_delay = FIRST_RETRY_DELAY;
    let mut connection: Option<TcpStream> = None;
    while let Ok(mut frame) = queued.recv() {
        append_queued(queued, &mut frame);
        if connection.as_ref().is_some_and(is_closed) {
            connection = None;
        }
        if connection.is_none() {
            match open_stream(address, own_hello) {
                Ok(stream) => {
                    connection = Some(stream);
                    retry_delay = FIRST_RETRY_DELAY;
                }
                Err(_) => {
                    drop_during(queued, retry_delay);
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                    continue;
                }
            }
        }
        let Some(stream) = connection.as_mut() else { continue };
        if std::io::Write::write_all(stream, &frame).is_err() {
            connection = None;
        }
    }
}

/// Whether the peer has closed the connection. It writes nothing after its hello, so readable means closed.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0u8; 1]);
    let is_open = peeked.is_err_and(|fault| fault.kind() == std::io::ErrorKind::WouldBlock);
    !is_open || stream.set_nonblocking(false).is_err()
}

fn open_stream(address: &str, own_hello: &dyn Fn() -> Hello) -> Result<TcpStream, String> {
    let stream = crate::link::dial(address)?;
    crate::link::handshake(&stream, &own_hello())?;
    Ok(stream)
}

/// Appends the frames that are already queued, so that they are sent in one write.
pub(crate) fn append_queued(queued: &Receiver<Vec<u8>>, frames: &mut Vec<u8>) {
    while frames.len() < MAX_BATCH_BYTES
        && let Ok(next) = queued.try_recv()
    {
        frames.extend_from_slice(&next);
    }
}

/// Drops everything that is queued during a time.
fn drop_during(queued: &Receiver<Vec<u8>>, duration: Duration) {
    let resume_at = std::time::Instant::now() + duration;
    while let Ok(_dropped) = queued.recv_deadline(resume_at) {}
}
