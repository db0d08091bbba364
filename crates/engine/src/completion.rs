//! Completions and prefills: a request is admitted, its blocks fetched or prefilled, and its tokens decoded
//! at the engine's pace.

use crate::prelude::*;

const PIECE_PLACES: usize = 16;
/// What is told in place of an attempt's name by an engine that is to answer for another.
const WRONG_ATTEMPT: &str = "00000000";

/// What is worked on, and what its answer tells.
struct Work {
    request: EngineRequest,
    names: Vec<BlockHash>,
    /// How many of the prompt's blocks were kept here when it came.
    cached_blocks: u64,
    /// The attempt that the answer names.
    told_attempt: String,
    /// The adapter that the answer names; empty for the bare model.
    told_adapter: String,
    faults: Faults,
}

impl Work {
    /// The text of one token.
    fn piece_text(&self, place: u64) -> String {
        stand_in_piece_with_adapter(&self.told_adapter, &self.request.prompt, &self.told_attempt, place)
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

impl EngineSite {
    /// Completes a prompt, whole or as a stream of pieces.
    pub(crate) async fn complete(self: Arc<Self>, mut asked: IncomingRequest) -> WebResponse {
        let attempt = asked.header(ATTEMPT_HEADER).unwrap_or("").to_owned();
        let limit = limit_of(&asked);
        let asked_weights = weights_of(&asked);
        let Ok(adapter) = adapter_of(&asked) else { return bad_adapter() };
        let Ok(body) = asked.read_body(MAX_REQUEST_BYTES * 2).await else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "body unreadable");
        };
        let Ok(request) = serde_json::from_slice::<EngineRequest>(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "no completion request");
        };
        self.log_received(&request, &attempt);
        let faults = held(&self.faults).clone();
        if faults.refuse {
            return error_response(StatusCode::INTERNAL_SERVER_ERROR, "engine_fault", "told to refuse");
        }
        let names = hash_blocks(&Salt(request.cache_salt.clone()), request.prompt.as_bytes());
        let weights = match self.admit(asked_weights, adapter.as_ref()) {
            Ok(weights) => weights,
            Err(refusal) => return *refusal,
        };
        let cached_blocks = held(&self.memory).cached_prefix_len(&names) as u64;
        let adapter_text = text_of(adapter.as_ref());
        self.log_line(&EngineLogLine::Start(StartLine {
            at: now_millis(),
            engine: self.name.clone(),
            attempt: attempt.clone(),
            salt: request.cache_salt.clone(),
            weights,
            adapter: adapter_text.clone(),
            prompt_blocks: blocks_needed(request.prompt.len()).0,
            cached_blocks,
        }));
        let told_adapter = faults.answers_as.clone().unwrap_or(adapter_text);
        let told_attempt = if faults.wrong_shot { WRONG_ATTEMPT.to_owned() } else { attempt.clone() };
        let work = Work { request, names, cached_blocks, told_attempt, told_adapter, faults };
        let admitted = Admitted { name: attempt, adapter, limit };
        match work.request.stream {
            true => self.stream(work, admitted),
            false => self.answer_whole(work, admitted).await,
        }
    }

    fn stream(self: Arc<Self>, work: Work, admitted: Admitted) -> WebResponse {
        let (pieces, answered) = streaming_response(StatusCode::OK, "text/event-stream", PIECE_PLACES);
        let answered = name_adapter(answered.with_header(ATTEMPT_HEADER, &work.told_attempt), &work.told_adapter);
        tokio::spawn(async move {
            let (running, time_over) = self.begin(admitted);
            tokio::select! {
                _ = self.run(&work, &running, Some(&pieces)) => {}
                () = pieces.gone() => {}
                () = passed(time_over) => {}
            }
            if running.whole.load(Ordering::SeqCst) {
                pieces.finish();
            }
        });
        answered
    }

    async fn answer_whole(&self, work: Work, admitted: Admitted) -> WebResponse {
        let (running, time_over) = self.begin(admitted);
        let fetched_blocks = tokio::select! {
            fetched_blocks = self.run(&work, &running, None) => fetched_blocks,
            () = passed(time_over) => {
                return error_response(StatusCode::GATEWAY_TIMEOUT, "limit_passed", "the shot's limit passed");
            }
        };
        let whole_text: String = (0..work.request.max_tokens).map(|place| work.piece_text(place)).collect();
        drop(running);
        let completion = self.completion(&work, whole_text, Some(work.usage(fetched_blocks)));
        let answered =
            json_response(StatusCode::OK, &json!(completion)).with_header(ATTEMPT_HEADER, &work.told_attempt);
        name_adapter(answered, &work.told_adapter)
    }

    /// A piece, or a whole answer; the last piece and a whole answer tell the usage, and that they end.
    fn completion(&self, work: &Work, text: String, usage: Option<Usage>) -> Completion {
        let finish_reason = usage.is_some().then(|| "length".into());
        Completion {
            id: work.told_attempt.clone(),
            object: "text_completion".into(),
            model: self.model.clone(),
            choices: vec![Choice { index: 0, text, finish_reason }],
            adapter: named(&work.told_adapter),
            usage,
        }
    }

    /// Fetches, prefills and decodes; how many blocks were fetched.
    async fn run(&self, work: &Work, running: &Running<'_>, pieces: Option<&BodySender>) -> u64 {
        let prompt_blocks = blocks_needed(work.request.prompt.len()).0;
        let _in_work = self.pace.begin(prompt_blocks);
        let fetched_blocks = self.fetch(&work.request.fetch, &work.names, work.cached_blocks as usize).await;
        let cached_blocks = work.cached_blocks + fetched_blocks;
        {
            let _waiting = Counted::new(&self.waiting);
            self.pace.prefill(prompt_blocks - cached_blocks).await;
        }
        self.keep(&work.names, cached_blocks as usize);
        for place in 0..work.request.max_tokens {
            let told_decode = held(&self.faults).decode_us.map(Duration::from_micros);
            self.pace.decode_token(told_decode.unwrap_or(self.pace.decode)).await;
            let Some(pieces) = pieces else { continue };
            if work.faults.cut_after == Some(place) {
                return fetched_blocks;
            }
            let is_last = place + 1 == work.request.max_tokens;
            let usage = is_last.then(|| work.usage(fetched_blocks));
            let completion = self.completion(work, work.piece_text(place), usage);
            if !pieces.send(Bytes::from(format!("data: {}\n\n", json!(completion)))).await {
                return fetched_blocks;
            }
            running.pieces.fetch_add(1, Ordering::SeqCst);
        }
        running.whole.store(true, Ordering::SeqCst);
        if let Some(pieces) = pieces {
            pieces.send(Bytes::from(format!("data: {STREAM_END}\n\n"))).await;
        }
        fetched_blocks
    }

    /// Prefills a prompt and keeps its blocks, for another engine to fetch and decode.
    pub(crate) async fn prefill_only(&self, mut asked: IncomingRequest) -> WebResponse {
        let attempt = asked.header(ATTEMPT_HEADER).unwrap_or("").to_owned();
        let limit = limit_of(&asked);
        let asked_weights = weights_of(&asked);
        let Ok(adapter) = adapter_of(&asked) else { return bad_adapter() };
        let body = asked.read_body(MAX_REQUEST_BYTES * 2).await.unwrap_or_default();
        let Ok(request) = serde_json::from_slice::<PrefillRequest>(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "no prefill request");
        };
        let names = hash_blocks(&Salt(request.cache_salt.clone()), request.prompt.as_bytes());
        let prompt_blocks = blocks_needed(request.prompt.len()).0;
        let (weights, _running) = match self.admit(asked_weights, adapter.as_ref()) {
            Ok(weights) => (weights, Counted::already(&self.running)),
            Err(refusal) => return *refusal,
        };
        let _on_adapter = AdapterUse { site: self, adapter: adapter.clone() };
        let known_count = held(&self.memory).cached_prefix_len(&names);
        self.log_line(&EngineLogLine::Prefill(StartLine {
            at: now_millis(),
            engine: self.name.clone(),
            attempt,
            salt: request.cache_salt,
            weights,
            adapter: text_of(adapter.as_ref()),
            prompt_blocks,
            cached_blocks: known_count as u64,
        }));
        let _in_work = self.pace.begin(prompt_blocks);
        let prefilling = self.pace.prefill(prompt_blocks - known_count as u64);
        if tokio::time::timeout(limit, prefilling).await.is_err() {
            return error_response(StatusCode::GATEWAY_TIMEOUT, "limit_passed", "the prefill's limit passed");
        }
        self.keep(&names, known_count);
        json_response(StatusCode::OK, &json!(FoundBlocks { found: names.len() as u64 }))
    }
}

