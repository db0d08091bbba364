//! The calling side. A call opens its own stream, and the request is sent only after the caller had
//! a last look; so a fault before that surely left no byte with the other side. Streams are never
//! used twice.

use crate::prelude::*;

/// The last look before the first byte: what it refuses is never sent.
pub type SendGate = Box<dyn FnOnce() -> Result<(), String> + Send>;

/// An open stream to the other side, on which nothing was said yet.
pub struct OpenStream {
    address: String,
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    driver: tokio::task::AbortHandle,
    gate: Arc<GateCell>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a question has no answer, and whether a byte of it may have left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendFault {
    pub reason: String,
    pub byte_left: bool,
}

#[derive(Default)]
pub(crate) struct GateCell {
    gate: std::sync::Mutex<Option<SendGate>>,
    byte_left: std::sync::atomic::AtomicBool,
    refusal: std::sync::Mutex<Option<String>>,
}

impl GateCell {
    /// Sets the gate for the next request on the stream.
    pub(crate) fn arm(&self, gate: SendGate) {
        self.byte_left.store(false, std::sync::atomic::Ordering::SeqCst);
        if let Ok(mut gate_slot) = self.gate.lock() {
            *gate_slot = Some(gate);
        }
    }

    /// Why the latest request was not answered, and whether a byte of it may have left.
    pub(crate) fn fault(&self, reason: String) -> SendFault {
        let refusal = self.refusal.lock().ok().and_then(|mut refusal| refusal.take());
        let byte_left = self.byte_left.load(std::sync::atomic::Ordering::SeqCst);
        SendFault { reason: refusal.unwrap_or(reason), byte_left }
    }

    fn pass(&self) -> io::Result<()> {
        let gate = self.gate.lock().ok().and_then(|mut gate| gate.take());
        if let Some(gate) = gate
            && let Err(reason) = gate()
        {
            if let Ok(mut refusal) = self.refusal.lock() {
                *refusal = Some(reason);
            }
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        self.byte_left.store(true, std::sync::atomic::Ordering::SeqCst);
        Ok(())
    }
}

/// Asks the gate at the first write after it was set, in the very call that would write.
pub(crate) struct GatedStream {
    stream: TcpStream,
    cell: Arc<GateCell>,
}

impl GatedStream {
    pub(crate) fn new(stream: TcpStream, cell: Arc<GateCell>) -> GatedStream {
        GatedStream { stream, cell }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.cell.pass()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A question to the other side.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

impl OutgoingRequest {
    pub fn get(path: &str) -> OutgoingRequest {
        OutgoingRequest { method: Method::GET, path: path.to_owned(), headers: Vec::new(), body: Bytes::new() }
    }

    pub fn with_json(method: Method, path: &str, value: &Value) -> OutgoingRequest {
        OutgoingRequest {
            method,
            path: path.to_owned(),
            headers: vec![("content-type", "application/json".into())],
            body: Bytes::from(value.to_string()),
        }
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> OutgoingRequest {
        self.headers.push((name, value.into()));
        self
    }
}

/// What came back; the body is still on its way, and dropping this ends the stream.
pub struct IncomingResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Incoming,
    _stream: OpenStream,
}

impl IncomingResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The next piece; nothing at the clean end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, String> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|fault| fault.to_string())?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

/// Connects to an address; nothing is said yet.
pub async fn open_stream(address: &str, limit: Span) -> Result<OpenStream, String> {
    let socket_address: std::net::SocketAddr = address.parse().map_err(|_| format!("{address} is no address"))?;
    let connecting = TcpStream::connect(socket_address);
    let stream = match tokio::time::timeout(limit.as_duration(), connecting).await {
        Ok(outcome) => outcome.map_err(|fault| fault.to_string())?,
        Err(_) => return Err("connect limit passed".into()),
    };
    let _ = stream.set_nodelay(true);
    let cell = Arc::new(GateCell::default());
    let gated_stream = GatedStream::new(stream, Arc::clone(&cell));
    let (sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(gated_stream)).await.map_err(|fault| fault.to_string())?;
    let driver = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(OpenStream { address: address.to_owned(), sender, driver: driver.abort_handle(), gate: cell })
}

impl OpenStream {
    /// Sends the question. From here on the other side may have got it.
    pub async fn send(self, question: OutgoingRequest) -> Result<IncomingResponse, SendFault> {
        let request = self.request(question, true);
        self.carry_out(request).await
    }

