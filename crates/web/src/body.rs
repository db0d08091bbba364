//! Bodies: read whole within bounds, or streamed piece by piece.

use crate::prelude::*;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyFault {
    TooLarge,
    TooSlow,
    Broken(String),
}

pub fn empty_body() -> GothamBody {
    UnsyncBoxBody::new(Full::new(Bytes::new()).map_err(|never| match never {}))
}

/// Reads a body to its clean end, at most so many bytes in at most so long.
pub async fn read_whole<B>(body: B, most_bytes: usize, limit: Duration) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes> + Send,
    B::Error: std::fmt::Display,
{
    let mut body = std::pin::pin!(body);
    let mut gathered = Vec::new();
    let reading = async {
        while let Some(frame) = body.as_mut().frame().await {
            let frame = frame.map_err(|fault| BodyFault::Broken(fault.to_string()))?;
            if let Some(data) = frame.data_ref() {
                if gathered.len() + data.len() > most_bytes {
                    return Err(BodyFault::TooLarge);
                }
                gathered.extend_from_slice(data);
            }
        }
        Ok(())
    };
    match tokio::time::timeout(limit, reading).await {
        Ok(outcome) => outcome.map(|()| Bytes::from(gathered)),
        Err(_) => Err(BodyFault::TooSlow),
    }
}

/// The sending end of a streamed answer. The stream ends cleanly only if that was said: dropped without
/// it, in whatever way, the caller sees what was sent before, the last words, and an aborted stream.
pub struct BodySender {
    pieces: mpsc::Sender<Bytes>,
    ending: Arc<std::sync::Mutex<Ending>>,
}

#[derive(Default)]
struct Ending {
    is_whole: bool,
    last_words: Option<Bytes>,
}

impl BodySender {
    /// False once the caller is gone.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.pieces.send(bytes).await.is_ok()
    }

    fn ending(&self) -> std::sync::MutexGuard<'_, Ending> {
        self.ending.lock().expect("no holder of this lock panics")
    }

    /// The stream is whole: it ends cleanly after what was sent.
    pub fn finish(&self) {
        self.ending().is_whole = true;
    }

    /// The stream is cut: these words come after what was sent, then the abort.
    pub fn cut(&self, last_words: Bytes) {
        self.ending().last_words = Some(last_words);
    }

    /// Resolves when the caller is gone.
    pub async fn gone(&self) {
        self.pieces.closed().await;
    }
}

struct PieceBody {
    pieces: mpsc::Receiver<Bytes>,
    ending: Arc<std::sync::Mutex<Ending>>,
    /// The abort waits for one turn, so that what came before it is flushed first.
    aborts: bool,
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.aborts {
            return Poll::Ready(Some(Err(io::Error::other("the stream was cut"))));
        }
        match self.pieces.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(piece)) => Poll::Ready(Some(Ok(Frame::data(piece)))),
            Poll::Ready(None) => {
                let last_words = {
                    let mut ending = self.ending.lock().expect("no holder of this lock panics");
                    if ending.is_whole {
                        return Poll::Ready(None);
                    }
                    ending.last_words.take()
                };
                if let Some(last_words) = last_words {
                    return Poll::Ready(Some(Ok(Frame::data(last_words))));
                }
                self.aborts = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

/// An answer whose body is sent piece by piece.
pub fn streaming_response(
    status: StatusCode,
    content_type: &'static str,
    places: usize,
) -> (BodySender, WebResponse) {
    let (sender, receiver) = mpsc::channel(places);
    let ending = Arc::new(std::sync::Mutex::new(Ending::default()));
    let body = PieceBody { pieces: receiver, ending: Arc::clone(&ending), aborts: false };
    let mut answered = Response::new(UnsyncBoxBody::new(body));
    *answered.status_mut() = status;
    (BodySender { pieces: sender, ending }, answered.with_header("content-type", content_type))
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    /// What a caller gets of a stream, and whether it ended cleanly.
    async fn read(answered: WebResponse) -> (String, bool) {
        let mut body = answered.into_body();
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return (text, false) };
            text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap());
        }
        (text, true)
    }

    #[test]
    fn a_stream_ends_cleanly_only_if_that_was_said() {
        let runtime = small_runtime(1).unwrap();
        runtime.block_on(async {
            let full = || async {
                let (pieces, answered) = streaming_response(StatusCode::OK, "text/event-stream", 2);
                assert!(pieces.send(Bytes::from_static(b"a")).await && pieces.send(Bytes::from_static(b"b")).await);
                (pieces, answered)
            };
            let (pieces, answered) = full().await;
            pieces.finish();
            drop(pieces);
            assert_eq!(read(answered).await, ("ab".into(), true));
            let (pieces, answered) = full().await;
            pieces.cut(Bytes::from_static(b"!"));
            drop(pieces);
            assert_eq!(read(answered).await, ("ab!".into(), false), "a slow caller's full ring hides no cut");
            let (pieces, answered) = full().await;
            drop(pieces);
            assert_eq!(read(answered).await, ("ab".into(), false), "a lost sender is no clean end");
        });
    }
}
