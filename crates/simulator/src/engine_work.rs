//! Work of an engine on an attempt: start, prefill, answer according to its behavior, and end.

use crate::prelude::*;

/// Id of an unrelated attempt, whose pieces a misbehaving engine sends.
const FOREIGN_ATTEMPT: &str = "other.1.1";

impl World {
    pub fn handle_attempt(&mut self, number: usize, request: EngineRequest) {
        let now = self.now;
        let answer_at = now + self.net.delay(&mut self.rng);
        let head = |head, detail: &str| AttemptInput::Head { head, detail: detail.into() };
        let engine = &self.engines[number];
        if !engine.up {
            let input = AttemptInput::SendFault { byte_left: true, reason: "reset".into() };
            return self.send_to_run(&request.to, answer_at, input);
        }
        if !engine.accepting {
            return self.send_to_run(&request.to, answer_at, head(ResponseClass::NotStarted, "not_accepting"));
        }
        if engine.weights != request.weights {
            return self.send_to_run(&request.to, answer_at, head(ResponseClass::NotStarted, "other_weights"));
        }
        if !engine.holds(request.adapter.as_ref()) {
            return self.send_to_run(&request.to, answer_at, head(ResponseClass::NotStarted, ADAPTER_NOT_RESIDENT));
        }
        let (at, behavior) =
            (self.millis(), if engine.behavior_until > now { engine.behavior } else { EngineBehavior::Good });
        let cached_count = engine.cache.overlap(&request.names);
        let line = start_line(at, engine, &request, cached_count);
        self.record.engines.push(EngineLogLine::Start(line));
        self.use_blocks(number, &request, cached_count);
        let missing_blocks = (request.names.len() - cached_count) as u64;
        let slow_span = if behavior == EngineBehavior::Late { self.rng.between(2_000, 9_000) } else { 0 };
        let begins_at = now + Span::millis(self.rng.between(1, 20) + missing_blocks * 4 + slow_span);
        let attempt = EngineAttempt {
            to: request.to.clone(),
            tokens: request.tokens,
            place: 0,
            begins_at,
            streams: request.streams,
            adapter: request.adapter.clone(),
            limit: now + request.limit,
            behavior,
            last_sent_at: begins_at,
            head_sent: false,
        };
        let next_step_at = begins_at.min(attempt.limit);
        let engine = &mut self.engines[number];
        let boot = engine.cache.boot;
        engine.attempts.insert(request.to.attempt.clone(), attempt);
        self.schedule_at(next_step_at, SimEvent::EngineStep { engine: number, boot, attempt: request.to.attempt });
    }

    /// In a split pool, prefills a prompt that another engine will decode and caches its blocks.
    pub fn handle_prefill(&mut self, number: usize, request: EngineRequest) {
        let delay = self.net.delay(&mut self.rng);
        let at = self.millis();
        let engine = &self.engines[number];
        let done = SimEvent::PrefillDone { to: request.to.clone() };
        if !engine.up
            || !engine.accepting
            || engine.weights != request.weights
            || !engine.holds(request.adapter.as_ref())
        {
            return self.schedule_after(delay, done);
        }
        let cached_count = engine.cache.overlap(&request.names);
        let line = start_line(at, engine, &request, cached_count);
        self.record.engines.push(EngineLogLine::Prefill(line));
        self.use_blocks(number, &request, cached_count);
        let missing_blocks = (request.names.len() - cached_count) as u64;
        let span = Span::millis(self.rng.between(1, 20) + missing_blocks * 4);
        self.schedule_after(span + delay, done);
    }

