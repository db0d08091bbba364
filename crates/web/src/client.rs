//! The HTTP client. A call opens its own connection, and its first byte is written only if the caller's gate still
//! allows it, so a failure before that has sent nothing. Connections are not reused, except by `send_keep_alive`.

use crate::prelude::*;

const MAX_JSON_BYTES: usize = 16 << 20;

/// A last check before the first byte of a request; a request that it refuses is never sent.
pub type SendGate = Box<dyn FnOnce() -> Result<(), String> + Send>;

/// An open connection to a server.
pub struct OpenStream {
    address: String,
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    connection_task: tokio::task::AbortHandle,
    gate: Arc<GateCell>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

/// Why a request has no response, and whether any byte of it may have been sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendFault {
    /// What failed.
    pub reason: String,
    /// Whether any byte of the request may have been sent.
    pub byte_left: bool,
}

/// The gate of the next request on a connection, and the outcome of the latest one.
#[derive(Default)]
pub(crate) struct GateCell {
    gate: std::sync::Mutex<Option<SendGate>>,
    byte_left: std::sync::atomic::AtomicBool,
    refusal: std::sync::Mutex<Option<String>>,
}

impl GateCell {
    /// Sets the gate for the next request on the connection.
    pub(crate) fn arm(&self, gate: SendGate) {
        self.byte_left.store(false, std::sync::atomic::Ordering::SeqCst);
        if let Ok(mut gate_slot) = self.gate.lock() {
            *gate_slot = Some(gate);
        }
    }

    /// The fault of the latest request: the gate's reason if it refused, else the given one.
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

/// Runs the gate at the first write after it was set, in the same call that would write.
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

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.cell.pass()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    /// The library then writes a body from where it lies, instead of a copy.
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A request to a server.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

impl OutgoingRequest {
    /// A GET request without a body.
    pub fn get(path: &str) -> OutgoingRequest {
        OutgoingRequest { method: Method::GET, path: path.to_owned(), headers: Vec::new(), body: Bytes::new() }
    }

    /// A request with a JSON body.
    pub fn with_json(method: Method, path: &str, value: &Value) -> OutgoingRequest {
        OutgoingRequest {
            method,
            path: path.to_owned(),
            headers: vec![("content-type", "application/json".into())],
            body: Bytes::from(value.to_string()),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> OutgoingRequest {
        self.headers.push((name, value.into()));
        self
    }
}

/// A response whose body is still being received. Dropping it closes the connection.
pub struct IncomingResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Incoming,
    _stream: OpenStream,
}

impl IncomingResponse {
    /// The value of a header, if it is readable text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The next chunk of the body, or `None` at its clean end.
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

/// Connects to an address without sending anything.
pub async fn open_stream(address: &str, limit: Span) -> Result<OpenStream, String> {
    let socket_address: std::net::SocketAddr =
        address.parse().map_err(|_| format!("{address} is not an IP address and port"))?;
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
    let connection_task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(OpenStream {
        address: address.to_owned(),
        sender,
        connection_task: connection_task.abort_handle(),
        gate: cell,
    })
}

impl OpenStream {
    /// Sends the request, which the server may have received even if this fails.
    pub async fn send(self, outgoing: OutgoingRequest) -> Result<IncomingResponse, SendFault> {
        let request = self.build_request(outgoing, true);
        self.send_request(request).await
    }

    /// Sends the request if the gate, run at the first write, allows it.
    pub async fn send_gated(self, outgoing: OutgoingRequest, gate: SendGate) -> Result<IncomingResponse, SendFault> {
        self.gate.arm(gate);
        let request = self.build_request(outgoing, true);
        self.send_request(request).await
    }

    /// Sends a request and reads the whole response, keeping the connection open for further polls.
    pub async fn send_keep_alive(
        &mut self,
        outgoing: OutgoingRequest,
        limit: Span,
        max_bytes: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), String> {
        let request = self.build_request(outgoing, false)?;
        let whole_call = async {
            self.sender.ready().await.map_err(|fault| fault.to_string())?;
            let response = self.sender.send_request(request).await.map_err(|fault| fault.to_string())?;
            let (parts, body) = response.into_parts();
            let bytes =
                read_whole(body, max_bytes, limit.as_duration()).await.map_err(|fault| format!("{fault:?}"))?;
            Ok((parts.status, parts.headers, bytes))
        };
        tokio::time::timeout(limit.as_duration(), whole_call).await.unwrap_or_else(|_| Err("limit passed".into()))
    }

    fn build_request(&self, outgoing: OutgoingRequest, closes: bool) -> Result<Request<Full<Bytes>>, String> {
        let mut request =
            Request::builder().method(outgoing.method).uri(&outgoing.path).header("host", &self.address);
        if closes {
            request = request.header("connection", "close");
        }
        for (name, value) in outgoing.headers {
            request = request.header(name, value);
        }
        request.body(Full::new(outgoing.body)).map_err(|fault| fault.to_string())
    }

    async fn send_request(
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

/// Sends a request on a new connection and reads the whole response, all within one time limit.
pub async fn fetch_response(
    address: &str,
    outgoing: OutgoingRequest,
    limit: Span,
    max_bytes: usize,
) -> Result<(StatusCode, HeaderMap, Bytes), String> {
    let whole_call = async {
        let response = open_stream(address, limit).await?.send(outgoing).await.map_err(|fault| fault.reason)?;
        let IncomingResponse { status, headers, body, _stream } = response;
        let bytes = read_whole(body, max_bytes, limit.as_duration()).await.map_err(|fault| format!("{fault:?}"))?;
        Ok((status, headers, bytes))
    };
    match tokio::time::timeout(limit.as_duration(), whole_call).await {
        Ok(outcome) => outcome,
        Err(_) => Err("limit passed".into()),
    }
}

/// Like `fetch_response`, for a JSON response.
pub async fn fetch_json(
    address: &str,
    outgoing: OutgoingRequest,
    limit: Span,
) -> Result<(StatusCode, Value), String> {
    let (status, _, bytes) = fetch_response(address, outgoing, limit, MAX_JSON_BYTES).await?;
    let value = if bytes.is_empty() {
        Value::Null
    } else {
        serde_json::from_slice(&bytes).map_err(|fault| format!("the response is not JSON: {fault}"))?
    };
    Ok((status, value))
}
