//! A load run: requests at random intervals, spread at random over the routers as the platform would spread them,
//! with each answer checked piece by piece.

use crate::prelude::*;

/// How long beyond its time limit a request may take before it counts as unanswered.
const ANSWER_GRACE: Span = Span::millis(3000);
const CONNECT_TIMEOUT: Span = Span::millis(1000);
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A run of one workload against a fleet.
pub struct LoadRun {
    pub routers: Vec<String>,
    pub workload: &'static Workload,
    pub model: String,
    pub tenants: Vec<String>,
    /// The key of each tenant.
    pub keys: Vec<String>,
    pub time_limit: Span,
    /// The file for the result lines.
    pub out: Mutex<std::fs::File>,
}

impl LoadRun {
    /// Sends `rate` requests per second on average for a number of seconds, and returns their number when the last
    /// answer has arrived.
    pub async fn run(self: Arc<Self>, seconds: u64, rate: u64, seed: u64) -> u64 {
        let mut rng = SeededRng::new(seed);
        let started = boot_now();
        let mut due = started;
        let mut tasks = tokio::task::JoinSet::new();
        let mut request_count = 0;
        while due.since(started) < Span::seconds(seconds) {
            let delay = due.since(boot_now());
            if delay > Span(0) {
                tokio::time::sleep(delay.as_duration()).await;
            }
            let request = self.workload.draw_request(&mut rng);
            let router = self.routers[rng.below(self.routers.len() as u64) as usize].clone();
            let load_run = Arc::clone(&self);
            tasks.spawn(async move { load_run.send(request, router).await });
            request_count += 1;
            due = due + Span(rng.below(2_000_000_000 / rate.max(1)));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        request_count
    }

    /// Sends one request, checks the answer and writes the result line.
    async fn send(&self, request: GeneratedRequest, router: String) {
        let kind = request.kind;
        let mut line = CallerLine {
            at: boot_millis(),
            router: router.clone(),
            tenant: self.tenants[request.tenant_index].clone(),
            key: self.keys[request.tenant_index].clone(),
            kind: kind.name.to_owned(),
            repeatable: kind.repeatable,
            streams: kind.streams,
            prompt_blocks: request.prompt.len().div_ceil(BLOCK_BYTES) as u64,
            ..CallerLine::default()
        };
        let exchange = self.exchange(&request, &router, &mut line);
        let timeout = (self.time_limit + ANSWER_GRACE).as_duration();
        if tokio::time::timeout(timeout, exchange).await.is_err() {
            line.outcome = "no_answer".into();
        }
        line.ended = boot_millis();
        if let Ok(mut out) = self.out.lock() {
            let _ = out.write_all(format!("{}\n", json!(line)).as_bytes());
        }
    }

    /// Sends one request to a router, reads the answer and records the outcome in the result line.
    async fn exchange(&self, request: &GeneratedRequest, router: &str, line: &mut CallerLine) {
        let kind = request.kind;
        let body = json!({
            "model": self.model, "prompt": request.prompt, "max_tokens": kind.tokens, "stream": kind.streams,
            "kind": kind.name, "repeatable": kind.repeatable, "limit_ms": self.time_limit.as_millis(),
        });
        let outgoing = OutgoingRequest::with_json(Method::POST, "/v1/completions", &body)
            .header("authorization", format!("Bearer {}", line.key));
        let response = async {
            let stream = open_stream(router, CONNECT_TIMEOUT).await?;
            stream.send(outgoing).await.map_err(|fault| fault.reason)
        };
        let mut response = match response.await {
            Ok(response) => response,
            Err(_) => {
                line.outcome = "no_answer".into();
                return;
            }
        };
        line.status = response.status.as_u16();
        line.run = response.header(RUN_HEADER).unwrap_or("").to_owned();
        if line.status != 200 {
            line.outcome = response.header(OUTCOME_HEADER).unwrap_or("refused").to_owned();
            return;
        }
        let outcome = if kind.streams {
            read_stream(&mut response, request, line).await
        } else {
            read_answer(&mut response, request, line).await
        };
        match outcome {
            Ok(()) => line.outcome = "whole".into(),
            Err(AnswerFault::Cut) => line.outcome = "cut".into(),
            Err(AnswerFault::Wrong(reason)) => {
                line.outcome = "wrong".into();
                line.wrong = reason;
            }
        }
    }
}

/// Why an answer is not accepted.
enum AnswerFault {
    /// It ended early, with an error or a lost connection.
    Cut,
    /// It violates the protocol or has the wrong content; the reason.
    Wrong(String),
}

/// Milliseconds since the machine booted.
fn boot_millis() -> u64 {
    boot_now().0 / 1_000_000
}

/// Reads an answer that is not streamed, and checks that it names an attempt of this run and has the text that the
/// stand-in engine generates for that attempt.
async fn read_answer(
    response: &mut IncomingResponse,
    request: &GeneratedRequest,
    line: &mut CallerLine,
) -> Result<(), AnswerFault> {
    let body =
        read_whole(&mut response.body, MAX_ANSWER_BYTES, BODY_READ_TIMEOUT).await.map_err(|_| AnswerFault::Cut)?;
    let answer: Value =
        serde_json::from_slice(&body).map_err(|_| AnswerFault::Wrong("the answer is not JSON".into()))?;
    line.first_ms = Some(boot_millis() - line.at);
    let attempt = answer["shot"].as_str().unwrap_or("").to_owned();
    check_attempt(&attempt, &line.run)?;
    let expected: String =
        (0..request.kind.tokens).map(|index| stand_in_piece(&request.prompt, &attempt, index)).collect();
    if answer["choices"][0]["text"].as_str() != Some(expected.as_str()) {
        return Err(AnswerFault::Wrong("the answer's text is not what the engine generates".into()));
    }
    line.pieces = 1;
    (line.attempt, line.last_at) = (attempt, boot_millis());
    line.cached_blocks = answer["usage"]["cached_tokens"].as_u64().unwrap_or(0) / TOKENS_PER_BLOCK;
    Ok(())
}

/// Checks that an attempt belongs to a run.
fn check_attempt(attempt: &str, run: &str) -> Result<(), AnswerFault> {
    if attempt.starts_with(&format!("{run}.")) {
        return Ok(());
    }
    Err(AnswerFault::Wrong(format!("attempt {attempt} does not belong to run {run}")))
}

/// Reads a stream and checks that its pieces are in order, that none is lost or repeated, that all belong to one
/// attempt, and that it is complete at the end marker.
async fn read_stream(
    response: &mut IncomingResponse,
    request: &GeneratedRequest,
    line: &mut CallerLine,
) -> Result<(), AnswerFault> {
    let mut pending = Vec::new();
    let mut attempt = String::new();
    loop {
        let bytes = match response.next_chunk().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => {
                return Err(AnswerFault::Wrong("the stream was closed normally without the end marker".into()));
            }
            Err(_) => return Err(AnswerFault::Cut),
        };
        pending.extend_from_slice(&bytes);
        while let Some(end) = pending.windows(2).position(|pair| pair == b"\n\n") {
            let event_bytes: Vec<u8> = pending.drain(..end + 2).collect();
            let event_text = String::from_utf8_lossy(&event_bytes).into_owned();
            if event_text.starts_with("event: error") {
                return Err(AnswerFault::Cut);
            }
            let data = event_text.lines().find_map(|text| text.strip_prefix("data: ")).unwrap_or("");
            let id = event_text.lines().find_map(|text| text.strip_prefix("id: ")).unwrap_or("");
            if id != format!("{}.{}", line.run, line.pieces) {
                return Err(AnswerFault::Wrong(format!("event id {id} in place of piece {}", line.pieces)));
            }
            if data == STREAM_END {
                if line.pieces != request.kind.tokens {
                    let reason = format!("the stream ended after {} of {} pieces", line.pieces, request.kind.tokens);
                    return Err(AnswerFault::Wrong(reason));
                }
                return Ok(());
            }
            check_piece(data, request, line, &mut attempt)?;
        }
    }
}

