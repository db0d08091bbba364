//! One connection, accepted or dialed, with its reading and writing threads.

use crate::prelude::*;

const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
const HELLO_TIMEOUT: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const SEND_QUEUE_CAPACITY: usize = 1024;

/// Identifies a link within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// An event of a link, reported to its owner. `Up` comes first and `Down` last, once each.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// The hellos were exchanged; this is the peer's.
    Up(Link, Hello),
    /// A message arrived.
    Message(LinkId, M),
    /// The connection ended, for this reason.
    Down(LinkId, String),
}

/// The sending side of a connection.
#[derive(Clone, Debug)]
pub struct Link {
    /// The link's identifier.
    pub id: LinkId,
    frames: Sender<Vec<u8>>,
    stream: Arc<TcpStream>,
}

impl Link {
    /// Queues a message. A full queue means that the peer does not read, and closes the link.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        let Ok(frame) = encode(message) else { return false };
        if self.frames.try_send(frame).is_err() {
            self.close();
            return false;
        }
        true
    }

    /// Closes the connection.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Accepts connections on a background thread and reports their events to `on_event`, which returns false to end
/// the reading of a connection. Frames count against the budget while they arrive.
pub fn accept_links<M, F, T>(listener: TcpListener, own_hello: F, budget: Arc<Budget>, on_event: T)
where
    M: DeserializeOwned + Send + 'static,
    F: Fn() -> Hello + Send + Sync + 'static,
    T: Fn(LinkEvent<M>) -> bool + Clone + Send + 'static,
{
    let own_hello = Arc::new(own_hello);
    spawn_thread("links-accept", move || {
        loop {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::yield_now();
                continue;
            };
            let stream = Arc::new(stream);
            let Ok(account) = open_account(&budget, &stream) else {
                log::warn!(target: "haremount", "event=link_refused reason=\"too many streams\"");
                continue;
            };
            let (own_hello, on_event) = (Arc::clone(&own_hello), on_event.clone());
            spawn_thread("link-read", move || {
                if let Err(reason) = run_link(&stream, own_hello(), Some(&account), &on_event) {
                    log::warn!(target: "haremount", "event=link_refused reason=\"{reason}\"");
                }
            });
        }
    });
}

/// Opens an account for a connection, which is shut down if it has to give way.
fn open_account(budget: &Arc<Budget>, stream: &Arc<TcpStream>) -> Result<Account, Exhausted> {
    let stream = Arc::clone(stream);
    budget.open(move || {
        let _ = stream.shutdown(Shutdown::Both);
    })
}

/// Connects to an address, reports the events of the connection and returns when it has ended.
pub fn dial_and_run<M>(
    address: &str,
    own_hello: Hello,
    on_event: &impl Fn(LinkEvent<M>) -> bool,
) -> Result<(), String>
where
    M: DeserializeOwned + Send + 'static,
{
    let stream = Arc::new(dial(address)?);
    run_link(&stream, own_hello, None, on_event)
}

/// Connects only to exchange hellos, and returns the peer's.
pub fn exchange_hellos(address: &str, own_hello: &Hello) -> Result<Hello, String> {
    handshake(&dial(address)?, own_hello)
}

pub(crate) fn dial(address: &str) -> Result<TcpStream, String> {
    let socket_address: SocketAddr =
        address.parse().map_err(|_| format!("{address} is not an IP address and port"))?;
    TcpStream::connect_timeout(&socket_address, CONNECT_TIMEOUT).map_err(|fault| fault.to_string())
}

pub(crate) fn handshake(mut stream: &TcpStream, own_hello: &Hello) -> Result<Hello, String> {
    stream.set_nodelay(true).map_err(|fault| fault.to_string())?;
    detect_dead_peer(stream);
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).map_err(|fault| fault.to_string())?;
    stream.set_read_timeout(Some(HELLO_TIMEOUT)).map_err(|fault| fault.to_string())?;
    write_frame(&mut stream, own_hello)?;
    let peer_hello = read_hello(&mut stream)?;
    peer_hello.check()?;
    Ok(peer_hello)
}

/// Runs a connection until it ends; one that was accepted has an account.
fn run_link<M>(
    stream: &Arc<TcpStream>,
    own_hello: Hello,
    account: Option<&Account>,
    on_event: &impl Fn(LinkEvent<M>) -> bool,
) -> Result<(), String>
where
    M: DeserializeOwned + Send + 'static,
{
    let peer_hello = handshake(stream, &own_hello)?;
    stream.set_read_timeout(None).map_err(|fault| fault.to_string())?;
    let id = LinkId(NEXT_LINK.fetch_add(1, Ordering::Relaxed));
    let writer = Arc::clone(stream);
    let (frames, queued_frames) = bounded_queue::<Vec<u8>>(SEND_QUEUE_CAPACITY);
    let link = Link { id, frames, stream: Arc::clone(stream) };
    spawn_thread("link-write", move || {
        while let Ok(mut frame) = queued_frames.recv() {
            append_queued(&queued_frames, &mut frame);
            if std::io::Write::write_all(&mut &*writer, &frame).is_err() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    });
    if !on_event(LinkEvent::Up(link, peer_hello)) {
        return Ok(());
    }
    let mut buffered_stream = std::io::BufReader::new(&**stream);
    let reason = loop {
        match read_message::<M>(&mut buffered_stream, account) {
            Ok(message) => {
                if !on_event(LinkEvent::Message(id, message)) {
                    return Ok(());
                }
            }
            Err(reason) => break reason,
        }
    };
    let _ = stream.shutdown(Shutdown::Both);
    on_event(LinkEvent::Down(id, reason));
    Ok(())
}

/// Reads one message; its bytes are counted until it is decoded.
fn read_message<M: DeserializeOwned>(
    stream: &mut impl std::io::Read,
    account: Option<&Account>,
) -> Result<M, String> {
    let Some(account) = account else { return read_frame(stream) };
    let mut held = account.hold();
    let message = read_frame_counted(stream, MAX_FRAME_BYTES, |bytes| {
        account.record_progress(true);
        held.grow(bytes as u64).map_err(|Exhausted| "too much is held for other links".into())
    });
    account.record_progress(false);
    message
}
