//! Message bodies: read whole within limits, or streamed.

use crate::prelude::*;

/// A response up to this size is sent even if the budget is used up: it says little more than why.
const SMALL_RESPONSE_BYTES: u64 = 1 << 10;

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyFault {
    TooLarge,
    TooSlow,
    /// The process may not hold more for its clients at present.
    NoRoom,
    Broken(String),
}

/// A body without content.
pub fn empty_body() -> GothamBody {
    UnsyncBoxBody::new(Full::new(Bytes::new()).map_err(|never| match never {}))
}

/// Reads a body to its clean end, within a size limit and a time limit.
pub async fn read_whole<B>(body: B, max_bytes: usize, limit: Duration) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes> + Send,
    B::Error: std::fmt::Display,
{
    let mut received = Vec::new();
    let reading = read_frames(body, |data| append(&mut received, data, max_bytes));
    match tokio::time::timeout(limit, reading).await {
        Ok(outcome) => outcome.map(|()| Bytes::from(received)),
        Err(_) => Err(BodyFault::TooSlow),
    }
}

/// Like `read_whole`, with the bytes counted as held by a client from their arrival until the result is dropped.
pub async fn read_within_budget<B>(
    body: B,
    max_bytes: usize,
    limit: Duration,
    client: &ClientAccount,
) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes> + Send,
    B::Error: std::fmt::Display,
{
    let mut received = CountedBytes { bytes: Vec::new(), held: client.hold() };
    let reading = read_frames(body, |data| {
        append(&mut received.bytes, data, max_bytes)?;
        received.held.grow(data.len() as u64).map_err(|Exhausted| BodyFault::NoRoom)
    });
    tokio::select! {
        outcome = tokio::time::timeout(limit, reading) => outcome.unwrap_or(Err(BodyFault::TooSlow))?,
        () = client.evicted() => return Err(BodyFault::NoRoom),
    }
    Ok(Bytes::from_owner(received))
}

/// Passes each frame's data on, up to the body's clean end.
async fn read_frames<B>(body: B, mut receive: impl FnMut(&Bytes) -> Result<(), BodyFault>) -> Result<(), BodyFault>
where
    B: Body<Data = Bytes> + Send,
    B::Error: std::fmt::Display,
{
    let mut body = std::pin::pin!(body);
    while let Some(frame) = body.as_mut().frame().await {
        let frame = frame.map_err(|fault| BodyFault::Broken(fault.to_string()))?;
        if let Some(data) = frame.data_ref() {
            receive(data)?;
        }
    }
    Ok(())
}

fn append(received: &mut Vec<u8>, data: &Bytes, max_bytes: usize) -> Result<(), BodyFault> {
    if received.len() + data.len() > max_bytes {
        return Err(BodyFault::TooLarge);
    }
    received.extend_from_slice(data);
    Ok(())
}

