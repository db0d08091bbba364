//! The HTTP handlers: route requests, check and admit prompts, resume streams, and serve health and metrics pages.

use crate::prelude::*;

/// The time limit for connecting to another router.
const PROXY_CONNECT_TIMEOUT: Span = Span::millis(700);
/// Maximum size of another router's error response.
const MAX_PROXIED_ERROR_BYTES: usize = 1 << 16;
/// How long another router's error response may take.
const PROXIED_ERROR_TIMEOUT: Duration = Duration::from_secs(2);
/// How many chunks of a proxied stream may wait for a caller that reads slowly.
const PROXY_QUEUE_CAPACITY: usize = 32;

/// The handlers of the router's HTTP routes.
pub struct ApiHandler {
    /// This router's id.
    pub router: NodeId,
    /// The router's shared state.
    pub shared: Arc<SharedState>,
    /// Admits requests and picks engines.
    pub scheduler: SchedulerHandle,
    /// The number of the next run.
    pub next_run: AtomicU64,
    /// The buffers of resumable runs.
    pub held_runs: Arc<HeldRuns>,
    /// Settles claims of idempotency keys.
    pub coordinator: Arc<CoordinatorClient>,
    /// Records runs, if recording is on.
    pub recorder: Recorder,
}

/// Counts a request as running until dropped.
pub struct RunningGuard(Arc<SharedState>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.counts.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl RequestHandler for ApiHandler {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(self.respond(request))
    }
}

