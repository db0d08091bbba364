//! Carrying a plan out, shot by shot. Before the first piece has gone to the caller a fault may be
//! followed by another shot: always if the engine surely did not start, else only if the request may
//! be repeated, and in both cases within the retry budget. After the first piece there is no second
//! shot; a stream that cannot go on ends with an error event and an aborted stream.

use crate::prelude::*;

const MOST_SHOTS: usize = 3;
const CONNECT_LIMIT: Span = Span::millis(700);
const MOST_WHOLE_BYTES: usize = 8 << 20;
const PIECE_PLACES: usize = 32;

/// Whether an engine may have worked on a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ran {
    No,
    Perhaps,
}

struct ShotFault {
    ran: Ran,
    reason: String,
    bar: Option<StartBar>,
    limit_passed: bool,
}

impl ShotFault {
    fn new(ran: Ran, reason: impl Into<String>) -> ShotFault {
        ShotFault { ran, reason: reason.into(), bar: None, limit_passed: false }
    }
}

enum Begun {
    Streaming { replied: Box<Replied>, reader: EventReader, first: Box<Completion> },
    Whole(Box<Completion>),
}

/// The request as it is carried: the plan and what must be given back at its end.
pub struct Run {
    pub plan: Plan,
    /// Given back when the run ends, however it ends.
    pub _held: (Seat, Running),
    pub router: NodeId,
    pub stand: Arc<Stand>,
    pub table: TableAsker,
    pub book: Arc<RunBook>,
    pub core_line: Arc<CoreLine>,
    pub recorder: Recorder,
    /// What the last pick looked like, for the recording.
    pub draft: Option<RecordedPick>,
}

impl Run {
    /// Claims the request's key, if it has one, and carries it; a run that surely did not run gives the
    /// claim back.
    pub async fn carry_claimed(self) -> WebOutcome {
        let Some(claim) = self.plan.claim else { return self.carry().await };
        let (router, run) = (self.router, self.plan.run_number);
        let core_line = Arc::clone(&self.core_line);
        match core_line.submit(Command::Claim { claim, router, run }).await {
            Some(Settled::Taken(_)) => {}
            Some(Settled::Refused(complaints)) => {
                let holder = complaints.first().map(|complaint| complaint.path.clone()).unwrap_or_default();
                let reason = "this key is claimed by an earlier request; it is not run again";
                let told = json!({"error": {"type": "claimed", "message": reason}, "run": holder});
                Counts::add(&self.stand.counts.refused, 1);
                return outcome_json(StatusCode::CONFLICT, &told).with_header(OUTCOME_HEADER, "claimed");
            }
            _ => {
                core_line.submit(Command::Release { claim, router, run }).await;
                return self.give_up(false, false, "the claim could not be settled");
            }
        }
        let answered = self.carry().await;
        let outcome = answered.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
        if outcome == Some("not_run") {
            tokio::spawn(async move { core_line.submit(Command::Release { claim, router, run }).await });
        }
        answered
    }

    pub async fn carry(mut self) -> WebOutcome {
        let mut tried: Vec<EngineName> = Vec::new();
        let mut may_have_run = false;
        let mut last_reason = String::from("no engine is free to take it");
        let mut is_retry = false;
        for shot_number in 1..=MOST_SHOTS {
            let now = boot_now();
            if now >= self.plan.limit {
                return self.give_up(may_have_run, true, "the limit passed");
            }
            let sight = self.stand.sight();
            let prompt = self.plan.prompt(&sight, &tried, now);
            let names = prompt.names.clone();
            let Some((picked, place)) = self.table.pick(prompt, is_retry).await else {
                return self.give_up(may_have_run, false, "the router is overloaded");
            };
            let (placement, place) = match (picked, place) {
                (Picked::Placed(placement), Some(place)) => (placement, place),
                (Picked::NoBudget, _) => return self.give_up(may_have_run, false, &last_reason),
                _ => return self.give_up(may_have_run, false, &last_reason),
            };
            let shot = format!("{}.{shot_number}", self.plan.run);
            self.log_pick(&placement, &shot);
            self.draft = self.recorder.is_on().then(|| RecordedPick::of(&placement));
            let kept_names = names.get(&placement.chosen.weights).cloned().unwrap_or_default();
            match self.begin(&placement, &sight, &shot).await {
                Ok(begun) => {
                    let engine = placement.chosen.engine.clone();
                    self.table.tell(TableCommand::Kept { engine, names: kept_names });
                    self.count_blocks(&placement);
                    return self.answer(begun, place, shot);
                }
                Err(fault) => {
                    self.stand.note_policy(&placement.policy, |figures| figures.faults += 1);
                    event!(
                        warn,
                        "shot_fault",
                        run = self.plan.run,
                        shot = shot_number,
                        engine = placement.chosen.engine,
                        reason = fault.reason,
                        ran = format!("{:?}", fault.ran).to_lowercase()
                    );
                    if let Some(answered) = self.barred(&fault) {
                        return answered;
                    }
                    is_retry = fault.bar.is_none();
                    if fault.bar.is_none() {
                        self.table.tell(TableCommand::Fault { engine: placement.chosen.engine.clone() });
                        tried.push(placement.chosen.engine.clone());
                    }
                    may_have_run |= fault.ran == Ran::Perhaps;
                    if fault.limit_passed || (fault.ran == Ran::Perhaps && !self.plan.repeatable) {
                        return self.give_up(may_have_run, fault.limit_passed, &fault.reason);
                    }
                    last_reason = fault.reason;
                }
            }
        }
        self.give_up(may_have_run, false, &last_reason)
    }

