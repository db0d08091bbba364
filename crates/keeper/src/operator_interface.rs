//! The operators' built-in HTTP interface. Every change goes through the chain and is answered once it is in force
//! on all leased nodes; one without an answer in time is reported as `unknown`, with its request id for a retry.

use crate::prelude::*;

const CHANGE_TIMEOUT: Span = Span::seconds(8);
const READ_TIMEOUT: Span = Span::seconds(3);
/// The platform's listing counts as reachable if it was read within this time.
const REACHABLE_LISTING_AGE_MS: u64 = 1500;
const MAX_REQUEST_BODY: usize = (1 << 20) + (64 << 10);

/// Serves the operators' built-in HTTP interface.
pub struct OperatorInterface {
    pub executor: ExecutorClient,
    pub publisher: SharedPublisher,
    pub me: Member,
    pub listing_health: Arc<ListingHealth>,
}

impl RequestHandler for OperatorInterface {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(self.route(request))
    }
}

impl OperatorInterface {
    async fn route(self: Arc<Self>, request: IncomingRequest) -> WebResponse {
        let (method, segments) = request.method_and_path();
        match (method.as_str(), segments.as_slice()) {
            ("GET", ["live"]) => return bytes_response(StatusCode::OK, "text/plain", "live\n"),
            ("GET", ["ready"]) => return self.ready(),
            ("GET", ["metrics"]) => return self.metrics(),
            _ => {}
        }
        let Some(state) = self.read_state().await else { return core_unavailable() };
        let known_key = request.bearer_token().is_some_and(|key| state.is_operator(&sha256_hex(key)));
        if !known_key {
            return error_response(StatusCode::UNAUTHORIZED, "unknown_key", "an operator's key is required");
        }
        let parts: Vec<String> = segments.iter().map(|segment| (*segment).to_owned()).collect();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        match (method.as_str(), parts.as_slice()) {
            ("GET", ["v1", "desired-state"]) => desired_state_response(&state),
            ("PUT", ["v1", "desired-state"]) => self.change_document(request, true).await,
            ("PATCH", ["v1", "desired-state"]) => self.change_document(request, false).await,
            ("PUT", ["v1", "tenants", tenant, "keys", key_name]) => self.put_key(request, tenant, key_name).await,
            ("DELETE", ["v1", "tenants", tenant, "keys", key_name]) => {
                let is_known = state
                    .desired
                    .tenants
                    .get(&TenantName::from(*tenant))
                    .is_some_and(|tenant| tenant.keys.contains_key(&KeyName::from(*key_name)));
                if !is_known {
                    return error_response(StatusCode::NOT_FOUND, "not_found", "no such tenant or key");
                }
                let patch = json!({"tenants": {*tenant: {"keys": {*key_name: null}}}});
                self.submit(&request, Command::Merge { base: None, patch: patch.to_string() }).await
            }
            ("GET", ["v1", "requests", request_id]) => match request_id.parse::<RequestId>() {
                Ok(request_id) => {
                    let answer = self
                        .executor
                        .query(CoreQuery::Settled { request: request_id, fingerprint: None }, READ_TIMEOUT)
                        .await;
                    outcome_response(request_id, answer)
                }
                Err(_) => error_response(StatusCode::BAD_REQUEST, "bad_request", "a request id has 16 hex digits"),
            },
            ("POST", ["v1", "intents"]) => self.create_plan(request).await,
            ("GET", ["v1", "plans"]) => {
                let plans: Vec<Value> = state.plans.iter().map(|(number, plan)| show_plan(*number, plan)).collect();
                json_response(StatusCode::OK, &json!({"plans": plans}))
            }
            ("GET", ["v1", "plans", plan]) => match find_plan(&state, plan) {
                Some((number, plan)) => json_response(StatusCode::OK, &show_plan(number, plan)),
                None => error_response(StatusCode::NOT_FOUND, "not_found", "no such plan"),
            },
            ("POST", ["v1", "plans", plan, "confirm"]) => match find_plan(&state, plan) {
                Some((number, _)) => self.submit(&request, Command::Confirm { plan: number }).await,
                None => error_response(StatusCode::NOT_FOUND, "not_found", "no such plan"),
            },
            ("POST", ["v1", "policies", "check"]) => check_policy(&state, request).await,
            ("GET", ["v1", "policies", policy]) => match state.desired.policies.get(*policy) {
                Some(found) => json_response(StatusCode::OK, &show_table(&state, found)),
                None => error_response(StatusCode::NOT_FOUND, "not_found", "no such policy"),
            },
            ("GET", ["v1", "fleet"]) => self.show_fleet(&state).await,
            ("GET", ["v1", "adapters"]) => match self.executor.query(CoreQuery::Demand, READ_TIMEOUT).await {
                QueryOutcome::Demand(demand) => json_response(StatusCode::OK, &show_adapters(&state, &demand)),
                _ => core_unavailable(),
            },
            _ => not_found_response(),
        }
    }