/// Checks the next piece of a stream and counts it in the result line.
fn check_piece(
    data: &str,
    request: &GeneratedRequest,
    line: &mut CallerLine,
    attempt: &mut String,
) -> Result<(), AnswerFault> {
    let piece: Value = serde_json::from_str(data).map_err(|_| AnswerFault::Wrong("a piece is not JSON".into()))?;
    let piece_attempt = piece["shot"].as_str().unwrap_or("");
    if line.pieces == 0 {
        line.first_ms = Some(boot_millis() - line.at);
        check_attempt(piece_attempt, &line.run)?;
        *attempt = piece_attempt.to_owned();
    }
    if piece_attempt != attempt.as_str() {
        return Err(AnswerFault::Wrong("the stream has pieces of two attempts".into()));
    }
    let expected = stand_in_piece(&request.prompt, attempt, line.pieces);
    if piece["choices"][0]["text"].as_str() != Some(expected.as_str()) {
        return Err(AnswerFault::Wrong(format!(
            "the text of piece {} is not what the engine generates",
            line.pieces
        )));
    }
    if let Some(cached_tokens) = piece["usage"]["cached_tokens"].as_u64() {
        line.cached_blocks = cached_tokens / TOKENS_PER_BLOCK;
    }
    line.pieces += 1;
    line.last_at = boot_millis();
    if line.attempt.is_empty() {
        line.attempt = attempt.clone();
    }
    Ok(())
}
