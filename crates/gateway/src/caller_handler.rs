//! Receives callers' requests: checks limits, route and API key, and hands the planned request to the relay.

use crate::prelude::*;

/// The `retry-after` time of a request refused for lack of a lease, a configuration or a service.
pub const NOT_READY_RETRY_AFTER: Span = Span::millis(300);

/// A response by the gateway itself: why a request is refused, or why no engine's response is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub status: StatusCode,
    pub reason: String,
    pub retry_after: Option<Span>,
}

impl Refusal {
    /// A refusal without a `retry-after` time.
    pub fn new(status: StatusCode, reason: impl Into<String>) -> Refusal {
        Refusal { status, reason: reason.into(), retry_after: None }
    }

    /// A refusal with a `retry-after` time.
    pub fn retry_later(reason: impl Into<String>, span: Span) -> Refusal {
        Refusal { status: StatusCode::SERVICE_UNAVAILABLE, reason: reason.into(), retry_after: Some(span) }
    }
}

/// Serves callers.
pub struct CallerHandler {
    pub shared: Arc<SharedState>,
    pub scheduler: SchedulerHandle,
    pub pool: Arc<ConnectionPool>,
    pub protocol: Arc<dyn Protocol>,
    pub samples: AtomicU64,
}

/// Counts a request as running until dropped.
pub struct RunningCount(Arc<SharedState>);

impl RunningCount {
    pub fn new(shared: &Arc<SharedState>) -> RunningCount {
        shared.counts.running.fetch_add(1, Ordering::SeqCst);
        RunningCount(Arc::clone(shared))
    }
}

impl Drop for RunningCount {
    fn drop(&mut self) {
        self.0.counts.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl RequestHandler for CallerHandler {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(self.handle(request))
    }
}

impl CallerHandler {
    async fn handle(self: Arc<Self>, mut request: IncomingRequest) -> WebResponse {
        let running = RunningCount::new(&self.shared);
        self.shared.counts.requests.fetch_add(1, Ordering::Relaxed);
        let is_chunked = request.headers.contains_key("transfer-encoding");
        let attempt = self.protocol.read_head(&request.headers).map(|head| head.attempt).unwrap_or_default();
        let mut response = match self.plan(&mut request).await {
            Ok(planned) => self.relay(planned, running).await,
            Err(refusal) => self.refuse(&refusal, &attempt),
        };
        let is_stopping = self.shared.draining.load(Ordering::SeqCst);
        if is_stopping || is_chunked || response.status().is_client_error() {
            response.headers_mut().insert("connection", HeaderValue::from_static("close"));
        }
        response
    }

    async fn relay(&self, planned: PlannedRequest, running: RunningCount) -> WebResponse {
        let relay = Relay::new(planned, running, self);
        relay.run().await
    }

    fn refuse(&self, refusal: &Refusal, attempt: &str) -> WebResponse {
        self.shared.counts.refused.fetch_add(1, Ordering::Relaxed);
        event!(debug, "request_refused", status = refusal.status.as_u16(), reason = refusal.reason);
        gateway_response(&*self.protocol, attempt, refusal)
    }

