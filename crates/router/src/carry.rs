//! Carrying a plan out: the carriage says what is to be done, this does it and tells the carriage what
//! came of it. Until the first piece the run lives in its caller's own call, so that a caller who leaves
//! ends it; a stream under way has a task of its own. All the while the key, the lease and the limit
//! are watched, and the carriage is told when one of them ends the work.

use crate::prelude::*;

const CONNECT_LIMIT: Span = Span::millis(700);
const MOST_WHOLE_BYTES: usize = 8 << 20;
const PIECE_PLACES: usize = 32;
/// When a caller is told to come back, in seconds: an adapter has to be loaded first.
const USUAL_BACK_AFTER_S: &str = "1";
const COLD_BACK_AFTER_S: &str = "2";

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

type Input = CarriageInput<Box<Completion>>;
type Effect = CarriageEffect<Box<Completion>>;

/// What the carriage waits for.
#[derive(Clone, Debug)]
enum Awaited {
    Nothing,
    Claim,
    Pick { tried: Vec<EngineName>, is_retry: bool },
    Stream,
    Head,
    Pieces,
}

/// A shot under way, dropped as a whole when it ends.
struct Shot {
    placement: Box<Placement>,
    sight: Arc<FleetSight>,
    /// The adapter it runs on; none for the bare model.
    adapter: Option<AdapterId>,
    place: ShotPlace,
    stream: Option<OpenStream>,
    replied: Option<Replied>,
    reader: EventReader,
    /// Allows its engine more time; ends with the shot.
    _allowing: Option<Allowing>,
}

/// A run and its carriage.
struct Driver {
    run: Run,
    carriage: Carriage<Box<Completion>>,
    awaited: Awaited,
    shot: Option<Shot>,
    engine: EngineName,
    sink: Option<Arc<Sink>>,
    /// Events that the caller has still to take.
    outbox: VecDeque<Bytes>,
    piece_count: u64,
    first_ms: Option<u64>,
    /// The policy that placed it.
    policy: String,
}

impl Run {
    pub async fn carry(self) -> WebOutcome {
        let plan = &self.plan;
        let terms = Terms {
            run: plan.run.clone(),
            repeatable: plan.repeatable,
            streams: plan.streams,
            claims: plan.claim.is_some(),
            resumes: plan.resumes,
        };
        let driver = Driver {
            run: self,
            carriage: Carriage::new(terms),
            awaited: Awaited::Nothing,
            shot: None,
            engine: EngineName::from(""),
            sink: None,
            outbox: VecDeque::new(),
            piece_count: 0,
            first_ms: None,
            policy: String::new(),
        };
        driver.drive().await
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

    /// The first piece came: what the pick was worth.
    fn count_blocks(&self, placement: &Placement) {
        let prompt_blocks = blocks_of(self.plan.prompt_text.len()).0;
        Counts::add(&self.stand.counts.prompt_blocks, prompt_blocks);
        let reused_blocks = prompt_blocks.saturating_sub(placement.chosen.prefill_blocks.0);
        Counts::add(&self.stand.counts.reused_blocks, reused_blocks);
        let first_ms = boot_now().since(self.plan.began).as_millis();
        self.stand.note_policy(&placement.policy, &self.plan.tenant, |figures| {
            figures.requests += 1;
            figures.first.add(first_ms as f64);
            figures.occupancy.add(placement.chosen.decode_blocks.0 as f64);
            figures.prompt_blocks += prompt_blocks;
            figures.reused_blocks += reused_blocks;
            figures.differs += u64::from(placement.default_engine != placement.chosen.engine);
            figures.excess_blocks += placement.default_excess as u64;
            *figures.engines.entry(placement.chosen.engine.0.clone()).or_default() += 1;
        });
        let fetched_blocks = placement.fetches.iter().map(|run| run.names.len() as u64).sum();
        Counts::add(&self.stand.counts.fetch_blocks, fetched_blocks);
    }

    /// In a split pool, asks for the prefill first, through the gate as any work. If it fails, the
    /// decoding engine prefills itself.
    async fn prefill(&self, prefill_place: &PrefillPlace, shot_name: &str, ground: &Ground) {
        let (prompt, cache_salt) = ((*self.plan.prompt_text).clone(), ground.salt.0.clone());
        let half_left = Span(self.plan.limit.since(boot_now()).0 / 2);
        let allowance = Allowance::under(self.stand.lease_until(), self.plan.limit);
        let allowed_ms = allowance.left(boot_now()).min(half_left).as_millis().max(1);
        let question =
            Question::with_json(Method::POST, "/v1/prefill", &json!(PrefillRequest { prompt, cache_salt }))
                .header(SHOT_HEADER, shot_name)
                .header(WEIGHTS_HEADER, ground.weights.to_string())
                .header(LIMIT_HEADER, allowed_ms.to_string());
        let question = name_adapter(question, ground.adapter.as_ref());
        let stand = Arc::clone(&self.stand);
        let ground = Ground { engine: prefill_place.engine.clone(), ..ground.clone() };
        let gate = Box::new(move || stand.may_start(&ground).map_err(|found| format!("{found:?}")));
        let asking = async {
            let stream = open_stream(&prefill_place.address, CONNECT_LIMIT).await?;
            let replied = stream.send_gated(question, gate).await.map_err(|fault| fault.reason)?;
            match replied.status {
                StatusCode::OK => Ok(()),
                status => Err(format!("engine answered {}", status.as_u16())),
            }
        };
        let late = Err("it took half of the time left".into());
        if let Err(reason) = tokio::time::timeout(half_left.as_duration(), asking).await.unwrap_or(late) {
            event!(warn, "prefill_fault", run = self.plan.run, engine = prefill_place.engine, reason = reason);
        }
    }
}

impl Driver {
    /// Carries on until there is an answer; a stream then goes on by itself.
    async fn drive(mut self) -> WebOutcome {
        let mut plan = self.carriage.step(Input::Begin);
        loop {
            if let Some(answered) = self.carry_out(plan) {
                if !self.carriage.is_done() {
                    tokio::spawn(self.go_on());
                }
                return answered;
            }
            let input = self.watched_input().await;
            plan = self.carriage.step(input);
        }
    }

