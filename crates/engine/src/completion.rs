//! Completions and prefills: a request is admitted, its blocks are fetched or prefilled, and its tokens are decoded
//! in the time that the cost model gives.

use crate::prelude::*;

const STREAM_BUFFER_PIECES: usize = 16;
const MAX_COMPLETION_BODY: usize = MAX_REQUEST_BYTES * 2;
/// The attempt id in answers while the `wrong_attempt` fault is injected.
const WRONG_ATTEMPT: &str = "00000000";

/// A completion to run, and the attempt and adapter that its answer reports.
struct CompletionWork {
    request: EngineRequest,
    hashes: Vec<BlockHash>,
    /// How many of the prompt's blocks were cached on arrival.
    cached_blocks: u64,
    /// The attempt id that the answer reports.
    reported_attempt: String,
    /// The adapter that the answer reports; empty for the base model.
    reported_adapter: String,
    faults: InjectedFaults,
}

impl CompletionWork {
    /// The text of the piece for one token.
    fn piece_text(&self, index: u64) -> String {
        stand_in_piece_with_adapter(&self.reported_adapter, &self.request.prompt, &self.reported_attempt, index)
    }

    fn usage(&self, fetched_blocks: u64) -> Usage {
        Usage {
            prompt_tokens: self.request.prompt.len().div_ceil(TOKEN_BYTES) as u64,
            completion_tokens: self.request.max_tokens,
            cached_tokens: (self.cached_blocks + fetched_blocks) * BLOCK_TOKENS as u64,
            fetched_tokens: fetched_blocks * BLOCK_TOKENS as u64,
        }
    }
}