    async fn plan(&self, request: &mut IncomingRequest) -> Result<PlannedRequest, Refusal> {
        let began = boot_now();
        let snapshot = self.shared.snapshot();
        self.check_ready(&snapshot, began)?;
        let limits = &snapshot.state.desired.limits;
        let header_bytes: usize =
            request.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
        if header_bytes as u64 > limits.header_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(Refusal::new(status, format!("at most {} bytes of headers", limits.header_bytes)));
        }
        if request.headers.get_all("host").iter().count() > 1 {
            return Err(Refusal::new(StatusCode::BAD_REQUEST, "a request must have a single host header"));
        }
        let announced = request.header("content-length").and_then(|length| length.parse::<u64>().ok());
        if announced.is_some_and(|length| length > limits.body_bytes) {
            return Err(refuse_body(BodyFault::TooLarge));
        }
        let body = request.read_body(limits.body_bytes as usize).await.map_err(refuse_body)?;
        let snapshot = self.shared.snapshot();
        self.check_ready(&snapshot, boot_now())?;
        let host = request.header("host").or(request.uri.host()).unwrap_or("").to_owned();
        let Some(route) = snapshot.routes.find(&host, request.uri.path()).cloned() else {
            return Err(Refusal::new(StatusCode::NOT_FOUND, "no route matches this host and path"));
        };
        let head = self
            .protocol
            .read_head(&request.headers)
            .map_err(|reason| Refusal::new(StatusCode::BAD_REQUEST, reason))?;
        let tenant = find_tenant(&snapshot, &route, &head)?;
        let sample = self.samples.fetch_add(1, Ordering::Relaxed);
        let Some(service) = route.service(sample.wrapping_mul(SAMPLE_MULTIPLIER)).cloned() else {
            return Err(Refusal::retry_later("no service of the route has a share", NOT_READY_RETRY_AFTER));
        };
        let limit = head.deadline.map_or(route.spec.limit, |deadline| deadline.min(route.spec.limit));
        Ok(PlannedRequest {
            method: request.method.clone(),
            target: request.uri.path_and_query().map_or_else(|| "/".into(), |target| target.as_str().to_owned()),
            headers: end_to_end(&request.headers),
            body,
            client: request.client.clone(),
            head,
            route,
            service,
            tenant,
            began,
            deadline: began + limit,
        })
    }

    /// Refuses requests without a lease or a configuration, as the current desired state is then unknown.
    fn check_ready(&self, snapshot: &FleetSnapshot, now: Instant) -> Result<(), Refusal> {
        if snapshot.state.configuration.revision.0 == 0 {
            return Err(Refusal::retry_later("no configuration is in force here yet", NOT_READY_RETRY_AFTER));
        }
        if !self.shared.holds_lease(now) {
            return Err(Refusal::retry_later("this router holds no lease", NOT_READY_RETRY_AFTER));
        }
        Ok(())
    }
}

/// The multiplier that spreads the samples of consecutive requests over a route's branches.
const SAMPLE_MULTIPLIER: u64 = 0x9e37_79b9;

fn find_tenant(
    snapshot: &FleetSnapshot,
    route: &NamedRoute,
    head: &CallerHead,
) -> Result<Option<(TenantName, String)>, Refusal> {
    let key_hash = head.key.as_ref().map(|key| sha256_hex(key));
    let known = key_hash.and_then(|key_hash| {
        let tenant = snapshot.tenants_by_key.get(&key_hash)?.clone();
        Some((tenant, key_hash))
    });
    if known.is_none() && !route.spec.public && snapshot.state.desired.requires_keys() {
        return Err(Refusal::new(StatusCode::UNAUTHORIZED, "the key is not known"));
    }
    Ok(known)
}

fn refuse_body(error: BodyFault) -> Refusal {
    match error {
        BodyFault::TooLarge => Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        BodyFault::TooSlow => Refusal::new(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
        BodyFault::NoRoom => Refusal::retry_later("too much is held for callers at present", NOT_READY_RETRY_AFTER),
        BodyFault::Broken(reason) => Refusal::new(StatusCode::BAD_REQUEST, reason),
    }
}

/// Builds the gateway's own response.
pub fn gateway_response(protocol: &dyn Protocol, attempt: &str, refusal: &Refusal) -> WebResponse {
    let mut response = bytes_response(refusal.status, "text/plain", format!("{}\n", refusal.reason));
    if let Some(span) = refusal.retry_after {
        let seconds = span.as_millis() as f64 / 1000.0;
        response = response.with_header("retry-after", &format!("{seconds:.3}"));
    }
    if !attempt.is_empty() {
        protocol.mark_answer(attempt, response.headers_mut());
    }
    response
}

const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The end-to-end headers. `content-length`, which is set anew, and `expect` are left out.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut end_to_end = HeaderMap::new();
    for (name, value) in headers {
        let is_hop =
            HOP_BY_HOP_HEADERS.contains(&name.as_str()) || named_by_connection.iter().any(|hop| hop == name.as_str());
        if !is_hop && name != "content-length" && name != "expect" {
            end_to_end.append(name.clone(), value.clone());
        }
    }
    end_to_end
}
