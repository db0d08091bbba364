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

/// The sending end of a streamed answer.
#[derive(Clone)]
pub struct PieceSender(mpsc::Sender<io::Result<Bytes>>);

impl PieceSender {
    /// False once the caller is gone.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.0.send(Ok(bytes)).await.is_ok()
    }

    /// Ends the stream as broken: the caller sees an aborted stream, never a clean end.
    pub async fn abort(&self, reason: &str) {
        let _ = self.0.send(Err(io::Error::other(reason.to_owned()))).await;
    }

    /// Resolves when the caller is gone.
    pub async fn gone(&self) {
        self.0.closed().await;
    }
}

struct PieceBody {
    pieces: mpsc::Receiver<io::Result<Bytes>>,
    /// An abort that waits for one turn, so that the pieces before it are flushed first.
    held_abort: Option<io::Error>,
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(abort) = self.held_abort.take() {
            return Poll::Ready(Some(Err(abort)));
        }
        match self.pieces.poll_recv(context) {
            Poll::Ready(Some(Err(abort))) => {
                self.held_abort = Some(abort);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled.map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }
}

/// An answer whose body is sent piece by piece.
pub fn outcome_pieces(status: StatusCode, content_type: &'static str, places: usize) -> (PieceSender, WebOutcome) {
    let (sender, receiver) = mpsc::channel(places);
    let mut answered = Response::new(UnsyncBoxBody::new(PieceBody { pieces: receiver, held_abort: None }));
    *answered.status_mut() = status;
    (PieceSender(sender), answered.with_header("content-type", content_type))
}