    async fn go_on(mut self) {
        while !self.carriage.is_done() {
            let input = self.watched_input().await;
            let is_left = matches!(input, Input::CallerGone);
            let plan = self.carriage.step(input);
            self.carry_out(plan);
            if is_left && self.carriage.is_done() {
                self.note_cancelled();
            }
        }
    }

    fn note_cancelled(&self) {
        Counts::add(&self.run.stand.counts.cancelled, 1);
        self.log_end("cancelled", "");
    }

    /// The next input, unless limit, key, lease or caller end the work before it.
    async fn watched_input(&mut self) -> Input {
        let limit_left = self.run.plan.limit.since(boot_now()).as_duration();
        let stand = Arc::clone(&self.run.stand);
        let (key_hash, tenant) = (self.run.plan.key_hash.clone(), self.run.plan.tenant.clone());
        let sink = self.sink.clone();
        let caller_gone = async {
            match &sink {
                Some(sink) => sink.gone().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            bar = stand.work_barred(&key_hash, &tenant) => Input::WorkBarred(bar),
            () = tokio::time::sleep(limit_left) => Input::LimitPassed,
            () = caller_gone => Input::CallerGone,
            input = self.next_input() => input,
        }
    }

    async fn next_input(&mut self) -> Input {
        while let Some(event) = self.outbox.front().cloned() {
            let Some(sink) = self.sink.clone() else { break };
            if !sink.send(event).await {
                return if sink.is_book() { Input::BookFull } else { Input::CallerGone };
            }
            self.outbox.pop_front();
        }
        match self.awaited.clone() {
            Awaited::Nothing => std::future::pending().await,
            Awaited::Claim => self.claim().await,
            Awaited::Pick { tried, is_retry } => self.pick(&tried, is_retry).await,
            Awaited::Stream => self.open().await,
            Awaited::Head => self.ask_engine().await,
            Awaited::Pieces => self.read().await,
        }
    }

    /// Does what the carriage wishes; an answer for the caller, if there is one now.
    fn carry_out(&mut self, plan: Vec<Effect>) -> Option<WebOutcome> {
        let mut answered = None;
        for effect in plan {
            match effect {
                Effect::Claim => self.awaited = Awaited::Claim,
                Effect::ReleaseClaim => self.release_claim(),
                Effect::Pick { tried, is_retry } => self.awaited = Awaited::Pick { tried, is_retry },
                Effect::Connect { shot } => {
                    if let Some(under_way) = &self.shot {
                        self.run.log_pick(&under_way.placement, &shot);
                        self.run.draft = self.run.recorder.is_on().then(|| RecordedPick::of(&under_way.placement));
                    }
                    self.awaited = Awaited::Stream;
                }
                Effect::Write => self.awaited = Awaited::Head,
                Effect::Began => answered = self.begin_answer(),
                Effect::SendPiece(completion) => self.send_piece(*completion),
                Effect::AnswerWhole(completion) => answered = Some(self.answer_whole(*completion)),
                Effect::EndWhole => self.end_stream(None),
                Effect::EndCut(reason) => self.end_stream(Some(reason)),
                Effect::GiveUp(given_up) => answered = Some(self.give_up(given_up)),
                Effect::EndShot => self.shot = None,
                Effect::ShotFault { reason, ran, rests } => self.note_fault(&reason, ran, rests),
            }
        }
        answered
    }

    // What is waited for.

    async fn claim(&mut self) -> Input {
        let (router, run) = (self.run.router, self.run.plan.run_number);
        let Some(claim) = self.run.plan.claim else { return Input::ClaimSettled(Claimed::Unknown) };
        let settled = self.run.core_line.submit(Command::Claim { claim, router, run }).await;
        Input::ClaimSettled(Claimed::of(settled))
    }

    fn release_claim(&self) {
        let (router, run) = (self.run.router, self.run.plan.run_number);
        let Some(claim) = self.run.plan.claim else { return };
        let core_line = Arc::clone(&self.run.core_line);
        tokio::spawn(async move { core_line.submit(Command::Release { claim, router, run }).await });
    }

    async fn pick(&mut self, tried: &[EngineName], is_retry: bool) -> Input {
        let sight = self.run.stand.sight();
        let prompt = self.run.plan.prompt(&sight, tried, boot_now());
        let adapter = prompt.adapter.clone();
        let outcome = match self.run.table.pick(prompt, is_retry).await {
            None => PickOutcome::Overloaded,
            Some((Picked::Placed(placement), Some(place))) => {
                let engine = placement.chosen.engine.clone();
                self.engine = engine.clone();
                self.policy = placement.policy.clone();
                let (stream, replied, reader) = (None, None, EventReader::default());
                self.shot = Some(Shot { placement, sight, adapter, place, stream, replied, reader, _allowing: None });
                PickOutcome::Placed(engine)
            }
            Some((Picked::NoBudget, _)) => PickOutcome::NoBudget,
            Some((Picked::NoAdapter, _)) => PickOutcome::NoAdapter,
            Some(_) => PickOutcome::NoEngine,
        };
        Input::Picked(outcome)
    }

    async fn open(&mut self) -> Input {
        let Some(shot) = self.shot.as_mut() else { return Input::Broken("no shot is under way".into()) };
        match open_stream(&shot.placement.address, CONNECT_LIMIT).await {
            Ok(stream) => {
                shot.stream = Some(stream);
                Input::Connected
            }
            Err(reason) => Input::ConnectFault(reason),
        }
    }

    async fn ask_engine(&mut self) -> Input {
        let shot_name = self.carriage.shot();
        let Some(shot) = self.shot.as_mut() else { return Input::Broken("no shot is under way".into()) };
        let Some(stream) = shot.stream.take() else { return Input::Broken("no stream is open".into()) };
        let plan = &self.run.plan;
        let chosen = &shot.placement.chosen;
        let salt = plan.salt(&shot.sight, chosen.weights);
        let engine_request = EngineRequest {
            model: plan.model.0.clone(),
            prompt: (*plan.prompt_text).clone(),
            max_tokens: plan.max_tokens,
            stream: plan.streams,
            cache_salt: salt.0.clone(),
            fetch: fetch_orders(&shot.placement.fetches),
        };
        let ground = Ground {
            key_hash: plan.key_hash.clone(),
            tenant: plan.tenant.clone(),
            model: plan.model.clone(),
            engine: chosen.engine.clone(),
            weights: chosen.weights,
            adapter: shot.adapter.clone(),
            salt,
            limit: plan.limit,
        };
        if let Some(prefill_place) = &shot.placement.prefill {
            self.run.prefill(prefill_place, &shot_name, &ground).await;
        }
        let allowance = Allowance::under(self.run.stand.lease_until(), plan.limit);
        let allowed_ms = allowance.left(boot_now()).as_millis().max(1);
        shot._allowing =
            Some(Allowing::begin(&self.run.stand, &shot.placement.address, &shot_name, plan.limit, allowance));
        let question = Question::with_json(Method::POST, "/v1/completions", &json!(engine_request))
            .header(SHOT_HEADER, shot_name)
            .header(WEIGHTS_HEADER, ground.weights.to_string())
            .header(LIMIT_HEADER, allowed_ms.to_string());
        let question = name_adapter(question, ground.adapter.as_ref());
        let bar = Arc::new(Mutex::new(None));
        let gate = {
            let (stand, bar) = (Arc::clone(&self.run.stand), Arc::clone(&bar));
            Box::new(move || {
                stand.may_start(&ground).map_err(|found| {
                    *bar.lock().expect("no holder of this lock panics") = Some(found);
                    format!("{found:?}")
                })
            })
        };
        match stream.send_gated(question, gate).await {
            Ok(replied) => self.read_head(replied).await,
            Err(SendFault { reason, byte_left }) => match *bar.lock().expect("no holder of this lock panics") {
                Some(found) => Input::Barred(found),
                None => Input::SendFault { byte_left, reason },
            },
        }
    }

    async fn read_head(&mut self, mut replied: Replied) -> Input {
        let status = replied.status;
        if status != StatusCode::OK {
            let body = read_whole(&mut replied.body, 1 << 16, Duration::from_secs(1)).await.unwrap_or_default();
            let told: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
            let told_kind = told["error"]["type"].as_str().unwrap_or("").to_owned();
            let head = match told_kind.as_str() {
                "not_accepting" | "other_weights" | NOT_RESIDENT => Head::NotStarted,
                "limit_passed" => Head::OutOfTime,
                _ => Head::Refused,
            };
            if told_kind == NOT_RESIDENT {
                self.note_cold();
            }
            return Input::Head { head, told: format!("engine answered {} {told_kind}", status.as_u16()) };
        }
        if let Some(shot) = self.shot.as_mut() {
            shot.replied = Some(replied);
        }
        self.awaited = Awaited::Pieces;
        Input::Head { head: Head::Good, told: String::new() }
    }

    async fn read(&mut self) -> Input {
        let streams = self.run.plan.streams;
        let is_marked = self.carriage.is_marked();
        let Some(shot) = self.shot.as_mut() else { return Input::Broken("no shot is under way".into()) };
        let Some(replied) = shot.replied.as_mut() else { return Input::Broken("no stream is open".into()) };
        if !streams {
            let body = read_whole(&mut replied.body, MOST_WHOLE_BYTES, Duration::from_secs(10)).await;
            return match body {
                Ok(body) => read_piece(&String::from_utf8_lossy(&body), shot.adapter.as_ref()),
                Err(fault) => Input::Broken(format!("answer: {fault:?}")),
            };
        }
        loop {
            match shot.reader.next_data() {
                Some(data) if data == STREAM_END => return Input::EndMark,
                Some(data) => return read_piece(&data, shot.adapter.as_ref()),
                None if is_marked && !shot.reader.is_empty() => {
                    return Input::Broken("something came after the end mark".into());
                }
                None => {}
            }
            match replied.next_piece().await {
                Ok(Some(bytes)) => {
                    if let Err(reason) = shot.reader.feed(&bytes) {
                        return Input::Broken(reason);
                    }
                }
                Ok(None) => return Input::Closed,
                Err(reason) => return Input::Broken(reason),
            }
        }
    }

    // What goes to the caller.

    /// The first piece came: the engine has the blocks now, and a stream to the caller opens.
    fn begin_answer(&mut self) -> Option<WebOutcome> {
        self.first_ms = Some(boot_now().since(self.run.plan.began).as_millis());
        if let Some(shot) = &self.shot {
            let chosen = &shot.placement.chosen;
            let salt = self.run.plan.salt(&shot.sight, chosen.weights);
            let names = cut(&salt, self.run.plan.prompt_text.as_bytes());
            self.run.table.tell(TableCommand::Kept { engine: chosen.engine.clone(), names });
            self.run.count_blocks(&shot.placement);
            if shot.adapter.is_some() {
                self.run.stand.counts.note_adapter_place(chosen.distance_blocks, chosen.is_far);
            }
        }
        if !self.run.plan.streams {
            return None;
        }
        let plan = &self.run.plan;
        let held_run = if plan.resumes { self.run.book.open(plan.run_number, &plan.tenant) } else { None };
        let (sink, answered) = match held_run {
            Some(held_run) => (Sink::Book(Arc::clone(&held_run)), held_run.stream_from(0)),
            None => {
                let (pieces, answered) = outcome_pieces(StatusCode::OK, "text/event-stream", PIECE_PLACES);
                (Sink::Caller(pieces), answered.with_header("cache-control", "no-store"))
            }
        };
        self.sink = Some(Arc::new(sink));
        Some(self.named_after_adapter(answered.with_header(RUN_HEADER, &plan.run)))
    }

    fn send_piece(&mut self, completion: Completion) {
        let plan = &self.run.plan;
        let shaped = shape_piece(completion, &plan.run, plan.form);
        let event_text = format!("id: {}.{}\ndata: {shaped}\n\n", plan.run, self.piece_count);
        self.piece_count += 1;
        self.outbox.push_back(Bytes::from(event_text));
    }

    fn answer_whole(&mut self, completion: Completion) -> WebOutcome {
        let plan = &self.run.plan;
        Counts::add(&self.run.stand.counts.whole, 1);
        self.run.record("whole", self.first_ms);
        event!(info, "request_ended", run = plan.run, tenant = plan.tenant, outcome = "whole");
        let adapter = completion.adapter.clone();
        let answered = outcome_json(StatusCode::OK, &shape_whole(completion, &plan.run, plan.form))
            .with_header(RUN_HEADER, &plan.run)
            .with_header(OUTCOME_HEADER, "whole");
        match adapter {
            Some(adapter) => answered.with_header(ADAPTER_HEADER, &adapter),
            None => answered,
        }
    }

    /// The head of a stream names the adapter that it is made on.
    fn named_after_adapter(&self, answered: WebOutcome) -> WebOutcome {
        match self.shot.as_ref().and_then(|shot| shot.adapter.as_ref()) {
            Some(adapter) => answered.with_header(ADAPTER_HEADER, &adapter.to_string()),
            None => answered,
        }
    }

    /// Ends the stream; whole only once every piece and the end mark have been taken.
    fn end_stream(&mut self, cut: Option<Reason>) {
        let Some(sink) = self.sink.clone() else { return };
        let counts = &self.run.stand.counts;
        let (counter, outcome) = if cut.is_some() { (&counts.cut, "cut") } else { (&counts.whole, "whole") };
        Counts::add(counter, 1);
        let end_event = format!("id: {}.{}\ndata: {STREAM_END}\n\n", self.run.plan.run, self.piece_count);
        self.log_end(outcome, cut.as_ref().map_or("", |reason| &reason.told));
        if let (None, Some(first_ms), true) = (&cut, self.first_ms, self.piece_count > 1) {
            let streamed = boot_now().since(self.run.plan.began).as_millis().saturating_sub(first_ms);
            let pace = streamed as f64 / (self.piece_count - 1) as f64;
            let tenant = &self.run.plan.tenant;
            self.run.stand.note_policy(&self.policy, tenant, |figures| figures.pace.add(pace));
        }
        match cut {
            Some(reason) => sink.cut(reason),
            None => {
                let mut rest = std::mem::take(&mut self.outbox);
                rest.push_back(Bytes::from(end_event));
                let limit_left = self.run.plan.limit.since(boot_now()).as_duration().max(Duration::from_millis(500));
                tokio::spawn(async move { sink.finish(rest, limit_left).await });
            }
        }
    }

    fn log_end(&self, outcome: &str, reason: &str) {
        self.run.record(outcome, self.first_ms);
        event!(
            info,
            "request_ended",
            run = self.run.plan.run,
            tenant = self.run.plan.tenant,
            outcome = outcome,
            pieces = self.piece_count,
            engine = self.engine,
            reason = reason
        );
    }

    /// The final answer, given at once, with when to come back.
    fn give_up(&self, given_up: GivenUp) -> WebOutcome {
        let counts = &self.run.stand.counts;
        let plan = &self.run.plan;
        let GivenUp { kind, ran, reason } = given_up;
        if kind == GivenUpKind::Claimed {
            Counts::add(&counts.refused, 1);
            let message = "this key is claimed by an earlier request; it is not run again";
            let told = json!({"error": {"type": "claimed", "message": message}, "run": reason});
            return outcome_json(StatusCode::CONFLICT, &told).with_header(OUTCOME_HEADER, "claimed");
        }
        let may_have_run = ran == Ran::Perhaps;
        let (counter, outcome) =
            if may_have_run { (&counts.unknown, "unknown") } else { (&counts.not_run, "not_run") };
        Counts::add(counter, 1);
        self.log_end(outcome, &reason);
        let (status, error_type, told) = match (kind, may_have_run) {
            (GivenUpKind::LimitPassed, _) => (StatusCode::GATEWAY_TIMEOUT, outcome, "the limit passed"),
            (GivenUpKind::NoLease, _) => (StatusCode::SERVICE_UNAVAILABLE, "no_lease", "this router holds no lease"),
            (GivenUpKind::KeyWithdrawn, _) => (StatusCode::UNAUTHORIZED, "unknown_key", "the key was withdrawn"),
            (GivenUpKind::AdapterCold, false) => (StatusCode::SERVICE_UNAVAILABLE, "adapter_cold", reason.as_str()),
            (_, true) => (StatusCode::BAD_GATEWAY, outcome, reason.as_str()),
            (_, false) => (StatusCode::SERVICE_UNAVAILABLE, outcome, reason.as_str()),
        };
        let back_after = if kind == GivenUpKind::AdapterCold { COLD_BACK_AFTER_S } else { USUAL_BACK_AFTER_S };
        if kind == GivenUpKind::AdapterCold {
            Counts::add(&counts.adapter_cold, 1);
        }
        refuse(status, error_type, told)
            .with_header(OUTCOME_HEADER, outcome)
            .with_header(RUN_HEADER, &plan.run)
            .with_header("retry-after", back_after)
    }

    /// The engine does not hold the adapter, whatever the state says.
    fn note_cold(&self) {
        let Some(shot) = &self.shot else { return };
        let Some(adapter) = shot.adapter.clone() else { return };
        Counts::add(&self.run.stand.counts.adapter_refusals, 1);
        self.run.table.tell(TableCommand::Cold { engine: shot.place.engine.clone(), adapter });
    }

    fn note_fault(&self, reason: &str, ran: Ran, rests: bool) {
        let Some(shot) = &self.shot else { return };
        let tenant = &self.run.plan.tenant;
        self.run.stand.note_policy(&shot.placement.policy, tenant, |figures| figures.faults += 1);
        event!(
            warn,
            "shot_fault",
            shot = self.carriage.shot(),
            engine = shot.place.engine,
            reason = reason,
            ran = format!("{ran:?}").to_lowercase()
        );
        if rests {
            self.run.table.tell(TableCommand::Fault { engine: shot.place.engine.clone() });
        }
    }
}

impl Drop for Driver {
    /// A run dropped before its end was left by its caller.
    fn drop(&mut self) {
        if self.carriage.is_done() {
            return;
        }
        for effect in self.carriage.step(Input::CallerGone) {
            if effect == Effect::ReleaseClaim {
                self.release_claim();
            }
        }
        self.note_cancelled();
    }
}

/// A question about a prompt names the adapter that the prompt runs on.
fn name_adapter(question: Question, adapter: Option<&AdapterId>) -> Question {
    match adapter {
        Some(adapter) => question.header(ADAPTER_HEADER, adapter.to_string()),
        None => question,
    }
}

/// A piece, or a whole answer, if it was made on the adapter of its shot.
fn read_piece(data: &str, adapter: Option<&AdapterId>) -> Input {
    match serde_json::from_str::<Completion>(data) {
        Ok(completion) if !is_own_answer(adapter, completion.adapter.as_deref()) => {
            Input::Broken("an answer of another adapter".into())
        }
        Ok(completion) => {
            let finished = !completion.choices.is_empty()
                && completion.choices.iter().all(|choice| choice.finish_reason.is_some());
            Input::Piece { shot: completion.id.clone(), finished, piece: Box::new(completion) }
        }
        Err(fault) => Input::Broken(format!("unreadable piece: {fault}")),
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
    fn is_book(&self) -> bool {
        matches!(self, Sink::Book(_))
    }

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

    fn cut(&self, reason: Reason) {
        match self {
            Sink::Caller(pieces) => pieces.cut(cut_words(&reason)),
            Sink::Book(held_run) => held_run.end(HeldEnd::Cut(reason)),
        }
    }

    /// Sends the rest and ends cleanly; what cannot be sent in time is an aborted stream.
    async fn finish(&self, rest: VecDeque<Bytes>, limit_left: Duration) {
        let sending = async {
            for event in rest {
                if !self.send(event).await {
                    return false;
                }
            }
            true
        };
        let all_sent = tokio::time::timeout(limit_left, sending).await.unwrap_or(false);
        match self {
            Sink::Caller(pieces) if all_sent => pieces.finish(),
            Sink::Caller(_) => {}
            Sink::Book(held_run) if all_sent => held_run.end(HeldEnd::Whole),
            Sink::Book(_) => {
                self.cut(Reason { kind: "cut", told: "the run is too large to be held".into() });
            }
        }
    }
}
