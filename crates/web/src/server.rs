//! The HTTP server: accepts connections and passes their requests to one handler through gotham.

use crate::prelude::*;

/// A server without limits of its own may hold this part of a machine's defaults.
const DEFAULT_SHARE: Share = Share { memory_divisor: 1, descriptors_divisor: 1 };
const NO_ROOM_RETRY_AFTER: &str = "0.3";
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// A request with more header lines gets 431. Handlers limit the bytes of the headers themselves, and the library's
/// default of 100 lines would refuse heads well within those limits. The value is fixed, so that a handler's limit
/// that is raised also applies to connections already open.
const MAX_HEADER_LINES: usize = 4096;
/// A larger request head gets 431 whatever the handler's own limits, and is never kept whole in memory.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// The delay before accepting again after an error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A request as its handler receives it; the body is still being received.
pub struct IncomingRequest {
    pub method: Method,
    /// The parts of the path between slashes, without empty ones.
    pub segments: Vec<String>,
    pub query: String,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: std::sync::Mutex<GothamBody>,
    /// The connection on which it arrived.
    pub client: ClientAccount,
}

/// A response of a handler.
pub type WebResponse = Response<GothamBody>;
/// The future of a handler's response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = WebResponse> + Send>>;

/// Answers the requests of a server.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture;
}

/// Extracts a request from gotham's state.
pub trait StateExt {
    fn take_request(&mut self) -> IncomingRequest;
}

impl StateExt for State {
    fn take_request(&mut self) -> IncomingRequest {
        let uri = Uri::take_from(self);
        let segments = uri.path().split('/').filter(|part| !part.is_empty()).map(str::to_owned).collect();
        IncomingRequest {
            method: Method::take_from(self),
            segments,
            query: uri.query().unwrap_or("").to_owned(),
            uri,
            headers: HeaderMap::take_from(self),
            body: std::sync::Mutex::new(GothamBody::take_from(self)),
            client: ClientAccount::take_from(self),
        }
    }
}

impl IncomingRequest {
    /// The method and the path segments, to be matched.
    pub fn method_and_path(&self) -> (String, Vec<&str>) {
        (self.method.as_str().to_owned(), self.segments.iter().map(String::as_str).collect())
    }

    /// The value of a header, if it is readable text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The bearer token of the `authorization` header.
    pub fn bearer_token(&self) -> Option<&str> {
        self.header("authorization")?.strip_prefix("Bearer ").map(str::trim)
    }

    /// The value of a query parameter, not percent-decoded.
    pub fn query_value(&self, key: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    }

    /// Reads the whole body within limits.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, BodyFault> {
        let body = std::mem::replace(&mut self.body, std::sync::Mutex::new(empty_body()));
        let body = body.into_inner().map_err(|_| BodyFault::Broken("poisoned".into()))?;
        read_within_budget(body, max_bytes, BODY_READ_TIMEOUT, &self.client).await
    }
}

/// Adds headers to a response.
pub trait WebResponseExt {
    /// Sets a header, unless the value is not valid in one.
    fn with_header(self, name: &'static str, value: &str) -> Self;
}

impl WebResponseExt for WebResponse {
    fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(header_value) = HeaderValue::from_str(value) {
            self.headers_mut().insert(HeaderName::from_static(name), header_value);
        }
        self
    }
}

/// A response with this body.
pub fn bytes_response(status: StatusCode, content_type: &'static str, bytes: impl Into<Bytes>) -> WebResponse {
    let body = Full::new(bytes.into()).map_err(|never| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() = status;
    response.with_header("content-type", content_type)
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, value: &Value) -> WebResponse {
    bytes_response(status, "application/json", value.to_string())
}

/// An error response with a JSON body that holds the error type and a message.
pub fn error_response(status: StatusCode, kind: &str, reason: &str) -> WebResponse {
    json_response(status, &json!({"error": {"type": kind, "message": reason}}))
}

/// The response to a request whose body was not read whole.
pub fn body_fault_response(fault: BodyFault) -> WebResponse {
    match fault {
        BodyFault::TooLarge => error_response(StatusCode::PAYLOAD_TOO_LARGE, "too_large", "the body is too large"),
        BodyFault::TooSlow => error_response(StatusCode::REQUEST_TIMEOUT, "too_slow", "the body came too slowly"),
        BodyFault::NoRoom => no_room_response(),
        BodyFault::Broken(reason) => error_response(StatusCode::BAD_REQUEST, "bad_request", &reason),
    }
}

/// The refusal of a server that may not hold more for its clients at present.
pub(crate) fn no_room_response() -> WebResponse {
    error_response(StatusCode::SERVICE_UNAVAILABLE, "no_room", "too much is held for clients at present")
        .with_header("retry-after", NO_ROOM_RETRY_AFTER)
        .with_header("connection", "close")
}

/// The 404 response for an unknown path.
pub fn not_found_response() -> WebResponse {
    error_response(StatusCode::NOT_FOUND, "not_found", "no such page")
}

/// A tokio runtime with this number of worker threads.
pub fn small_runtime(threads: usize) -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(threads).thread_name("http").enable_all().build()
}

