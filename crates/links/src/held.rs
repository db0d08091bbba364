//! One held stream, accepted or dialled.

use crate::prelude::*;

const WRITE_LIMIT: Duration = Duration::from_millis(1500);
const HELLO_LIMIT: Duration = Duration::from_millis(1500);
const DIAL_LIMIT: Duration = Duration::from_millis(500);
const OUT_PLACES: usize = 1024;
const MOST_STREAMS: usize = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What a link tells its owner. `Up` comes first, `Down` last, once each.
#[derive(Debug)]
pub enum LinkEvent<M> {
    Up(Link, Hello),
    Message(LinkId, M),
    Down(LinkId, String),
}

/// The writing end.
#[derive(Clone, Debug)]
pub struct Link {
    pub id: LinkId,
    frames: Sender<Vec<u8>>,
    stream: Arc<TcpStream>,
}

impl Link {
    /// Queues a message; a ring that is full means a reader that stands still, and ends the link.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        let Ok(frame) = encode(message) else { return false };
        if self.frames.try_send(frame).is_err() {
            self.close();
            return false;
        }
        true
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Accepts streams for ever; each one's events are told, until telling answers false.
pub fn accept_links<M, F, T>(listener: TcpListener, own_hello: F, tell: T)
where
    M: DeserializeOwned + Send + 'static,
    F: Fn() -> Hello + Send + Sync + 'static,
    T: Fn(LinkEvent<M>) -> bool + Clone + Send + 'static,
{
    let own_hello = Arc::new(own_hello);
    let open_count = Arc::new(AtomicUsize::new(0));
    duty("links-accept", move || {
        loop {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::yield_now();
                continue;
            };
            if open_count.load(Ordering::Relaxed) >= MOST_STREAMS {
                log::warn!(target: "haremount", "event=link_refused reason=\"too many streams\"");
                continue;
            }
            open_count.fetch_add(1, Ordering::Relaxed);
            let (own_hello, tell, open_count) = (Arc::clone(&own_hello), tell.clone(), Arc::clone(&open_count));
            duty("link-read", move || {
                if let Err(reason) = hold(stream, own_hello(), &tell) {
                    log::warn!(target: "haremount", "event=link_refused reason=\"{reason}\"");
                }
                open_count.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
}

/// Dials an address; the events of the stream, if it comes up, are told. Returns when it is over.
pub fn dial_and_run<M>(address: &str, own_hello: Hello, tell: &impl Fn(LinkEvent<M>) -> bool) -> Result<(), String>
where
    M: DeserializeOwned + Send + 'static,
{
    let stream = dial(address)?;
    hold(stream, own_hello, tell)
}

/// Only says hello, and tells who answered.
pub fn exchange_hellos(address: &str, own_hello: &Hello) -> Result<Hello, String> {
    shake_hands(&mut dial(address)?, own_hello)
}

pub(crate) fn dial(address: &str) -> Result<TcpStream, String> {
    let socket_address: SocketAddr = address.parse().map_err(|_| format!("{address} is no address"))?;
    TcpStream::connect_timeout(&socket_address, DIAL_LIMIT).map_err(|fault| fault.to_string())
}

pub(crate) fn shake_hands(stream: &mut TcpStream, own_hello: &Hello) -> Result<Hello, String> {
    stream.set_nodelay(true).map_err(|fault| fault.to_string())?;
    notice_silence(stream);
    stream.set_write_timeout(Some(WRITE_LIMIT)).map_err(|fault| fault.to_string())?;
    stream.set_read_timeout(Some(HELLO_LIMIT)).map_err(|fault| fault.to_string())?;
    write_frame(stream, own_hello)?;
    let their_hello: Hello = read_frame(stream)?;
    their_hello.check()?;
    Ok(their_hello)
}

fn hold<M>(mut stream: TcpStream, own_hello: Hello, tell: &impl Fn(LinkEvent<M>) -> bool) -> Result<(), String>
where
    M: DeserializeOwned + Send + 'static,
{
    let their_hello = shake_hands(&mut stream, &own_hello)?;
    stream.set_read_timeout(None).map_err(|fault| fault.to_string())?;
    let id = LinkId(NEXT_LINK.fetch_add(1, Ordering::Relaxed));
    let mut writing_end = stream.try_clone().map_err(|fault| fault.to_string())?;
    let (frames, queued_frames) = ring::<Vec<u8>>(OUT_PLACES);
    let link = Link { id, frames, stream: Arc::new(stream.try_clone().map_err(|fault| fault.to_string())?) };
    duty("link-write", move || {
        while let Ok(mut frame) = queued_frames.recv() {
            gather(&queued_frames, &mut frame);
            if std::io::Write::write_all(&mut writing_end, &frame).is_err() {
                let _ = writing_end.shutdown(Shutdown::Both);
                return;
            }
        }
        let _ = writing_end.shutdown(Shutdown::Both);
    });
    if !tell(LinkEvent::Up(link, their_hello)) {
        return Ok(());
    }
    let mut buffered_stream = std::io::BufReader::new(stream);
    let reason = loop {
        match read_frame::<M>(&mut buffered_stream) {
            Ok(message) => {
                if !tell(LinkEvent::Message(id, message)) {
                    return Ok(());
                }
            }
            Err(reason) => break reason,
        }
    };
    let _ = buffered_stream.get_ref().shutdown(Shutdown::Both);
    tell(LinkEvent::Down(id, reason));
    Ok(())
}
