//! The checked request: its tenant, prompt and time limit, and the salt under which its blocks may be cached. Each
//! attempt picks its engine from it.

use crate::prelude::*;

/// A checked request.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// The name of the run: router id and run number.
    pub run: String,
    /// The number of the run at this router.
    pub run_number: u64,
    /// The hash of tenant and idempotency key, for a request that may not run more than once.
    pub claim: Option<BlockHash>,
    /// Whether the caller may resume a broken stream.
    pub resumes: bool,
    /// The tenant of the API key.
    pub tenant: TenantName,
    /// The hash of the API key.
    pub key_hash: String,
    /// The kind of request, as the desired state lists it; empty if none is given.
    pub kind: String,
    /// The requested model.
    pub model: ModelName,
    /// The text of the prompt.
    pub prompt_text: Arc<String>,
    /// The most tokens to generate.
    pub max_tokens: u64,
    /// Whether the answer is streamed piece by piece.
    pub streams: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// When the request was accepted.
    pub began: Instant,
    /// When the request's time limit passes.
    pub limit: Instant,
    /// The tenant's share of the concurrency.
    pub share: u64,
    /// The API format of the request and its answer.
    pub format: ApiFormat,
}

/// The API format of a request and of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiFormat {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// The error response to a request that is refused before any attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// The type of error.
    pub kind: &'static str,
    /// The message for the caller.
    pub reason: String,
    /// The `retry-after` header, in seconds.
    pub retry_after: Option<u64>,
}

impl Refusal {
    /// A refusal without `retry-after`.
    pub fn new(status: StatusCode, kind: &'static str, reason: impl Into<String>) -> Refusal {
        Refusal { status, kind, reason: reason.into(), retry_after: None }
    }

    /// Adds a `retry-after` header.
    pub fn retry_after(mut self, seconds: u64) -> Refusal {
        self.retry_after = Some(seconds);
        self
    }

    /// The response; it states that the request has not run and will not run.
    pub fn into_outcome(self) -> WebResponse {
        let response = error_response(self.status, self.kind, &self.reason).with_header(OUTCOME_HEADER, "not_run");
        match self.retry_after {
            Some(seconds) => response.with_header("retry-after", &seconds.to_string()),
            None => response,
        }
    }
}

/// The longest time limit that a request may set, in milliseconds.
const MAX_LIMIT_MS: u64 = 10_000;
/// The largest `max_tokens` that a request may set.
const MAX_OUTPUT_TOKENS: u64 = 4096;
/// The `max_tokens` of a request that sets none.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;

impl RequestPlan {
    /// Checks a request against the fleet snapshot.
    pub fn make(
        request: CallerRequest,
        format: ApiFormat,
        headers: &HeaderFields,
        snapshot: &FleetSnapshot,
        run: (String, u64),
        now: Instant,
    ) -> Result<RequestPlan, Refusal> {
        let bad = |reason: String| Refusal::new(StatusCode::BAD_REQUEST, "bad_request", reason);
        let Some(key_hash) = headers.key_hash.clone() else {
            return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown_key", "a key is needed"));
        };
        let Some(tenant) = snapshot.tenants_by_key.get(&key_hash).cloned() else {
            return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown_key", "the key is not known"));
        };
        let model = ModelName(request.model.clone());
        if !snapshot.state.desired.models.contains_key(&model) {
            return Err(Refusal::new(StatusCode::NOT_FOUND, "unknown_model", "the model is not known"));
        }
        let max_tokens = request.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        if !(1..=MAX_OUTPUT_TOKENS).contains(&max_tokens) {
            return Err(bad(format!("max_tokens: must be 1 to {MAX_OUTPUT_TOKENS}")));
        }
        if request.n.is_some_and(|count| count != 1) {
            return Err(bad("n: must be 1".into()));
        }
        let limit_ms =
            headers.limit_ms.or(request.limit_ms).unwrap_or(snapshot.state.desired.routing.limit.as_millis());
        if !(1..=MAX_LIMIT_MS).contains(&limit_ms) {
            return Err(bad(format!("limit_ms: must be 1 to {MAX_LIMIT_MS}")));
        }
        let prompt_text = request.prompt_text().map_err(bad)?;
        if prompt_text.is_empty() {
            return Err(bad("prompt is empty".into()));
        }
        let kind = headers.kind.clone().or(request.kind).unwrap_or_default();
        if !kind.is_empty() && !snapshot.state.desired.kinds.contains(&kind) {
            return Err(bad("kind: not listed in the desired state".into()));
        }
        let repeatable = headers.repeatable.unwrap_or(request.repeatable);
        let claim = headers
            .idempotency_key
            .as_ref()
            .filter(|_| !repeatable)
            .map(|key| BlockHash::of_parts(&[b"claim", tenant.as_str().as_bytes(), key.as_bytes()]));
        let share = snapshot.state.desired.tenants.get(&tenant).map_or(0, |spec| spec.share);
        Ok(RequestPlan {
            run: run.0,
            run_number: run.1,
            claim,
            resumes: headers.resumes,
            tenant,
            key_hash,
            kind,
            model,
            prompt_text: Arc::new(prompt_text),
            max_tokens,
            streams: request.stream,
            repeatable,
            began: now,
            limit: now + Span::millis(limit_ms),
            share,
            format,
        })
    }