    /// Bars that no other engine would lift.
    fn barred(&self, fault: &ShotFault) -> Option<WebOutcome> {
        let refusal = match fault.bar? {
            StartBar::EngineMoved => return None,
            StartBar::NoLease => {
                Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no_lease", "this router holds no lease").retry_after(1)
            }
            StartBar::KeyWithdrawn => Refusal::new(StatusCode::UNAUTHORIZED, "unknown_key", "the key was withdrawn"),
        };
        Counts::add(&self.stand.counts.not_run, 1);
        Some(refusal.into_outcome())
    }

    /// The final answer, given at once, with when to come back.
    fn give_up(&self, may_have_run: bool, limit_passed: bool, reason: &str) -> WebOutcome {
        let (counter, outcome) = if may_have_run {
            (&self.stand.counts.unknown, "unknown")
        } else {
            (&self.stand.counts.not_run, "not_run")
        };
        Counts::add(counter, 1);
        self.record(outcome, None);
        let status = match (may_have_run, limit_passed) {
            (_, true) => StatusCode::GATEWAY_TIMEOUT,
            (true, false) => StatusCode::BAD_GATEWAY,
            (false, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        event!(
            info,
            "request_ended",
            run = self.plan.run,
            tenant = self.plan.tenant,
            outcome = outcome,
            reason = reason
        );
        refuse(status, outcome, reason)
            .with_header(OUTCOME_HEADER, outcome)
            .with_header(RUN_HEADER, &self.plan.run)
            .with_header("retry-after", "1")
    }

    fn record(&self, outcome: &str, first_ms: Option<u64>) {
        if !self.recorder.is_on() {
            return;
        }
        let sight = self.stand.sight();
        let weights = self.draft.as_ref().map(|draft| WeightsEdition(draft.weights));
        let names = weights
            .map(|weights| cut(&self.plan.salt(&sight, weights), self.plan.prompt_text.as_bytes()))
            .unwrap_or_default();
        self.recorder.write(RecordedRun {
            at: wall_millis(),
            began: self.plan.began.0 / 1_000_000,
            run: self.plan.run.clone(),
            tenant: self.plan.tenant.0.clone(),
            kind: self.plan.kind.clone(),
            model: self.plan.model.0.clone(),
            block_hashes: write_hashes(&names),
            prompt_blocks: blocks_of(self.plan.prompt_text.len()).0,
            max_tokens: self.plan.max_tokens,
            streams: self.plan.streams,
            repeatable: self.plan.repeatable,
            pick: self.draft.clone(),
            outcome: outcome.to_owned(),
            first_ms,
            total_ms: boot_now().since(self.plan.began).as_millis(),
        });
    }

    fn log_pick(&self, placement: &Placement, shot: &str) {
        let candidates: Vec<String> = placement
            .candidates
            .iter()
            .map(|score| {
                format!("{}:{:.1}:{}+{}", score.engine, score.cost, score.prefill_blocks, score.decode_blocks)
            })
            .collect();
        let chosen = &placement.chosen;
        if !chosen.by_events {
            Counts::add(&self.stand.counts.history_picks, 1);
        }
        event!(
            info,
            "picked",
            shot = shot,
            tenant = self.plan.tenant,
            kind = self.plan.kind,
            engine = chosen.engine,
            cost = format!("{:.1}", chosen.cost),
            weights = chosen.weights,
            by = if chosen.by_events { "events" } else { "history" },
            fetch = placement.fetches.iter().map(|run| run.names.len()).sum::<usize>(),
            policy = placement.policy,
            default_engine = placement.default_engine,
            candidates = candidates.join(",")
        );
    }

    fn count_blocks(&self, placement: &Placement) {
        let prompt_blocks = blocks_of(self.plan.prompt_text.len()).0;
        Counts::add(&self.stand.counts.prompt_blocks, prompt_blocks);
        let reused_blocks = prompt_blocks.saturating_sub(placement.chosen.prefill_blocks.0);
        Counts::add(&self.stand.counts.reused_blocks, reused_blocks);
        let first_ms = boot_now().since(self.plan.began).as_millis();
        self.stand.note_policy(&placement.policy, |figures| {
            figures.requests += 1;
            figures.first_ms_sum += first_ms;
            figures.prompt_blocks += prompt_blocks;
            figures.reused_blocks += reused_blocks;
            figures.differs += u64::from(placement.default_engine != placement.chosen.engine);
            *figures.engines.entry(placement.chosen.engine.clone()).or_default() += 1;
        });
        let fetched_blocks = placement.fetches.iter().map(|run| run.names.len() as u64).sum();
        Counts::add(&self.stand.counts.fetch_blocks, fetched_blocks);
    }

    /// One shot, up to its first piece or its whole answer.
    async fn begin(&self, placement: &Placement, sight: &FleetSight, shot: &str) -> Result<Begun, ShotFault> {
        let stream = open_stream(&placement.address, CONNECT_LIMIT)
            .await
            .map_err(|reason| ShotFault::new(Ran::No, format!("connect: {reason}")))?;
        let weights = placement.chosen.weights;
        let engine_request = EngineRequest {
            model: self.plan.model.0.clone(),
            prompt: (*self.plan.prompt_text).clone(),
            max_tokens: self.plan.max_tokens,
            stream: self.plan.streams,
            cache_salt: self.plan.salt(sight, weights).0,
            fetch: fetch_orders(&placement.fetches),
        };
        if let Some(prefill_place) = &placement.prefill {
            self.prefill(prefill_place, &engine_request.cache_salt).await;
        }
        let question = Question::with_json(Method::POST, "/v1/completions", &json!(engine_request))
            .header(SHOT_HEADER, shot)
            .header(WEIGHTS_HEADER, weights.to_string());
        let bar = Arc::new(Mutex::new(None));
        let gate = {
            let (stand, bar, plan) = (Arc::clone(&self.stand), Arc::clone(&bar), self.plan.clone());
            let (chosen, salt) = (placement.chosen.clone(), engine_request.cache_salt);
            Box::new(move || {
                let same_wall = plan.salt(&stand.sight(), chosen.weights).0 == salt;
                let may_start = match same_wall {
                    true => stand.may_start(&plan.key_hash, &plan.tenant, &chosen),
                    false => Err(StartBar::EngineMoved),
                };
                may_start.map_err(|found| {
                    *bar.lock().expect("no holder of this lock panics") = Some(found);
                    format!("{found:?}")
                })
            })
        };
        let limit_left = self.plan.limit.since(boot_now()).as_duration();
        let exchange = async {
            let replied = stream.send_gated(question, gate).await.map_err(|fault: SendFault| {
                let ran = if fault.byte_left { Ran::Perhaps } else { Ran::No };
                let found_bar = *bar.lock().expect("no holder of this lock panics");
                ShotFault { bar: found_bar, ..ShotFault::new(ran, fault.reason) }
            })?;
            self.read_beginning(replied, shot).await
        };
        match tokio::time::timeout(limit_left, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(ShotFault { limit_passed: true, ..ShotFault::new(Ran::Perhaps, "the limit passed") }),
        }
    }

    /// In a split pool, asks for the prefill first. If it fails, the decoding engine prefills itself.
    async fn prefill(&self, prefill_place: &PrefillPlace, cache_salt: &str) {
        let (prompt, cache_salt) = ((*self.plan.prompt_text).clone(), cache_salt.to_owned());
        let request = json!(PrefillRequest { prompt, cache_salt });
        let question = Question::with_json(Method::POST, "/v1/prefill", &request);
        let half_left = Span(self.plan.limit.since(boot_now()).0 / 2);
        if let Err(reason) = ask_whole(&prefill_place.address, question, half_left, 1 << 16).await {
            event!(warn, "prefill_fault", run = self.plan.run, engine = prefill_place.engine, reason = reason);
        }
    }

    async fn read_beginning(&self, mut replied: Replied, shot: &str) -> Result<Begun, ShotFault> {
        let perhaps = |reason: String| ShotFault::new(Ran::Perhaps, reason);
        let status = replied.status;
        if status != StatusCode::OK {
            let body = read_whole(&mut replied.body, 1 << 16, Duration::from_secs(1)).await.unwrap_or_default();
            let told: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
            let told_kind = told["error"]["type"].as_str().unwrap_or("").to_owned();
            let did_not_start = matches!(told_kind.as_str(), "not_accepting" | "other_weights");
            let ran = if did_not_start { Ran::No } else { Ran::Perhaps };
            return Err(ShotFault::new(ran, format!("engine answered {} {told_kind}", status.as_u16())));
        }
        if replied.header(SHOT_HEADER) != Some(shot) {
            return Err(perhaps("the answer is of another shot".into()));
        }
        if !self.plan.streams {
            let body = read_whole(&mut replied.body, MOST_WHOLE_BYTES, Duration::from_secs(10)).await;
            let body = body.map_err(|fault| perhaps(format!("answer: {fault:?}")))?;
            let text = std::str::from_utf8(&body).map_err(|_| perhaps("answer: not UTF-8".into()))?;
            let completion = check_piece(text, shot).map_err(perhaps)?;
            let is_finished = completion.choices.iter().all(|choice| choice.finish_reason.is_some());
            if completion.choices.is_empty() || !is_finished {
                return Err(perhaps("the answer is not whole".into()));
            }
            return Ok(Begun::Whole(Box::new(completion)));
        }
        let mut reader = EventReader::default();
        loop {
            if let Some(data) = reader.next_data() {
                let first = check_piece(&data, shot).map_err(perhaps)?;
                return Ok(Begun::Streaming { replied: Box::new(replied), reader, first: Box::new(first) });
            }
            let bytes = replied.next_piece().await.map_err(perhaps)?;
            let bytes = bytes.ok_or_else(|| perhaps("the stream ended before its first piece".into()))?;
            reader.feed(&bytes).map_err(perhaps)?;
        }
    }

    fn answer(self, begun: Begun, place: ShotPlace, shot: String) -> WebOutcome {
        let run = self.plan.run.clone();
        match begun {
            Begun::Whole(completion) => {
                Counts::add(&self.stand.counts.whole, 1);
                self.record("whole", Some(boot_now().since(self.plan.began).as_millis()));
                event!(info, "request_ended", run = run, tenant = self.plan.tenant, outcome = "whole");
                outcome_json(StatusCode::OK, &shape_whole(*completion, &run, self.plan.form))
                    .with_header(RUN_HEADER, &run)
                    .with_header(OUTCOME_HEADER, "whole")
            }
            Begun::Streaming { replied, reader, first } => {
                let held_run = match self.plan.resumes {
                    true => self.book.open(self.plan.run_number, &self.plan.tenant),
                    false => None,
                };
                let (sink, answered) = match held_run {
                    Some(held_run) => (Sink::Book(Arc::clone(&held_run)), held_run.stream_from(0)),
                    None => {
                        let (pieces, answered) = outcome_pieces(StatusCode::OK, "text/event-stream", PIECE_PLACES);
                        (Sink::Caller(pieces), answered.with_header("cache-control", "no-store"))
                    }
                };
                let first_ms = boot_now().since(self.plan.began).as_millis();
                let relay = Relay { run: self, place, shot, sink: Arc::new(sink), piece_count: 0, first_ms };
                tokio::spawn(relay.work(*replied, reader, *first));
                answered.with_header(RUN_HEADER, &run)
            }
        }
    }
}

fn fetch_orders(fetches: &[FetchRun]) -> Vec<FetchOrder> {
    fetches
        .iter()
        .map(|run| FetchOrder { address: run.address.clone(), block_hashes: write_hashes(&run.names) })
        .collect()
}

/// Where the pieces go: to the caller, or into the book that callers are served from.
enum Sink {
    Caller(PieceSender),
    Book(Arc<HeldRun>),
}

impl Sink {
    async fn send(&self, event: Bytes) -> bool {
        match self {
            Sink::Caller(pieces) => pieces.send(event).await,
            Sink::Book(held_run) => held_run.hold(event),
        }
    }

    /// Resolves when nobody waits any more; a run in the book goes on without its caller.
    async fn gone(&self) {
        match self {
            Sink::Caller(pieces) => pieces.gone().await,
            Sink::Book(_) => std::future::pending().await,
        }
    }

    async fn end(&self, cut: Option<&str>) {
        match (self, cut) {
            (Sink::Caller(pieces), Some(reason)) => end_cut(pieces, reason).await,
            (Sink::Caller(_), None) => {}
            (Sink::Book(held_run), Some(reason)) => held_run.end(HeldEnd::Cut(reason.to_owned())),
            (Sink::Book(held_run), None) => held_run.end(HeldEnd::Whole),
        }
    }
}

/// A stream under way.
struct Relay {
    run: Run,
    place: ShotPlace,
    shot: String,
    sink: Arc<Sink>,
    piece_count: u64,
    first_ms: u64,
}

/// How a stream ended.
enum StreamEnd {
    Whole,
    CallerGone,
    Cut(String),
}

impl Relay {
    async fn work(mut self, replied: Replied, reader: EventReader, first: Completion) {
        let limit_left = self.run.plan.limit.since(boot_now()).as_duration();
        let sink = Arc::clone(&self.sink);
        let end = tokio::select! {
            end = self.relay(replied, reader, first) => end,
            () = sink.gone() => StreamEnd::CallerGone,
            () = tokio::time::sleep(limit_left) => StreamEnd::Cut("the limit passed".into()),
        };
        let counts = &self.run.stand.counts;
        let (counter, outcome, reason) = match end {
            StreamEnd::Whole => (&counts.whole, "whole", None),
            StreamEnd::CallerGone => (&counts.cancelled, "cancelled", None),
            StreamEnd::Cut(reason) => (&counts.cut, "cut", Some(reason)),
        };
        Counts::add(counter, 1);
        sink.end(reason.as_deref()).await;
        self.run.record(outcome, Some(self.first_ms));
        let reason = reason.unwrap_or_default();
        let plan = &self.run.plan;
        event!(
            info,
            "request_ended",
            run = plan.run,
            tenant = plan.tenant,
            outcome = outcome,
            pieces = self.piece_count,
            engine = self.place.engine,
            reason = reason
        );
    }

    async fn relay(&mut self, mut replied: Replied, mut reader: EventReader, first: Completion) -> StreamEnd {
        if !self.send_piece(first).await {
            return StreamEnd::CallerGone;
        }
        loop {
            while let Some(data) = reader.next_data() {
                if data == STREAM_END {
                    return self.finish(replied, reader).await;
                }
                let piece = match check_piece(&data, &self.shot) {
                    Ok(piece) => piece,
                    Err(reason) => return StreamEnd::Cut(reason),
                };
                if !self.send_piece(piece).await {
                    return StreamEnd::CallerGone;
                }
            }
            match replied.next_piece().await {
                Ok(Some(bytes)) => {
                    if let Err(reason) = reader.feed(&bytes) {
                        return StreamEnd::Cut(reason);
                    }
                }
                Ok(None) => return StreamEnd::Cut("the engine's stream ended without its end mark".into()),
                Err(reason) => return StreamEnd::Cut(reason),
            }
        }
    }

    /// After the end mark nothing more may come, and the engine's stream must end cleanly.
    async fn finish(&mut self, mut replied: Replied, mut reader: EventReader) -> StreamEnd {
        if reader.next_data().is_some() || !reader.is_empty() {
            return StreamEnd::Cut("something came after the end mark".into());
        }
        match replied.next_piece().await {
            Ok(None) => {}
            Ok(Some(_)) => return StreamEnd::Cut("something came after the end mark".into()),
            Err(reason) => return StreamEnd::Cut(reason),
        }
        let end_event = format!("id: {}.{}\ndata: {STREAM_END}\n\n", self.run.plan.run, self.piece_count);
        if self.sink.send(Bytes::from(end_event)).await { StreamEnd::Whole } else { StreamEnd::CallerGone }
    }

    async fn send_piece(&mut self, completion: Completion) -> bool {
        let plan = &self.run.plan;
        let shaped = shape_piece(completion, &plan.run, plan.form);
        let event_text = format!("id: {}.{}\ndata: {shaped}\n\n", plan.run, self.piece_count);
        self.piece_count += 1;
        self.sink.send(Bytes::from(event_text)).await
    }
}