/// The bytes of a body, which count against a client's budget while they exist.
struct CountedBytes {
    bytes: Vec<u8>,
    held: HeldBytes,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The bytes of a response's frame, which count against a client's budget while they exist.
struct CountedFrame {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for CountedFrame {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Marks a response whose body counts against a client's budget already.
#[derive(Clone, Copy)]
pub struct CountedBody;

/// A response's body. Its client is being served until the body is dropped; its bytes are counted until they are
/// written.
pub(crate) struct ServedBody {
    body: GothamBody,
    /// What the first frame counts for, until there is one: a body of known size has a single frame.
    held: Option<HeldBytes>,
    _serving: ServingGuard,
}

impl ServedBody {
    /// Counts a response whose size is known; one that the process may not hold is replaced by a refusal.
    pub(crate) fn within_budget(response: WebResponse, client: &ClientAccount, serving: ServingGuard) -> WebResponse {
        let is_counted = response.extensions().get::<CountedBody>().is_some();
        let bytes = response.body().size_hint().exact().filter(|_| !is_counted).unwrap_or_default();
        let mut held = client.hold();
        let response = match held.grow(bytes) {
            Ok(()) => response,
            Err(Exhausted) if bytes <= SMALL_RESPONSE_BYTES => response,
            Err(Exhausted) => no_room_response(),
        };
        response.map(|body| UnsyncBoxBody::new(ServedBody { body, held: Some(held), _serving: serving }))
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = <GothamBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let Poll::Ready(Some(Ok(frame))) = polled else { return polled };
        let counted = frame.map_data(|bytes| match self.held.take() {
            Some(held) => Bytes::from_owner(CountedFrame { bytes, _held: held }),
            None => bytes,
        });
        Poll::Ready(Some(Ok(counted)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// The sending end of a streamed response. The stream ends cleanly only after `finish`. If the sender is dropped
/// without it, the client receives what was sent, the final chunk given to `cut` if any, and an aborted stream.
pub struct BodySender {
    chunks: mpsc::Sender<Bytes>,
    ending: Arc<std::sync::Mutex<Ending>>,
}

/// How a streamed response is to end.
#[derive(Default)]
struct Ending {
    is_complete: bool,
    final_chunk: Option<Bytes>,
}

impl BodySender {
    /// Queues a chunk and waits for space; returns false once the client has disconnected.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.chunks.send(bytes).await.is_ok()
    }

    fn ending(&self) -> std::sync::MutexGuard<'_, Ending> {
        self.ending.lock().expect("no holder of this lock panics")
    }

    /// Ends the stream cleanly after what was sent.
    pub fn finish(&self) {
        self.ending().is_complete = true;
    }

    /// Aborts the stream after what was sent, followed by this final chunk.
    pub fn cut(&self, final_chunk: Bytes) {
        self.ending().final_chunk = Some(final_chunk);
    }

    /// Resolves when the client has disconnected.
    pub async fn gone(&self) {
        self.chunks.closed().await;
    }
}

struct ChannelBody {
    chunks: mpsc::Receiver<Bytes>,
    ending: Arc<std::sync::Mutex<Ending>>,
    /// The abort is delayed by one poll, so that earlier chunks are flushed first.
    aborts: bool,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.aborts {
            return Poll::Ready(Some(Err(io::Error::other("the response stream was aborted"))));
        }
        match self.chunks.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(chunk)) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
            Poll::Ready(None) => {
                let final_chunk = {
                    let mut ending = self.ending.lock().expect("no holder of this lock panics");
                    if ending.is_complete {
                        return Poll::Ready(None);
                    }
                    ending.final_chunk.take()
                };
                if let Some(final_chunk) = final_chunk {
                    return Poll::Ready(Some(Ok(Frame::data(final_chunk))));
                }
                self.aborts = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

/// A response whose body is streamed through a channel with a number of slots.
pub fn streaming_response(
    status: StatusCode,
    content_type: &'static str,
    capacity: usize,
) -> (BodySender, WebResponse) {
    let (sender, receiver) = mpsc::channel(capacity);
    let ending = Arc::new(std::sync::Mutex::new(Ending::default()));
    let body = ChannelBody { chunks: receiver, ending: Arc::clone(&ending), aborts: false };
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() = status;
    (BodySender { chunks: sender, ending }, response.with_header("content-type", content_type))
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    /// The received text, and whether the stream ended cleanly.
    async fn read(response: WebResponse) -> (String, bool) {
        let mut body = response.into_body();
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return (text, false) };
            text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap());
        }
        (text, true)
    }

    #[test]
    fn a_stream_ends_cleanly_only_after_finish() {
        let runtime = small_runtime(1).unwrap();
        runtime.block_on(async {
            let full = || async {
                let (sender, response) = streaming_response(StatusCode::OK, "text/event-stream", 2);
                assert!(sender.send(Bytes::from_static(b"a")).await && sender.send(Bytes::from_static(b"b")).await);
                (sender, response)
            };
            let (sender, response) = full().await;
            sender.finish();
            drop(sender);
            assert_eq!(read(response).await, ("ab".into(), true));
            let (sender, response) = full().await;
            sender.cut(Bytes::from_static(b"!"));
            drop(sender);
            assert_eq!(
                read(response).await,
                ("ab!".into(), false),
                "an abort is visible even when the channel is full"
            );
            let (sender, response) = full().await;
            drop(sender);
            assert_eq!(read(response).await, ("ab".into(), false), "a dropped sender is not a clean end");
        });
    }
}