    async fn read_state(&self) -> Option<Box<FleetState>> {
        match self.executor.query(CoreQuery::State, READ_TIMEOUT).await {
            QueryOutcome::State(state) => Some(state),
            _ => None,
        }
    }

    async fn change_document(&self, mut request: IncomingRequest, is_whole: bool) -> WebResponse {
        let base = match read_if_match(&request) {
            Ok(base) => base,
            Err(response) => return *response,
        };
        let body = match request.read_body(MAX_REQUEST_BODY).await {
            Ok(body) => body,
            Err(fault) => return body_fault_response(fault),
        };
        let Ok(text) = String::from_utf8(body.to_vec()) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "not UTF-8");
        };
        let document = match parse_bounded(&text, DOCUMENT_BOUNDS) {
            Ok(document) => document,
            Err(error) => return validation_response(&[error]),
        };
        if !is_whole && !matches!(document, JsonValue::Object(_)) {
            return validation_response(&[ValidationError::at("", "a merge patch is an object")]);
        }
        let command = if is_whole {
            if let Err(errors) = read_document(&document) {
                return validation_response(&errors);
            }
            Command::Replace { base: Some(base), text: write_sorted(&document) }
        } else {
            Command::Merge { base: Some(base), patch: write_sorted(&document) }
        };
        self.submit(&request, command).await
    }

    /// Submits an intent and answers with the plan of steps made from it.
    async fn create_plan(&self, mut request: IncomingRequest) -> WebResponse {
        let intent = match read_json_body(&mut request).await {
            Ok(document) => read_intent(&document),
            Err(response) => return *response,
        };
        let intent = match intent {
            Ok(intent) => intent,
            Err(errors) => return validation_response(&errors),
        };
        let request_id = match read_request_id(&request) {
            Ok(request_id) => request_id,
            Err(response) => return *response,
        };
        let answer = self.executor.submit(request_id, Command::Intend(intent), CHANGE_TIMEOUT).await;
        let QueryOutcome::Settled(CommandOutcome::Applied(number)) = answer else {
            return outcome_response(request_id, answer);
        };
        let Some(state) = self.read_state().await else { return core_unavailable() };
        match state.plans.get(&number) {
            Some(plan) => json_response(StatusCode::CREATED, &show_plan(number, plan)),
            None => core_unavailable(),
        }
    }

    async fn put_key(&self, mut request: IncomingRequest, tenant: &str, key_name: &str) -> WebResponse {
        let body = request.read_body(4096).await.unwrap_or_default();
        let given: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let hash = match (given["key"].as_str(), given["sha256"].as_str()) {
            (Some(key), None) if key.len() >= 8 => sha256_hex(key),
            (None, Some(hash)) => hash.to_owned(),
            _ => {
                let reason = "expected {\"key\": at least 8 characters} or {\"sha256\": hex}";
                return error_response(StatusCode::BAD_REQUEST, "bad_request", reason);
            }
        };
        let patch = json!({"tenants": {tenant: {"keys": {key_name: hash}}}});
        self.submit(&request, Command::Merge { base: None, patch: patch.to_string() }).await
    }

    async fn submit(&self, request: &IncomingRequest, command: Command) -> WebResponse {
        let request_id = match read_request_id(request) {
            Ok(request_id) => request_id,
            Err(response) => return *response,
        };
        let answer = self.executor.submit(request_id, command, CHANGE_TIMEOUT).await;
        outcome_response(request_id, answer)
    }

    fn ready(&self) -> WebResponse {
        let snapshot = latest_snapshot(&self.publisher);
        let tail_is_alive = snapshot.view.tail().is_some_and(|tail| snapshot.alive.contains(&tail));
        if snapshot.view.accepts_writes() && tail_is_alive {
            bytes_response(StatusCode::OK, "text/plain", "ready\n")
        } else {
            bytes_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
        }
    }

    fn listing_age(&self) -> Option<u64> {
        let last_read = self.listing_health.last_read.load(Ordering::Relaxed);
        (last_read > 0).then(|| (boot_now().0 / 1_000_000).saturating_sub(last_read))
    }

    fn metrics(&self) -> WebResponse {
        let snapshot = latest_snapshot(&self.publisher);
        let text = format!(
            "haremount_keeper_view {}\nharemount_keeper_edition {}\nharemount_keeper_tail_active {}\n\
             haremount_keeper_alive {}\nharemount_keeper_sync_micros {}\nharemount_keeper_listing_age_ms {}\n\
             haremount_keeper_disk_refuses {}\n",
            snapshot.view.number,
            snapshot.state.edition,
            u64::from(snapshot.tail_active),
            snapshot.alive.len(),
            snapshot.last_sync_micros,
            self.listing_age().map_or(-1, |age| age as i64),
            u64::from(snapshot.disk_refuses),
        );
        bytes_response(StatusCode::OK, "text/plain; version=0.0.4", text)
    }

    async fn show_fleet(&self, state: &FleetState) -> WebResponse {
        let snapshot = latest_snapshot(&self.publisher);
        let nodes = match self.executor.query(CoreQuery::Nodes, READ_TIMEOUT).await {
            QueryOutcome::Nodes(nodes) => nodes,
            _ => return core_unavailable(),
        };
        let members: Vec<Value> = snapshot
            .view
            .members
            .iter()
            .map(|member| {
                json!({"id": member.id.to_string(), "address": member.address, "door": member.door,
                       "zone": member.zone.as_str(), "alive": snapshot.alive.contains(&member.id)})
            })
            .collect();
        let ids = |nodes: &[NodeId]| nodes.iter().map(NodeId::to_string).collect::<Vec<_>>();
        let engines: Vec<Value> = state
            .listing
            .engines
            .iter()
            .map(|(name, engine)| {
                let status = state.engine_statuses.get(name).cloned().unwrap_or_default();
                json!({"name": name.as_str(), "address": engine.address, "zone": engine.zone.as_str(),
                       "model": engine.model.as_str(), "listed": format!("{:?}", engine.listed).to_lowercase(),
                       "closed": status.closed, "weights": status.confirmed.map(|(weights, _)| weights.0)})
            })
            .collect();
        let duties: Value = state
            .duties
            .iter()
            .map(|(kind, duty)| {
                let body = json!({"holder": duty.holder.to_string(), "term": duty.term.0});
                (format!("{kind:?}").to_lowercase(), body)
            })
            .collect::<serde_json::Map<String, Value>>()
            .into();
        let nodes: Vec<Value> = nodes
            .iter()
            .map(|node| {
                json!({"id": node.node.to_string(), "applied": node.applied.0,
                       "lease_left_ms": node.lease_left.as_millis()})
            })
            .collect();
        let answer = json!({
            "fleet": snapshot.view.fleet.to_string(), "answered_by": self.me.id.to_string(), "edition": state.edition.0,
            "view": {"number": snapshot.view.number.0, "chain": ids(&snapshot.view.chain), "voters": ids(&snapshot.view.voters)},
            "members": members, "nodes": nodes, "engines": engines, "duties": duties,
            "listing": {"number": state.listing.number.0, "read_ms_ago": self.listing_age(),
                        "reachable": self.listing_age().is_some_and(|age| age < REACHABLE_LISTING_AGE_MS)},
        });
        json_response(StatusCode::OK, &answer)
    }
}