    /// Checks the origin of the blocks that an attempt uses, cached and fetched, and then caches all blocks of its
    /// prompt.
    fn use_blocks(&mut self, number: usize, request: &EngineRequest, cached_count: usize) {
        let mut used: Vec<(BlockHash, BlockOrigin)> = Vec::new();
        let engine = &self.engines[number];
        used.extend(
            request.names[..cached_count].iter().filter_map(|name| Some((*name, engine.cache.origin(name)?.clone()))),
        );
        for run in &request.fetches {
            let source = match &run.from {
                FetchFrom::Store => Some(&self.store),
                FetchFrom::Peer(peer) => {
                    self.engines.iter().find(|known| known.name == *peer && known.up).map(|known| &known.cache)
                }
            };
            let Some(source) = source else { break };
            let wanted = &request.names[used.len()..];
            if !wanted.starts_with(&run.names) {
                break;
            }
            if let FetchFrom::Peer(peer) = &run.from {
                let (at, engine) = (self.now.0 / 1_000_000, peer.0.clone());
                self.record.engines.push(EngineLogLine::Asked { at, engine });
            }
            let fetched: Vec<(BlockHash, BlockOrigin)> =
                run.names.iter().map_while(|name| Some((*name, source.origin(name)?.clone()))).collect();
            let is_short = fetched.len() < run.names.len();
            used.extend(fetched);
            if is_short {
                break;
            }
        }
        let weights = engine.weights;
        self.record_foreign_use(weights, request, &used);
        let origin = || BlockOrigin { weights, tenant: request.tenant.clone(), adapter: request.adapter.clone() };
        let fresh = request.names[used.len()..].iter().map(|name| (*name, origin()));
        let kept: Vec<(BlockHash, BlockOrigin)> = used.iter().cloned().chain(fresh).collect();
        self.store.insert(kept.clone());
        self.engines[number].cache.insert(kept);
    }

    /// Records the used blocks that were computed on other weights, for another tenant or with another adapter.
    fn record_foreign_use(
        &mut self,
        weights: WeightsEdition,
        request: &EngineRequest,
        used: &[(BlockHash, BlockOrigin)],
    ) {
        let at = self.millis();
        for (_, origin) in used {
            if origin.weights != weights || origin.tenant != request.tenant {
                self.record.events.push(EventLine::MemoryUsed {
                    at,
                    attempt: request.to.attempt.clone(),
                    weights: weights.0,
                    made_on: origin.weights.0,
                    tenant: request.tenant.0.clone(),
                    made_for: origin.tenant.0.clone(),
                });
            }
            if origin.adapter != request.adapter {
                self.record.events.push(EventLine::AdapterMemoryUsed {
                    at,
                    attempt: request.to.attempt.clone(),
                    adapter: adapter_text(request.adapter.as_ref()),
                    made_under: adapter_text(origin.adapter.as_ref()),
                });
            }
        }
    }

    /// Does one step of an engine's work on an attempt.
    pub fn step_attempt(&mut self, number: usize, boot: u64, attempt_name: String) {
        let now = self.now;
        let delay = self.net.delay(&mut self.rng);
        let pause = Span::millis(self.rng.between(20, 90));
        let engine = &mut self.engines[number];
        if engine.cache.boot != boot || !engine.up {
            return;
        }
        let Some(mut attempt) = engine.attempts.remove(&attempt_name) else { return };
        let sent_at = attempt.last_sent_at.max(now + delay);
        if now >= attempt.limit {
            self.send_to_run(&attempt.to, sent_at, out_of_time(&attempt));
            return self.end_engine_attempt(number, &attempt, false);
        }
        if matches!(attempt.behavior, EngineBehavior::Silent) || now < attempt.begins_at {
            let begins_at = if now < attempt.begins_at { attempt.begins_at } else { attempt.limit };
            let next_step_at = begins_at.min(attempt.limit);
            engine.attempts.insert(attempt_name.clone(), attempt);
            return self
                .schedule_at(next_step_at, SimEvent::EngineStep { engine: number, boot, attempt: attempt_name });
        }
        attempt.last_sent_at = sent_at;
        if self.ends_early(&mut attempt, sent_at) {
            return self.end_engine_attempt(number, &attempt, false);
        }
        if attempt.place == attempt.tokens {
            self.send_end(&attempt, sent_at);
            let is_whole = attempt.behavior != EngineBehavior::Partial;
            return self.end_engine_attempt(number, &attempt, is_whole);
        }
        if attempt.streams {
            self.send_piece(&attempt, sent_at);
        }
        attempt.place += 1;
        self.engines[number].attempts.insert(attempt_name.clone(), attempt);
        self.schedule_after(pause, SimEvent::EngineStep { engine: number, boot, attempt: attempt_name });
    }

