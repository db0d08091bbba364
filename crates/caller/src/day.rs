//! Playing a day: requests at drawn moments, spread over the routers as the platform would hand them
//! out, each answer checked piece by piece.

use crate::prelude::*;

pub struct Day {
    pub routers: Vec<String>,
    pub office: &'static Office,
    pub model: String,
    pub tenants: Vec<String>,
    pub keys: Vec<String>,
    pub limit: Span,
    pub out: Mutex<std::fs::File>,
}

impl Day {
    /// Plays for so long at so many requests a second; ends when the last answer has come.
    pub async fn play(self: Arc<Self>, seconds: u64, rate: u64, seed: u64) -> u64 {
        let mut draw = SeededRng::new(seed);
        let began = boot_now();
        let mut due = began;
        let mut asking = tokio::task::JoinSet::new();
        let mut request_count = 0;
        while due.since(began) < Span::seconds(seconds) {
            let pause = due.since(boot_now());
            if pause > Span(0) {
                tokio::time::sleep(pause.as_duration()).await;
            }
            let request = self.office.draw_request(&mut draw);
            let router = self.routers[draw.below(self.routers.len() as u64) as usize].clone();
            let day = Arc::clone(&self);
            asking.spawn(async move { day.ask(request, router).await });
            request_count += 1;
            due = due + Span(draw.below(2_000_000_000 / rate.max(1)));
            while asking.try_join_next().is_some() {}
        }
        while asking.join_next().await.is_some() {}
        request_count
    }

    async fn ask(&self, request: Request, router: String) {
        let kind = request.kind;
        let mut line = CallerLine {
            at: boot_millis(),
            router: router.clone(),
            tenant: self.tenants[request.tenant_place].clone(),
            key: self.keys[request.tenant_place].clone(),
            kind: kind.name.to_owned(),
            repeatable: kind.repeatable,
            streams: kind.streams,
            prompt_blocks: request.prompt.len().div_ceil(64) as u64,
            ..CallerLine::default()
        };
        let asking = self.ask_router(&request, &router, &mut line);
        let waited = (self.limit + Span::seconds(3)).as_duration();
        if tokio::time::timeout(waited, asking).await.is_err() {
            line.outcome = "no_answer".into();
        }
        line.ended = boot_millis();
        if let Ok(mut out) = self.out.lock() {
            let _ = out.write_all(format!("{}\n", json!(line)).as_bytes());
        }
    }

    async fn ask_router(&self, request: &Request, router: &str, line: &mut CallerLine) {
        let kind = request.kind;
        let body = json!({
            "model": self.model, "prompt": request.prompt, "max_tokens": kind.tokens, "stream": kind.streams,
            "kind": kind.name, "repeatable": kind.repeatable, "limit_ms": self.limit.as_millis(),
        });
        let question = OutgoingRequest::with_json(Method::POST, "/v1/completions", &body)
            .header("authorization", format!("Bearer {}", line.key));
        let asked = async {
            let stream = open_stream(router, Span::seconds(1)).await?;
            stream.send(question).await.map_err(|fault| fault.reason)
        };
        let mut replied = match asked.await {
            Ok(replied) => replied,
            Err(_) => {
                line.outcome = "no_answer".into();
                return;
            }
        };
        line.status = replied.status.as_u16();
        line.run = replied.header(RUN_HEADER).unwrap_or("").to_owned();
        if line.status != 200 {
            line.outcome = replied.header(OUTCOME_HEADER).unwrap_or("refused").to_owned();
            return;
        }
        let outcome = if kind.streams {
            read_stream(&mut replied, request, line).await
        } else {
            read_outcome(&mut replied, request, line).await
        };
        match outcome {
            Ok(()) => line.outcome = "whole".into(),
            Err(CutOrWrong::Cut) => line.outcome = "cut".into(),
            Err(CutOrWrong::Wrong(reason)) => {
                line.outcome = "wrong".into();
                line.wrong = reason;
            }
        }
    }
}

enum CutOrWrong {
    Cut,
    Wrong(String),
}

fn boot_millis() -> u64 {
    boot_now().0 / 1_000_000
}