/// Reads a body as JSON; an error is the response to be sent.
async fn read_json_body(request: &mut IncomingRequest) -> Result<JsonValue, Box<WebResponse>> {
    let refuse = |error: ValidationError| Box::new(validation_response(&[error]));
    let body = request.read_body(1 << 20).await.map_err(|fault| Box::new(body_fault_response(fault)))?;
    let text = std::str::from_utf8(&body).map_err(|_| refuse(ValidationError::at("", "not UTF-8")))?;
    parse_bounded(text, DOCUMENT_BOUNDS).map_err(refuse)
}

fn find_plan<'a>(state: &'a FleetState, number_text: &str) -> Option<(Edition, &'a Plan)> {
    let number = Edition(number_text.parse().ok()?);
    state.plans.get(&number).map(|plan| (number, plan))
}

fn show_plan(number: Edition, plan: &Plan) -> Value {
    let steps: Vec<Value> = plan
        .steps
        .iter()
        .enumerate()
        .map(|(index, step)| json!({"step": index + 1, "what": step.description(), "done": index < plan.done}))
        .collect();
    let (status, reason) = match &plan.status {
        PlanStatus::Stated => ("stated", None),
        PlanStatus::Confirmed => ("confirmed", None),
        PlanStatus::Done => ("done", None),
        PlanStatus::Halted(reason) => ("halted", Some(reason.as_str())),
        PlanStatus::Expired => ("expired", None),
    };
    json!({"plan": number.0, "base": plan.base.0, "status": status, "reason": reason, "steps": steps,
           "expires": "five minutes after it was stated, unless confirmed"})
}