    /// Sends the question if the gate, asked at the first write, lets it pass.
    pub async fn send_gated(self, question: OutgoingRequest, gate: SendGate) -> Result<IncomingResponse, SendFault> {
        self.gate.arm(gate);
        let request = self.request(question, true);
        self.carry_out(request).await
    }

    /// Asks on a stream that is kept, for polls; an answer is read whole.
    pub async fn send_keep_alive(
        &mut self,
        question: OutgoingRequest,
        limit: Span,
        most_bytes: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), String> {
        let request = self.request(question, false)?;
        let whole_call = async {
            self.sender.ready().await.map_err(|fault| fault.to_string())?;
            let response = self.sender.send_request(request).await.map_err(|fault| fault.to_string())?;
            let (parts, body) = response.into_parts();
            let bytes =
                read_whole(body, most_bytes, limit.as_duration()).await.map_err(|fault| format!("{fault:?}"))?;
            Ok((parts.status, parts.headers, bytes))
        };
        tokio::time::timeout(limit.as_duration(), whole_call).await.unwrap_or_else(|_| Err("limit passed".into()))
    }

    fn request(&self, question: OutgoingRequest, closes: bool) -> Result<Request<Full<Bytes>>, String> {
        let mut request =
            Request::builder().method(question.method).uri(&question.path).header("host", &self.address);
        if closes {
            request = request.header("connection", "close");
        }
        for (name, value) in question.headers {
            request = request.header(name, value);
        }
        request.body(Full::new(question.body)).map_err(|fault| fault.to_string())
    }

    async fn carry_out(
        mut self,
        request: Result<Request<Full<Bytes>>, String>,
    ) -> Result<IncomingResponse, SendFault> {
        let request = request.map_err(|reason| SendFault { reason, byte_left: false })?;
        match self.sender.send_request(request).await {
            Ok(response) => {
                let (parts, body) = response.into_parts();
                Ok(IncomingResponse { status: parts.status, headers: parts.headers, body, _stream: self })
            }
            Err(fault) => Err(self.gate.fault(fault.to_string())),
        }
    }
}

/// A whole call within one limit: status, headers and body.
pub async fn fetch_response(
    address: &str,
    question: OutgoingRequest,
    limit: Span,
    most_bytes: usize,
) -> Result<(StatusCode, HeaderMap, Bytes), String> {
    let whole_call = async {
        let replied = open_stream(address, limit).await?.send(question).await.map_err(|fault| fault.reason)?;
        let IncomingResponse { status, headers, body, _stream } = replied;
        let bytes = read_whole(body, most_bytes, limit.as_duration()).await.map_err(|fault| format!("{fault:?}"))?;
        Ok((status, headers, bytes))
    };
    match tokio::time::timeout(limit.as_duration(), whole_call).await {
        Ok(outcome) => outcome,
        Err(_) => Err("limit passed".into()),
    }
}

/// A whole call whose answer is JSON.
pub async fn fetch_json(
    address: &str,
    question: OutgoingRequest,
    limit: Span,
) -> Result<(StatusCode, Value), String> {
    let (status, _, bytes) = fetch_response(address, question, limit, 16 << 20).await?;
    let value = if bytes.is_empty() {
        Value::Null
    } else {
        serde_json::from_slice(&bytes).map_err(|fault| format!("answer is no JSON: {fault}"))?
    };
    Ok((status, value))
}