/// Binds a listener before the server starts, so that a port in use is reported at once.
pub fn bind(address: std::net::SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// What a server allows its clients.
#[derive(Clone)]
pub struct ServerOptions {
    /// What all clients of the server may hold together.
    pub budget: Arc<Budget>,
    /// Timeouts that may change while the server runs.
    pub timeouts: Arc<ConnectionTimeouts>,
    /// Closes the open connections, even after the server's future was dropped.
    pub connections: Arc<OpenConnections>,
}

impl ServerOptions {
    /// Default timeouts, and a budget within these limits.
    pub fn within(limits: BudgetLimits) -> ServerOptions {
        ServerOptions { budget: Budget::new(limits), timeouts: Arc::default(), connections: Arc::default() }
    }
}

impl Default for ServerOptions {
    fn default() -> ServerOptions {
        ServerOptions::within(ProcessLimits::default().share(DEFAULT_SHARE))
    }
}

/// Serves requests on a bound listener with default options.
pub async fn serve(listener: std::net::TcpListener, request_handler: Arc<dyn RequestHandler>) -> io::Result<()> {
    serve_with_options(listener, request_handler, ServerOptions::default()).await
}

/// Serves requests on a bound listener.
pub async fn serve_with_options(
    listener: std::net::TcpListener,
    request_handler: Arc<dyn RequestHandler>,
    options: ServerOptions,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let protocol = Arc::new(connection_builder());
    let handler = Arc::new(GothamHandler(std::panic::AssertUnwindSafe(request_handler)));
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(fault) => {
                log::warn!(target: "haremount", "event=accept_failed fault=\"{fault}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(client) = ClientAccount::open(&options.budget) else { continue };
        let _ = stream.set_nodelay(true);
        set_user_timeout(&stream, CLIENT_USER_TIMEOUT);
        let guarded = TokioIo::new(GuardedStream::new(stream, client.clone(), Arc::clone(&options.timeouts)));
        let (handler, serving_client) = (Arc::clone(&handler), client.clone());
        let service = hyper::service::service_fn(move |request| {
            answer(Arc::clone(&handler), request, address, serving_client.clone())
        });
        let protocol = Arc::clone(&protocol);
        let open = options.connections.enter();
        // An error or panic on one connection affects only that connection.
        tokio::spawn(async move {
            let mut connection = std::pin::pin!(protocol.serve_connection(guarded, service));
            tokio::select! {
                _ = connection.as_mut() => return,
                () = open.closing() => connection.as_mut().graceful_shutdown(),
                () = client.evicted() => connection.as_mut().graceful_shutdown(),
            }
            tokio::select! {
                _ = connection.as_mut() => return,
                () = client.evicted() => {}
            }
            let _ = connection.await;
        });
    }
}

/// Builds an HTTP/1-only server, since requests over another version would bypass the framing check.
fn connection_builder() -> ConnectionBuilder<TokioExecutor> {
    let mut builder = ConnectionBuilder::new(TokioExecutor::new()).http1_only();
    builder.http1().max_headers(MAX_HEADER_LINES).max_buf_size(MAX_HEAD_BYTES);
    builder
}

/// Passes a request to the handler through gotham, which turns a panic into a 500 response.
async fn answer(
    handler: Arc<GothamHandler>,
    request: Request<Incoming>,
    address: std::net::SocketAddr,
    client: ClientAccount,
) -> gotham::anyhow::Result<WebResponse> {
    let serving = client.serve();
    if head_bytes(request.headers()) > MAX_HEAD_BYTES {
        let reason = format!("at most {MAX_HEAD_BYTES} bytes of headers");
        let refusal = error_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large", &reason);
        return Ok(refusal.with_header("connection", "close"));
    }
    let mut state = State::from_request(request, address);
    state.put(client.clone());
    let response = gotham::service::call_handler(handler, std::panic::AssertUnwindSafe(state)).await?;
    Ok(ServedBody::within_budget(response, &client, serving))
}

/// The size of the header lines as received, since the library enforces its own limit only roughly.
fn head_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}

struct GothamHandler(std::panic::AssertUnwindSafe<Arc<dyn RequestHandler>>);

impl gotham::handler::NewHandler for GothamHandler {
    type Instance = GothamHandler;

    fn new_handler(&self) -> gotham::anyhow::Result<GothamHandler> {
        Ok(GothamHandler(std::panic::AssertUnwindSafe(Arc::clone(&self.0))))
    }
}

impl gotham::handler::Handler for GothamHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let request = state.take_request();
        Box::pin(async move {
            let response = Arc::clone(&self.0).handle(request).await;
            Ok((state, response))
        })
    }
}