    /// The adapter it runs on; `None` for the base model.
    pub fn adapter(&self, snapshot: &FleetSnapshot) -> Option<AdapterId> {
        snapshot.state.adapter_for(&self.tenant, &self.model)
    }

    /// The salt of the prompt's block hashes, for an edition of the weights and the adapter.
    pub fn salt(&self, snapshot: &FleetSnapshot, weights: WeightsEdition) -> Salt {
        let wall = snapshot.state.wall_of(&self.tenant);
        Salt::for_model(&self.model, weights, wall.id, wall.edition).with_adapter(self.adapter(snapshot).as_ref())
    }

    /// The prompt as the picker gets it, with its block hashes for each weights edition in use.
    pub fn prompt(&self, snapshot: &FleetSnapshot, tried: &[EngineName], now: Instant) -> Prompt {
        let names = snapshot
            .editions_in_use(&self.model, now)
            .into_iter()
            .map(|weights| (weights, hash_blocks(&self.salt(snapshot, weights), self.prompt_text.as_bytes())))
            .collect();
        Prompt {
            tenant: self.tenant.clone(),
            kind: self.kind.clone(),
            model: self.model.clone(),
            adapter: self.adapter(snapshot),
            names,
            blocks: blocks_needed(self.prompt_text.len()),
            output_blocks: BlockCount(self.max_tokens.div_ceil(BLOCK_TOKENS as u64)),
            trial_bucket: BlockHash::of_parts(&[b"lot", self.run.as_bytes()]).0 % 100,
            tried: tried.to_vec(),
        }
    }
}

/// The parsed headers of a request.
#[derive(Clone, Debug, Default)]
pub struct HeaderFields {
    pub key_hash: Option<String>,
    pub kind: Option<String>,
    pub limit_ms: Option<u64>,
    pub repeatable: Option<bool>,
    pub idempotency_key: Option<String>,
    pub resumes: bool,
}

impl HeaderFields {
    /// Parses the headers.
    pub fn read(request: &IncomingRequest) -> Result<HeaderFields, Refusal> {
        let bad = |reason: &str| Refusal::new(StatusCode::BAD_REQUEST, "bad_request", reason);
        let limit_ms = match request.header("x-haremount-limit-ms") {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| bad("x-haremount-limit-ms: not a whole number"))?),
        };
        let repeatable = match request.header("x-haremount-repeatable") {
            None => None,
            Some("true") => Some(true),
            Some("false") => Some(false),
            Some(_) => return Err(bad("x-haremount-repeatable: must be true or false")),
        };
        let idempotency_key = request.header("idempotency-key").map(str::to_owned);
        if idempotency_key.as_ref().is_some_and(|key| key.is_empty() || key.len() > 256) {
            return Err(bad("idempotency-key: must have 1 to 256 characters"));
        }
        Ok(HeaderFields {
            idempotency_key,
            resumes: request.header("x-haremount-resume") == Some("true"),
            key_hash: request.bearer_token().map(sha256_hex),
            kind: request.header("x-haremount-kind").map(str::to_owned),
            limit_ms,
            repeatable,
        })
    }
}
