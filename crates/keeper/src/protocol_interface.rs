//! The HTTP interface for operators with a protocol of their own: whole and partial configurations with revisions,
//! weights by model name, and reads of the configuration. A change is answered once it is in force; one whose
//! outcome is unknown is to be sent again and is recognized by its fingerprint.

use crate::prelude::*;

/// Longer than callers wait, so that the change is still in progress when the call is repeated.
const CHANGE_TIMEOUT: Span = Span::millis(4000);
const READ_TIMEOUT: Span = Span::millis(900);
const BODY_BOUNDS: TextBounds = TextBounds { bytes: 8 << 20, depth: 32 };
const MAX_LISTED_ERRORS: usize = 100;
const RETRY_AFTER: &str = "0.3";
/// How often a patch is tried if its base revision comes into force only after the configuration was read.
const MAX_PATCH_ATTEMPTS: usize = 3;

/// Serves operators through their own protocol.
pub struct ProtocolInterface {
    pub executor: ExecutorClient,
    pub protocol: Arc<dyn OperatorProtocol>,
    /// Bounds the memory that documents take.
    pub admission: DocumentAdmission,
}

impl RequestHandler for ProtocolInterface {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(self.route(request))
    }
}

impl ProtocolInterface {
    async fn route(self: Arc<Self>, mut request: IncomingRequest) -> WebResponse {
        let (_, segments) = request.method_and_path();
        let Some(call) = self.protocol.call(&request.method, &segments) else { return not_found_response() };
        if call == OperatorCall::Read {
            return self.read_back().await;
        }
        let body = match request.read_body(BODY_BOUNDS.bytes).await {
            Ok(body) => body,
            Err(fault) => return body_fault_response(fault),
        };
        let Some(_permit) = self.admission.admit(body.len()).await else { return outcome_unknown() };
        let read = std::str::from_utf8(&body).map_err(|_| ValidationError::at("", "not UTF-8"));
        let document = match read.and_then(|text| parse_bounded(text, BODY_BOUNDS)) {
            Ok(document) => document,
            Err(error) => return validation_response(&[error]),
        };
        drop(body);
        match call {
            OperatorCall::RaiseWeights => self.raise_weights(&document).await,
            OperatorCall::Replace | OperatorCall::Patch => self.change(call, &request.headers, document).await,
            OperatorCall::Read => not_found_response(),
        }
    }

    async fn read_back(&self) -> WebResponse {
        let Some(permit) = self.admission.admit_read().await else { return outcome_unknown() };
        let configuration = self.configuration().await;
        drop(permit);
        match configuration {
            Some((_, source)) if source.is_empty() => {
                error_response(StatusCode::NOT_FOUND, "not_found", "no configuration was taken yet")
            }
            Some((revision, source)) => bytes_response(StatusCode::OK, "application/json", source)
                .with_header("etag", &format!("\"{revision}\"")),
            None => outcome_unknown(),
        }
    }

    async fn configuration(&self) -> Option<(Revision, String)> {
        match self.executor.query(CoreQuery::Configuration, READ_TIMEOUT).await {
            QueryOutcome::Configuration { revision, source } => Some((revision, source)),
            _ => None,
        }
    }

    async fn change(&self, call: OperatorCall, headers: &HeaderMap, document: JsonValue) -> WebResponse {
        let base = match self.protocol.base_revision(headers) {
            Ok(base) => base,
            Err(reason) => return error_response(StatusCode::BAD_REQUEST, "no_base", &reason),
        };
        let fingerprint = fingerprint_of(call, base, &write_sorted(&document));
        if call == OperatorCall::Patch {
            return self.patch(base, fingerprint, &document).await;
        }
        let read = self.protocol.parse_configuration(&document);
        // The document takes much memory, and the change may wait for seconds.
        drop(document);
        self.configure(base, fingerprint, read).await
    }

