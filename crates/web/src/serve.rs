//! The listening side: one handler for a site, given to gotham as its new-handler.

use crate::prelude::*;

const MOST_CALLERS: usize = 4096;
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// More header lines than this get 431. Their bytes are bounded by what a site's own limits say; the library's
/// default of 100 lines would refuse heads that are well within those. The same for every connection, so that a
/// limit that is raised holds on those already open.
const MOST_HEADER_LINES: usize = 4096;
/// A head of more bytes gets 431, whatever a site's own limits say; it is never kept whole in memory.
const MOST_HEAD_BYTES: usize = 128 << 10;
/// How long nothing is accepted after a failure, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A request as a site sees it; the body is still on its way.
pub struct IncomingRequest {
    pub method: Method,
    pub segments: Vec<String>,
    pub query: String,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: std::sync::Mutex<GothamBody>,
}

pub type WebResponse = Response<GothamBody>;
pub type ResponseFuture = Pin<Box<dyn Future<Output = WebResponse> + Send>>;

/// What a program serves.
pub trait RequestHandler: Send + Sync + 'static {
    fn handle(self: Arc<Self>, asked: IncomingRequest) -> ResponseFuture;
}

/// Taking a request out of gotham's state.
pub trait StateExt {
    fn take_asked(&mut self) -> IncomingRequest;
}

impl StateExt for State {
    fn take_asked(&mut self) -> IncomingRequest {
        let uri = Uri::take_from(self);
        let segments = uri.path().split('/').filter(|part| !part.is_empty()).map(str::to_owned).collect();
        IncomingRequest {
            method: Method::take_from(self),
            segments,
            query: uri.query().unwrap_or("").to_owned(),
            uri,
            headers: HeaderMap::take_from(self),
            body: std::sync::Mutex::new(GothamBody::take_from(self)),
        }
    }
}

impl IncomingRequest {
    /// Method and path, ready to be matched.
    pub fn method_and_path(&self) -> (String, Vec<&str>) {
        (self.method.as_str().to_owned(), self.segments.iter().map(String::as_str).collect())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub fn bearer_token(&self) -> Option<&str> {
        self.header("authorization")?.strip_prefix("Bearer ").map(str::trim)
    }

    pub fn query_value(&self, key: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    }

    pub async fn read_body(&mut self, most_bytes: usize) -> Result<Bytes, BodyFault> {
        let body = std::mem::replace(&mut self.body, std::sync::Mutex::new(empty_body()));
        let body = body.into_inner().map_err(|_| BodyFault::Broken("poisoned".into()))?;
        read_whole(body, most_bytes, BODY_LIMIT).await
    }
}

/// Answers and their headers.
pub trait WebResponseExt {
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

pub fn bytes_response(status: StatusCode, content_type: &'static str, bytes: impl Into<Bytes>) -> WebResponse {
    let body = Full::new(bytes.into()).map_err(|never| match never {});
    let mut answered = Response::new(UnsyncBoxBody::new(body));
    *answered.status_mut() = status;
    answered.with_header("content-type", content_type)
}

pub fn json_response(status: StatusCode, value: &Value) -> WebResponse {
    bytes_response(status, "application/json", value.to_string())
}

/// A refusal: what is wrong, as JSON.
pub fn error_response(status: StatusCode, kind: &str, reason: &str) -> WebResponse {
    json_response(status, &json!({"error": {"type": kind, "message": reason}}))
}

pub fn not_found_response() -> WebResponse {
    error_response(StatusCode::NOT_FOUND, "not_found", "no such page")
}

/// A runtime with few threads, for HTTP alone.
pub fn small_runtime(threads: usize) -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(threads).thread_name("http").enable_all().build()
}

/// Binds before anything is promised, so that a port in use is a plain refusal.
pub fn bind(address: std::net::SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves a site for ever on a bound listener.
pub async fn serve(listener: std::net::TcpListener, site: Arc<dyn RequestHandler>) -> io::Result<()> {
    serve_with_timeouts(listener, site, Arc::default(), Arc::default()).await
}

/// Serves a site for ever, within bounds on callers that may change meanwhile. Connections can be told to
/// end, also after this was given up.
pub async fn serve_with_timeouts(
    listener: std::net::TcpListener,
    site: Arc<dyn RequestHandler>,
    bounds: Arc<ConnectionTimeouts>,
    connections: Arc<OpenConnections>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let seats = Arc::new(tokio::sync::Semaphore::new(MOST_CALLERS));
    let protocol = Arc::new(connection_builder());
    let handler = Arc::new(SiteHandler(std::panic::AssertUnwindSafe(site)));
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(fault) => {
                log::warn!(target: "haremount", "event=accept_failed fault=\"{fault}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(seat) = Arc::clone(&seats).try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        set_user_timeout(&stream, CALLER_USER_TIMEOUT);
        let guarded = TokioIo::new(GuardedStream::new(stream, seat, Arc::clone(&bounds)));
        let handler = Arc::clone(&handler);
        let service = hyper::service::service_fn(move |request| answer(Arc::clone(&handler), request, address));
        let protocol = Arc::clone(&protocol);
        let open = connections.enter();
        // What goes wrong on one connection ends that connection alone.
        tokio::spawn(async move {
            let mut connection = std::pin::pin!(protocol.serve_connection(guarded, service));
            tokio::select! {
                _ = connection.as_mut() => return,
                () = open.closing() => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
        });
    }
}

/// HTTP/1 alone: what comes over another version would pass by the inspection of framing.
fn connection_builder() -> ConnectionBuilder<TokioExecutor> {
    let mut builder = ConnectionBuilder::new(TokioExecutor::new()).http1_only();
    builder.http1().max_headers(MOST_HEADER_LINES).max_buf_size(MOST_HEAD_BYTES);
    builder
}

/// Gives a request to the site through gotham's handler, which turns a panic into an answer with 500.
async fn answer(
    handler: Arc<SiteHandler>,
    request: Request<Incoming>,
    address: std::net::SocketAddr,
) -> gotham::anyhow::Result<WebResponse> {
    if head_bytes(request.headers()) > MOST_HEAD_BYTES {
        let reason = format!("at most {MOST_HEAD_BYTES} bytes of headers");
        let refusal = error_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large", &reason);
        return Ok(refusal.with_header("connection", "close"));
    }
    let state = State::from_request(request, address);
    gotham::service::call_handler(handler, std::panic::AssertUnwindSafe(state)).await
}

/// The bytes of the header lines as they came. The library's own bound is kept only roughly.
fn head_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}

struct SiteHandler(std::panic::AssertUnwindSafe<Arc<dyn RequestHandler>>);

impl gotham::handler::NewHandler for SiteHandler {
    type Instance = SiteHandler;

    fn new_handler(&self) -> gotham::anyhow::Result<SiteHandler> {
        Ok(SiteHandler(std::panic::AssertUnwindSafe(Arc::clone(&self.0))))
    }
}

impl gotham::handler::Handler for SiteHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let asked = state.take_asked();
        Box::pin(async move {
            let answered = Arc::clone(&self.0).handle(asked).await;
            Ok((state, answered))
        })
    }
}