    /// Sends the head if it is due, and the error or early end that the engine's behavior calls for. Returns whether
    /// the attempt has ended.
    fn ends_early(&mut self, attempt: &mut EngineAttempt, sent_at: Instant) -> bool {
        if attempt.behavior == EngineBehavior::Refuses {
            let detail = "engine answered 500".into();
            self.send_to_run(&attempt.to, sent_at, AttemptInput::Head { head: ResponseClass::Failure, detail });
            return true;
        }
        if !attempt.head_sent && (attempt.streams || attempt.place == attempt.tokens) {
            attempt.head_sent = true;
            let input = AttemptInput::Head { head: ResponseClass::Success, detail: String::new() };
            self.send_to_run(&attempt.to, sent_at, input);
        }
        let early_end = match attempt.behavior {
            EngineBehavior::Breaks(after) => (attempt.place >= after).then(|| AttemptInput::Broken("reset".into())),
            EngineBehavior::EndsEarly(after) => (attempt.place >= after).then_some(AttemptInput::Closed),
            EngineBehavior::Partial if attempt.streams => {
                (attempt.place >= attempt.tokens / 2).then_some(AttemptInput::Closed)
            }
            _ => None,
        };
        let Some(input) = early_end else { return false };
        self.send_to_run(&attempt.to, sent_at, input);
        true
    }

    fn send_piece(&mut self, attempt: &EngineAttempt, sent_at: Instant) {
        let is_foreign = attempt.behavior == EngineBehavior::Foreign
            || attempt.behavior == EngineBehavior::ForeignPiece(attempt.place);
        let named = if is_foreign { FOREIGN_ATTEMPT } else { &attempt.to.attempt };
        self.send_to_run(&attempt.to, sent_at, piece_of(named, attempt.place, false, attempt.named_adapter()));
    }

    /// Sends the end mark and the end of a stream, or a whole answer.
    fn send_end(&mut self, attempt: &EngineAttempt, sent_at: Instant) {
        if attempt.streams {
            self.send_to_run(&attempt.to, sent_at, AttemptInput::EndMark);
            if attempt.behavior == EngineBehavior::GoesOn {
                self.send_to_run(
                    &attempt.to,
                    sent_at,
                    piece_of(&attempt.to.attempt, attempt.place, true, attempt.named_adapter()),
                );
            }
            return self.send_to_run(&attempt.to, sent_at, AttemptInput::Closed);
        }
        let finished = attempt.behavior != EngineBehavior::Partial;
        let is_foreign = matches!(attempt.behavior, EngineBehavior::Foreign | EngineBehavior::ForeignPiece(_));
        let named = if is_foreign { FOREIGN_ATTEMPT } else { &attempt.to.attempt };
        let place = if finished { attempt.tokens } else { attempt.tokens / 2 };
        self.send_to_run(&attempt.to, sent_at, piece_of(named, place, finished, attempt.named_adapter()));
    }

    pub(crate) fn end_engine_attempt(&mut self, number: usize, attempt: &EngineAttempt, whole: bool) {
        let at = self.millis();
        let (engine, attempt_name) = (self.engines[number].name.0.clone(), attempt.to.attempt.clone());
        self.record.engines.push(EngineLogLine::End {
            at,
            engine,
            attempt: attempt_name,
            pieces: attempt.place,
            whole,
        });
    }

    pub(crate) fn send_to_run(&mut self, to: &AttemptAddress, at: Instant, input: AttemptInput<SimPiece>) {
        self.schedule_at(at, SimEvent::RunInput { to: to.clone(), input });
    }
}

/// The engine's answer to an attempt whose time limit has passed.
fn out_of_time(attempt: &EngineAttempt) -> AttemptInput<SimPiece> {
    let detail = String::from("limit_passed");
    match attempt.head_sent {
        true => AttemptInput::Broken(detail),
        false => AttemptInput::Head { head: ResponseClass::OutOfTime, detail },
    }
}

fn piece_of(attempt: &str, place: u64, finished: bool, adapter: Option<AdapterId>) -> AttemptInput<SimPiece> {
    let piece = SimPiece { attempt: attempt.into(), place, adapter };
    AttemptInput::Piece { attempt: attempt.into(), finished, piece }
}

fn start_line(at: u64, engine: &SimEngine, request: &EngineRequest, cached_count: usize) -> StartLine {
    StartLine {
        at,
        engine: engine.name.0.clone(),
        attempt: request.to.attempt.clone(),
        salt: request.salt.0.clone(),
        weights: engine.weights.0,
        adapter: adapter_text(request.adapter.as_ref()),
        prompt_blocks: request.names.len() as u64,
        cached_blocks: cached_count as u64,
    }
}