/// The rows of the table that a policy compiles to.
fn show_table(state: &FleetState, policy: &Policy) -> Value {
    let tenants: Vec<TenantName> = state.desired.tenants.keys().cloned().collect();
    let table = policy.compile(&tenants, &state.desired.kinds);
    let mut rows = Vec::new();
    for tenant in &tenants {
        for kind in &state.desired.kinds {
            let weights = LoadBand::ALL.map(|band| table.weight(tenant, kind, band));
            rows.push(json!({"tenant": tenant.as_str(), "kind": kind, "calm": weights[0], "steady": weights[1], "busy": weights[2]}));
        }
    }
    json!({"weight": policy.weight, "rules": policy.rules.len(), "table": rows})
}

/// Validates a policy as part of the present document and shows its table, without a change.
async fn check_policy(state: &FleetState, mut request: IncomingRequest) -> WebResponse {
    let document = match read_json_body(&mut request).await {
        Ok(document) => document,
        Err(response) => return *response,
    };
    let policies = JsonValue::Object([("checked".to_owned(), document)].into());
    let patch = JsonValue::Object([("policies".to_owned(), policies)].into());
    let mut whole = parse_bounded(&state.desired_text, DOCUMENT_BOUNDS).unwrap_or(JsonValue::Object([].into()));
    merge(&mut whole, &patch);
    match read_document(&whole) {
        Ok(desired) => match desired.policies.get("checked") {
            Some(policy) => json_response(StatusCode::OK, &show_table(state, policy)),
            None => error_response(StatusCode::BAD_REQUEST, "bad_request", "no policy"),
        },
        Err(errors) => validation_response(&errors),
    }
}

fn core_unavailable() -> WebResponse {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_core",
        "the core does not answer; a majority may be unavailable",
    )
    .with_header("retry-after", "2")
}

fn desired_state_response(state: &FleetState) -> WebResponse {
    let text = if state.desired_text.is_empty() { "{}" } else { &state.desired_text };
    bytes_response(StatusCode::OK, "application/json", text.to_owned())
        .with_header("etag", &format!("\"{}\"", state.desired_edition))
}

fn read_if_match(request: &IncomingRequest) -> Result<Edition, Box<WebResponse>> {
    let Some(tag) = request.header("if-match") else {
        let reason = "If-Match with the edition that this change is based on is required";
        return Err(Box::new(error_response(StatusCode::PRECONDITION_REQUIRED, "no_base", reason)));
    };
    tag.trim().trim_matches('"').parse().map(Edition).map_err(|_| {
        let reason = "If-Match carries an edition number in quotes";
        Box::new(error_response(StatusCode::BAD_REQUEST, "bad_request", reason))
    })
}

/// The request id under which an operator submits a change and may submit it again.
fn read_request_id(request: &IncomingRequest) -> Result<RequestId, Box<WebResponse>> {
    let Some(text) = request.header("x-request-id") else { return Ok(RequestId::random()) };
    text.parse().map_err(|_| {
        Box::new(error_response(StatusCode::BAD_REQUEST, "bad_request", "x-request-id has 16 hex digits"))
    })
}

fn validation_response(errors: &[ValidationError]) -> WebResponse {
    let listed: Vec<Value> = errors.iter().map(|error| json!({"path": error.path, "reason": error.reason})).collect();
    let answer = json!({"error": {"type": "refused", "message": "the change was refused", "complaints": listed}});
    json_response(StatusCode::UNPROCESSABLE_ENTITY, &answer)
}

fn outcome_response(request_id: RequestId, outcome: QueryOutcome) -> WebResponse {
    let response = match outcome {
        QueryOutcome::Settled(CommandOutcome::Applied(edition)) => {
            json_response(StatusCode::OK, &json!({"edition": edition.0, "request": request_id.to_string()}))
                .with_header("etag", &format!("\"{edition}\""))
        }
        QueryOutcome::Settled(CommandOutcome::Stale { now }) => {
            let body = json!({"error": {"type": "stale", "message": "the desired state has moved"}, "now": now.0});
            json_response(StatusCode::PRECONDITION_FAILED, &body).with_header("etag", &format!("\"{now}\""))
        }
        QueryOutcome::Settled(CommandOutcome::Refused(errors)) => validation_response(&errors),
        _ => {
            let reason = "not known to be in force; ask again under this request id";
            let body = json!({"error": {"type": "unknown", "message": reason}, "request": request_id.to_string()});
            json_response(StatusCode::GATEWAY_TIMEOUT, &body)
        }
    };
    response.with_header("x-request-id", &request_id.to_string())
}