impl EngineServer {
    /// Completes a prompt, answered in one response or as a stream of pieces.
    pub(crate) async fn complete(self: Arc<Self>, mut request: IncomingRequest) -> WebResponse {
        let attempt = request.header(ATTEMPT_HEADER).unwrap_or("").to_owned();
        let time_limit = time_limit_of(&request);
        let requested_weights = requested_weights_of(&request);
        let Ok(adapter) = requested_adapter_of(&request) else { return bad_adapter_response() };
        let Ok(body) = request.read_body(MAX_COMPLETION_BODY).await else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "the body could not be read");
        };
        let Ok(completion_request) = serde_json::from_slice::<EngineRequest>(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "the body is not a completion request");
        };
        self.log_received(&completion_request, &attempt);
        let faults = locked(&self.faults).clone();
        if faults.refuse {
            return error_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "engine_fault",
                "injected fault: every request is refused",
            );
        }
        let hashes = hash_blocks(&Salt(completion_request.cache_salt.clone()), completion_request.prompt.as_bytes());
        let weights = match self.admit(requested_weights, adapter.as_ref()) {
            Ok(weights) => weights,
            Err(refusal) => return *refusal,
        };
        let cached_blocks = locked(&self.cache).cached_prefix_len(&hashes) as u64;
        let requested_adapter = adapter_text(adapter.as_ref());
        self.log_line(&EngineLogLine::Start(StartLine {
            at: now_millis(),
            engine: self.name.clone(),
            attempt: attempt.clone(),
            salt: completion_request.cache_salt.clone(),
            weights,
            adapter: requested_adapter.clone(),
            prompt_blocks: blocks_needed(completion_request.prompt.len()).0,
            cached_blocks,
        }));
        let reported_adapter = faults.wrong_adapter.clone().unwrap_or(requested_adapter);
        let reported_attempt = if faults.wrong_attempt { WRONG_ATTEMPT.to_owned() } else { attempt.clone() };
        let work = CompletionWork {
            request: completion_request,
            hashes,
            cached_blocks,
            reported_attempt,
            reported_adapter,
            faults,
        };
        let admitted = AdmittedAttempt { id: attempt, adapter, time_limit };
        match work.request.stream {
            true => self.stream_response(work, admitted),
            false => self.respond(work, admitted).await,
        }
    }

    fn stream_response(self: Arc<Self>, work: CompletionWork, admitted: AdmittedAttempt) -> WebResponse {
        let (pieces, response) = streaming_response(StatusCode::OK, "text/event-stream", STREAM_BUFFER_PIECES);
        let response =
            with_adapter_header(response.with_header(ATTEMPT_HEADER, &work.reported_attempt), &work.reported_adapter);
        tokio::spawn(async move {
            let (running, deadline) = self.begin(admitted);
            tokio::select! {
                _ = self.run(&work, &running, Some(&pieces)) => {}
                () = pieces.gone() => {}
                () = deadline_passed(deadline) => {}
            }
            if running.complete.load(Ordering::SeqCst) {
                pieces.finish();
            }
        });
        response
    }

    async fn respond(&self, work: CompletionWork, admitted: AdmittedAttempt) -> WebResponse {
        let (running, deadline) = self.begin(admitted);
        let fetched_blocks = tokio::select! {
            fetched_blocks = self.run(&work, &running, None) => fetched_blocks,
            () = deadline_passed(deadline) => {
                return error_response(StatusCode::GATEWAY_TIMEOUT, "limit_passed", "the attempt's time limit passed");
            }
        };
        let text: String = (0..work.request.max_tokens).map(|index| work.piece_text(index)).collect();
        drop(running);
        let completion = self.completion(&work, text, Some(work.usage(fetched_blocks)));
        let response =
            json_response(StatusCode::OK, &json!(completion)).with_header(ATTEMPT_HEADER, &work.reported_attempt);
        with_adapter_header(response, &work.reported_adapter)
    }

    /// A piece of a stream, or a complete answer. The last piece and a complete answer carry the usage and the finish
    /// reason.
    fn completion(&self, work: &CompletionWork, text: String, usage: Option<Usage>) -> Completion {
        let finish_reason = usage.is_some().then(|| "length".into());
        Completion {
            id: work.reported_attempt.clone(),
            object: "text_completion".into(),
            model: self.model.clone(),
            choices: vec![Choice { index: 0, text, finish_reason }],
            adapter: optional_adapter(&work.reported_adapter),
            usage,
        }
    }

    /// Fetches, prefills and decodes. Returns how many blocks were fetched.
    async fn run(&self, work: &CompletionWork, running: &RunningAttempt<'_>, pieces: Option<&BodySender>) -> u64 {
        let prompt_blocks = blocks_needed(work.request.prompt.len()).0;
        let _active_blocks = self.cost.begin(prompt_blocks);
        let fetched_blocks = self.fetch(&work.request.fetch, &work.hashes, work.cached_blocks as usize).await;
        let cached_blocks = work.cached_blocks + fetched_blocks;
        {
            let _waiting = CountGuard::new(&self.waiting);
            self.cost.prefill(prompt_blocks - cached_blocks).await;
        }
        self.cache_prompt(&work.hashes, cached_blocks as usize);
        for index in 0..work.request.max_tokens {
            let decode_override = locked(&self.faults).decode_us.map(Duration::from_micros);
            self.cost.decode_token(decode_override.unwrap_or(self.cost.decode)).await;
            let Some(pieces) = pieces else { continue };
            if work.faults.cut_after == Some(index) {
                return fetched_blocks;
            }
            let is_last = index + 1 == work.request.max_tokens;
            let usage = is_last.then(|| work.usage(fetched_blocks));
            let completion = self.completion(work, work.piece_text(index), usage);
            if !pieces.send(Bytes::from(format!("data: {}\n\n", json!(completion)))).await {
                return fetched_blocks;
            }
            running.pieces.fetch_add(1, Ordering::SeqCst);
        }
        running.complete.store(true, Ordering::SeqCst);
        if let Some(pieces) = pieces {
            pieces.send(Bytes::from(format!("data: {STREAM_END}\n\n"))).await;
        }
        fetched_blocks
    }

    /// Prefills a prompt and caches its blocks, for another engine to fetch and decode.
    pub(crate) async fn prefill_only(&self, mut request: IncomingRequest) -> WebResponse {
        let attempt = request.header(ATTEMPT_HEADER).unwrap_or("").to_owned();
        let time_limit = time_limit_of(&request);
        let requested_weights = requested_weights_of(&request);
        let Ok(adapter) = requested_adapter_of(&request) else { return bad_adapter_response() };
        let body = request.read_body(MAX_COMPLETION_BODY).await.unwrap_or_default();
        let Ok(prefill_request) = serde_json::from_slice::<PrefillRequest>(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "the body is not a prefill request");
        };
        let hashes = hash_blocks(&Salt(prefill_request.cache_salt.clone()), prefill_request.prompt.as_bytes());
        let prompt_blocks = blocks_needed(prefill_request.prompt.len()).0;
        let (weights, _running) = match self.admit(requested_weights, adapter.as_ref()) {
            Ok(weights) => (weights, CountGuard::adopt(&self.running)),
            Err(refusal) => return *refusal,
        };
        let _adapter_guard = AdapterGuard { server: self, adapter: adapter.clone() };
        let cached_count = locked(&self.cache).cached_prefix_len(&hashes);
        self.log_line(&EngineLogLine::Prefill(StartLine {
            at: now_millis(),
            engine: self.name.clone(),
            attempt,
            salt: prefill_request.cache_salt,
            weights,
            adapter: adapter_text(adapter.as_ref()),
            prompt_blocks,
            cached_blocks: cached_count as u64,
        }));
        let _active_blocks = self.cost.begin(prompt_blocks);
        let prefill = self.cost.prefill(prompt_blocks - cached_count as u64);
        if tokio::time::timeout(time_limit, prefill).await.is_err() {
            return error_response(StatusCode::GATEWAY_TIMEOUT, "limit_passed", "the prefill's time limit passed");
        }
        self.cache_prompt(&hashes, cached_count);
        json_response(StatusCode::OK, &json!(FoundBlocks { found: hashes.len() as u64 }))
    }
}

/// The weights edition that a request asks for, if any.
fn requested_weights_of(request: &IncomingRequest) -> Option<u64> {
    request.header(WEIGHTS_HEADER).and_then(|text| text.parse().ok())
}

/// An adapter as `name@revision`; empty for the base model.
fn adapter_text(adapter: Option<&AdapterId>) -> String {
    adapter.map(AdapterId::to_string).unwrap_or_default()
}

/// The adapter that a request asks for, if any; an error if it is not of the form `name@revision`.
fn requested_adapter_of(request: &IncomingRequest) -> Result<Option<AdapterId>, ()> {
    let Some(text) = request.header(ADAPTER_HEADER) else { return Ok(None) };
    AdapterId::parse(text).map(Some).ok_or(())
}

/// The response to an adapter that is not of the form `name@revision`.
pub(crate) fn bad_adapter_response() -> WebResponse {
    error_response(StatusCode::BAD_REQUEST, "bad_request", "an adapter must have the form name@revision")
}

/// The `adapter` field of an answer, which is left out for the base model.
fn optional_adapter(adapter: &str) -> Option<String> {
    (!adapter.is_empty()).then(|| adapter.to_owned())
}

/// Adds the adapter header, unless the request ran on the base model.
fn with_adapter_header(response: WebResponse, adapter: &str) -> WebResponse {
    if adapter.is_empty() { response } else { response.with_header(ADAPTER_HEADER, adapter) }
}