/// Checks a whole answer: of one attempt of this run, every token the engine's own.
async fn read_outcome(
    replied: &mut IncomingResponse,
    request: &Request,
    line: &mut CallerLine,
) -> Result<(), CutOrWrong> {
    let body = read_whole(&mut replied.body, 8 << 20, Duration::from_secs(15)).await.map_err(|_| CutOrWrong::Cut)?;
    let answer: Value = serde_json::from_slice(&body).map_err(|_| CutOrWrong::Wrong("answer is no JSON".into()))?;
    line.first_ms = Some(boot_millis() - line.at);
    let attempt = answer["shot"].as_str().unwrap_or("").to_owned();
    check_attempt(&attempt, &line.run)?;
    let expected: String =
        (0..request.kind.tokens).map(|place| stand_in_piece(&request.prompt, &attempt, place)).collect();
    if answer["choices"][0]["text"].as_str() != Some(expected.as_str()) {
        return Err(CutOrWrong::Wrong("answer is not the engine's own".into()));
    }
    line.pieces = 1;
    (line.attempt, line.last_at) = (attempt, boot_millis());
    line.cached_blocks = answer["usage"]["cached_tokens"].as_u64().unwrap_or(0) / 16;
    Ok(())
}

fn check_attempt(attempt: &str, run: &str) -> Result<(), CutOrWrong> {
    if attempt.starts_with(&format!("{run}.")) {
        return Ok(());
    }
    Err(CutOrWrong::Wrong(format!("shot {attempt} is not of run {run}")))
}

/// Checks a stream: pieces in order, none lost or repeated, all of one attempt, whole at its end mark.
async fn read_stream(
    replied: &mut IncomingResponse,
    request: &Request,
    line: &mut CallerLine,
) -> Result<(), CutOrWrong> {
    let mut pending = Vec::new();
    let mut attempt = String::new();
    loop {
        let bytes = match replied.next_chunk().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Err(CutOrWrong::Wrong("the stream ended cleanly without its end mark".into())),
            Err(_) => return Err(CutOrWrong::Cut),
        };
        pending.extend_from_slice(&bytes);
        while let Some(end) = pending.windows(2).position(|pair| pair == b"\n\n") {
            let event_bytes: Vec<u8> = pending.drain(..end + 2).collect();
            let event_text = String::from_utf8_lossy(&event_bytes).into_owned();
            if event_text.starts_with("event: error") {
                return Err(CutOrWrong::Cut);
            }
            let data = event_text.lines().find_map(|text| text.strip_prefix("data: ")).unwrap_or("");
            let id = event_text.lines().find_map(|text| text.strip_prefix("id: ")).unwrap_or("");
            if id != format!("{}.{}", line.run, line.pieces) {
                return Err(CutOrWrong::Wrong(format!("event id {id} where piece {} was due", line.pieces)));
            }
            if data == STREAM_END {
                if line.pieces != request.kind.tokens {
                    let reason = format!("{} pieces of {}", line.pieces, request.kind.tokens);
                    return Err(CutOrWrong::Wrong(reason));
                }
                return Ok(());
            }
            check_piece(data, request, line, &mut attempt)?;
        }
    }
}

fn check_piece(data: &str, request: &Request, line: &mut CallerLine, attempt: &mut String) -> Result<(), CutOrWrong> {
    let piece: Value = serde_json::from_str(data).map_err(|_| CutOrWrong::Wrong("a piece is no JSON".into()))?;
    let piece_attempt = piece["shot"].as_str().unwrap_or("");
    if line.pieces == 0 {
        line.first_ms = Some(boot_millis() - line.at);
        check_attempt(piece_attempt, &line.run)?;
        *attempt = piece_attempt.to_owned();
    }
    if piece_attempt != attempt.as_str() {
        return Err(CutOrWrong::Wrong("the stream joins two shots".into()));
    }
    let expected = stand_in_piece(&request.prompt, attempt, line.pieces);
    if piece["choices"][0]["text"].as_str() != Some(expected.as_str()) {
        return Err(CutOrWrong::Wrong(format!("piece {} is not the engine's own", line.pieces)));
    }
    if let Some(cached_tokens) = piece["usage"]["cached_tokens"].as_u64() {
        line.cached_blocks = cached_tokens / 16;
    }
    line.pieces += 1;
    line.last_at = boot_millis();
    if line.attempt.is_empty() {
        line.attempt = attempt.clone();
    }
    Ok(())
}