    async fn configure(
        &self,
        base: Revision,
        fingerprint: BlockHash,
        read: Result<ParsedConfiguration, Vec<ValidationError>>,
    ) -> WebResponse {
        let ParsedConfiguration { revision, document, source } = match read {
            Ok(read) => read,
            Err(errors) => return validation_response(&errors),
        };
        let change = ConfigurationChange { base, revision, fingerprint, document, source };
        let started = boot_now();
        let outcome = self.settle(Command::Configure(Box::new(change))).await;
        let millis = boot_now().since(started).as_millis();
        event!(
            info,
            "configuration",
            base = base,
            revision = revision,
            outcome = outcome_name(&outcome),
            millis = millis
        );
        outcome_response(outcome)
    }

    /// Applies a change of named items to its base revision, if that is in force. Otherwise queries the chain whether
    /// this change was applied before. If it was not, the change is stale, unless its base has come into force
    /// meanwhile; then it is tried again.
    async fn patch(&self, base: Revision, fingerprint: BlockHash, body: &JsonValue) -> WebResponse {
        for _ in 0..MAX_PATCH_ATTEMPTS {
            let Some((current_revision, source)) = self.configuration().await else { return outcome_unknown() };
            if current_revision == base {
                return self.configure(base, fingerprint, self.protocol.apply_patch(&source, body)).await;
            }
            let outcome = self.settle(Command::QueryChange { base, fingerprint }).await;
            let base_now_current =
                matches!(outcome, QueryOutcome::Settled(CommandOutcome::Stale { now }) if now.0 == base.0);
            if !base_now_current {
                return outcome_response(outcome);
            }
        }
        outcome_unknown()
    }

    async fn raise_weights(&self, body: &JsonValue) -> WebResponse {
        let (model, weights) = match self.protocol.parse_weights(body) {
            Ok(named) => named,
            Err(errors) => return validation_response(&errors),
        };
        match self.settle(Command::RaiseWeights { model, weights }).await {
            // Newer weights were set in the meantime.
            QueryOutcome::Settled(CommandOutcome::Refused(_)) => json_response(StatusCode::OK, &json!({})),
            outcome => outcome_response(outcome),
        }
    }

    async fn settle(&self, command: Command) -> QueryOutcome {
        self.executor.submit(RequestId::random(), command, CHANGE_TIMEOUT).await
    }
}

/// The name of a change's outcome in the log.
fn outcome_name(outcome: &QueryOutcome) -> &'static str {
    match outcome {
        QueryOutcome::Settled(CommandOutcome::Applied(_)) => "acknowledged",
        QueryOutcome::Settled(CommandOutcome::Stale { .. }) => "stale",
        QueryOutcome::Settled(CommandOutcome::Refused(_)) => "refused",
        _ => "unknown",
    }
}

fn outcome_response(outcome: QueryOutcome) -> WebResponse {
    match outcome {
        QueryOutcome::Settled(CommandOutcome::Applied(edition)) => {
            json_response(StatusCode::OK, &json!({"edition": edition.0}))
        }
        QueryOutcome::Settled(CommandOutcome::Stale { now }) => {
            let reason = format!("another revision is in force: {now}");
            error_response(StatusCode::PRECONDITION_FAILED, "stale", &reason)
        }
        QueryOutcome::Settled(CommandOutcome::Refused(errors)) => validation_response(&errors),
        _ => outcome_unknown(),
    }
}

/// Identifies a change by its kind, base and canonical text, so that repeated calls have equal fingerprints.
fn fingerprint_of(call: OperatorCall, base: Revision, canonical: &str) -> BlockHash {
    let kind: &[u8] = if call == OperatorCall::Patch { b"patch" } else { b"replace" };
    BlockHash::of_parts(&[kind, &base.0.to_le_bytes(), canonical.as_bytes()])
}

fn outcome_unknown() -> WebResponse {
    error_response(StatusCode::SERVICE_UNAVAILABLE, "unknown", "not known to be in force; send it again")
        .with_header("retry-after", RETRY_AFTER)
}

fn validation_response(errors: &[ValidationError]) -> WebResponse {
    let listed: Vec<Value> = errors
        .iter()
        .take(MAX_LISTED_ERRORS)
        .map(|error| json!({"path": error.path, "reason": error.reason}))
        .collect();
    let answer = json!({"error": {"type": "refused", "message": "the change was refused", "complaints": listed}});
    json_response(StatusCode::BAD_REQUEST, &answer)
}