/// The weights a request asks for, if it names them.
fn weights_of(asked: &IncomingRequest) -> Option<u64> {
    asked.header(WEIGHTS_HEADER).and_then(|text| text.parse().ok())
}

/// An adapter's text; empty for the bare model.
fn text_of(adapter: Option<&AdapterId>) -> String {
    adapter.map(AdapterId::to_string).unwrap_or_default()
}

/// The adapter a request names, if it names one.
fn adapter_of(asked: &IncomingRequest) -> Result<Option<AdapterId>, ()> {
    let Some(text) = asked.header(ADAPTER_HEADER) else { return Ok(None) };
    AdapterId::parse(text).map(Some).ok_or(())
}

/// The refusal of a name that no adapter can have.
pub(crate) fn bad_adapter() -> WebResponse {
    error_response(StatusCode::BAD_REQUEST, "bad_request", "an adapter is written name@revision")
}

/// An adapter as an answer names it: not at all for the bare model.
fn named(adapter: &str) -> Option<String> {
    (!adapter.is_empty()).then(|| adapter.to_owned())
}

/// An answer's head names the adapter, if there is one.
fn name_adapter(answered: WebResponse, adapter: &str) -> WebResponse {
    if adapter.is_empty() { answered } else { answered.with_header(ADAPTER_HEADER, adapter) }
}