impl ApiHandler {
    async fn respond(self: Arc<Self>, request: IncomingRequest) -> WebResponse {
        let (method, segments) = request.method_and_path();
        match (method.as_str(), segments.as_slice()) {
            ("POST", ["v1", "completions"]) => self.handle_prompt(request, ApiFormat::Completion).await,
            ("POST", ["v1", "chat", "completions"]) => self.handle_prompt(request, ApiFormat::Chat).await,
            ("GET", ["v1", "runs", run]) => {
                let (run, last_event) = ((*run).to_owned(), request.header("last-event-id").map(str::to_owned));
                self.resume(&request, &run, last_event.as_deref()).await
            }
            ("GET", ["live"]) => bytes_response(StatusCode::OK, "text/plain", "live\n"),
            ("GET", ["ready"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics(),
            _ => not_found_response(),
        }
    }

    /// Resumes a run after the last event that the caller received; never starts one. A run held by another router
    /// is proxied from there, at most once.
    async fn resume(&self, request: &IncomingRequest, run: &str, last_event: Option<&str>) -> WebResponse {
        let bad = |reason: &str| error_response(StatusCode::BAD_REQUEST, "bad_request", reason);
        let gone =
            || error_response(StatusCode::GONE, "gone", "this run is no longer buffered; it is not started again");
        let Some(named) = EventId::read(run).filter(|named| named.piece.is_none()) else {
            return bad("a run is named ROUTER.NUMBER, as in the header x-haremount-run");
        };
        let last_piece = match last_event.map(EventId::read) {
            None => None,
            Some(Some(last)) if (last.router, last.run) == (named.router, named.run) && last.piece.is_some() => {
                last.piece
            }
            Some(_) => return bad("Last-Event-ID does not name an event of this run"),
        };
        if !self.shared.holds_lease(boot_now()) {
            let reason = "this router holds no lease";
            return Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no_lease", reason).retry_after(1).into_outcome();
        }
        let snapshot = self.shared.snapshot();
        let key_hash = request.bearer_token().map(sha256_hex).unwrap_or_default();
        let Some(tenant) = snapshot.tenants_by_key.get(&key_hash) else {
            return error_response(StatusCode::UNAUTHORIZED, "unknown_key", "the key is not known");
        };
        if named.router != self.router {
            let may_proxy = request.header("x-haremount-carried").is_none();
            return match self.shared.address_of(named.router).filter(|_| may_proxy) {
                Some(address) => proxy_resume(&address, request, run, last_event).await.unwrap_or_else(|_| gone()),
                None => gone(),
            };
        }
        let Some(held_run) = self.held_runs.find(named.run).filter(|held_run| held_run.tenant == *tenant) else {
            return gone();
        };
        let Some(first) = resume_index(last_piece, held_run.event_count()) else {
            return bad("Last-Event-ID names a piece that was never sent");
        };
        held_run.stream_from(first).with_header(RUN_HEADER, run)
    }

    /// Handles a prompt, or resumes a run if the request names a last event.
    async fn handle_prompt(&self, mut request: IncomingRequest, format: ApiFormat) -> WebResponse {
        if let Some(last_event) = request.header("last-event-id").map(str::to_owned) {
            let run = last_event.rsplit_once('.').map_or("", |(run, _)| run).to_owned();
            return self.resume(&request, &run, Some(&last_event)).await;
        }
        Counts::add(&self.shared.counts.requests, 1);
        self.shared.counts.running.fetch_add(1, Ordering::SeqCst);
        let running = RunningGuard(Arc::clone(&self.shared));
        match self.admit(&mut request, format).await {
            Ok((plan, slot)) => {
                let run = Run {
                    plan,
                    _held: (slot, running),
                    router: self.router,
                    shared: Arc::clone(&self.shared),
                    scheduler: self.scheduler.clone(),
                    held_runs: Arc::clone(&self.held_runs),
                    coordinator: Arc::clone(&self.coordinator),
                    recorder: self.recorder.clone(),
                    draft: None,
                };
                run.forward().await
            }
            Err(refusal) => {
                Counts::add(&self.shared.counts.refused, 1);
                event!(info, "request_refused", status = refusal.status.as_u16(), reason = refusal.reason);
                refusal.into_outcome()
            }
        }
    }

    /// Checks a prompt and takes a concurrency slot for its tenant.
    async fn admit(
        &self,
        request: &mut IncomingRequest,
        format: ApiFormat,
    ) -> Result<(RequestPlan, ConcurrencySlot), Refusal> {
        let now = boot_now();
        if self.shared.draining.load(Ordering::SeqCst) {
            let reason = "this router is stopping";
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "draining", reason).retry_after(1));
        }
        if !self.shared.holds_lease(now) {
            let reason = "this router holds no lease";
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no_lease", reason).retry_after(1));
        }
        let headers = HeaderFields::read(request)?;
        let body = request.read_body(MAX_REQUEST_BYTES).await.map_err(|fault| match fault {
            BodyFault::TooLarge => {
                let reason = format!("at most {MAX_REQUEST_BYTES} bytes");
                Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", reason)
            }
            BodyFault::TooSlow => Refusal::new(StatusCode::REQUEST_TIMEOUT, "too_slow", "the body came too slowly"),
            BodyFault::NoRoom => {
                let reason = "too much is held for callers at present";
                Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no_room", reason)
            }
            BodyFault::Broken(reason) => Refusal::new(StatusCode::BAD_REQUEST, "bad_request", reason),
        })?;
        let caller_request: CallerRequest = serde_json::from_slice(&body)
            .map_err(|fault| Refusal::new(StatusCode::BAD_REQUEST, "bad_request", fault.to_string()))?;
        let run_number = self.next_run.fetch_add(1, Ordering::SeqCst);
        let run = (format!("{}.{run_number}", self.router), run_number);
        let snapshot = self.shared.snapshot();
        let plan = RequestPlan::make(caller_request, format, &headers, &snapshot, run, now)?;
        if let Some(adapter) = plan.adapter(&snapshot) {
            self.shared.record_demand(&adapter.name, now);
        }
        let overloaded = || {
            let reason = "the router is overloaded";
            Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded", reason).retry_after(1)
        };
        let admitted = self.scheduler.admit(&plan.tenant, plan.share).await.ok_or_else(overloaded)?;
        let Some(slot) = admitted else {
            let reason = "the tenant's share is in use";
            return Err(Refusal::new(StatusCode::TOO_MANY_REQUESTS, "over_share", reason).retry_after(1));
        };
        Ok((plan, slot))
    }

    /// Ready while it holds a lease and is not draining.
    fn ready(&self) -> WebResponse {
        let is_ready = self.shared.holds_lease(boot_now()) && !self.shared.draining.load(Ordering::SeqCst);
        if is_ready {
            bytes_response(StatusCode::OK, "text/plain", "ready\n")
        } else {
            bytes_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
        }
    }

    fn metrics(&self) -> WebResponse {
        let counts = &self.shared.counts;
        let now = boot_now();
        let snapshot = self.shared.snapshot();
        let mut text = String::new();
        let counters = [
            ("requests_total", &counts.requests),
            ("running", &counts.running),
            ("shots_total", &counts.attempts),
            ("retries_total", &counts.retries),
            ("whole_total", &counts.whole),
            ("not_run_total", &counts.not_run),
            ("unknown_total", &counts.unknown),
            ("cut_total", &counts.cut),
            ("cancelled_total", &counts.cancelled),
            ("refused_total", &counts.refused),
            ("prompt_blocks_total", &counts.prompt_blocks),
            ("reused_blocks_total", &counts.reused_blocks),
            ("fetch_blocks_total", &counts.fetch_blocks),
            ("history_picks_total", &counts.history_picks),
            ("adapter_own_zone_total", &counts.adapter_own_zone),
            ("adapter_own_region_total", &counts.adapter_own_region),
            ("adapter_other_region_total", &counts.adapter_other_region),
            ("adapter_cold_total", &counts.adapter_cold),
            ("adapter_refusals_total", &counts.adapter_refusals),
        ];
        for (name, counter) in counters {
            text.push_str(&format!("haremount_router_{name} {}\n", counter.load(Ordering::Relaxed)));
        }
        text.push_str(&format!("haremount_router_edition {}\n", snapshot.state.edition));
        text.push_str(&format!("haremount_router_lease_left_ms {}\n", self.shared.lease_left(now).as_millis()));
        text.push_str(&self.shared.policy_metrics());
        bytes_response(StatusCode::OK, "text/plain; version=0.0.4", text)
    }
}

/// Proxies the stream of a run from the router that holds it.
async fn proxy_resume(
    address: &str,
    request: &IncomingRequest,
    run: &str,
    last_event: Option<&str>,
) -> Result<WebResponse, String> {
    let mut outgoing = OutgoingRequest::get(&format!("/v1/runs/{run}"))
        .header("authorization", request.header("authorization").unwrap_or(""))
        .header("x-haremount-carried", "true");
    if let Some(last_event) = last_event {
        outgoing = outgoing.header("last-event-id", last_event);
    }
    let stream = open_stream(address, PROXY_CONNECT_TIMEOUT).await?;
    let mut upstream_response = stream.send(outgoing).await.map_err(|fault| fault.reason)?;
    if upstream_response.status != StatusCode::OK {
        let status = upstream_response.status;
        let body = read_whole(&mut upstream_response.body, MAX_PROXIED_ERROR_BYTES, PROXIED_ERROR_TIMEOUT)
            .await
            .unwrap_or_default();
        return Ok(bytes_response(status, "application/json", body));
    }
    let (pieces, response) = streaming_response(StatusCode::OK, "text/event-stream", PROXY_QUEUE_CAPACITY);
    tokio::spawn(async move {
        loop {
            let piece = tokio::select! {
                piece = upstream_response.next_chunk() => piece,
                () = pieces.gone() => return,
            };
            match piece {
                Ok(Some(bytes)) => {
                    if !pieces.send(bytes).await {
                        return;
                    }
                }
                Ok(None) => return pieces.finish(),
                Err(_) => return,
            }
        }
    });
    Ok(response.with_header(RUN_HEADER, run))
}
