//! What an engine does with an attempt: it begins, prefills, answers in its manner, and ends.

use crate::prelude::*;

/// Another attempt, whose pieces a misbehaving engine sends.
const FOREIGN_ATTEMPT: &str = "other.1.1";

impl World {
    pub fn engine_gets(&mut self, number: usize, ask: EngineAsk) {
        let now = self.now;
        let answer_at = now + self.net.delay(&mut self.draw);
        let head = |head, told: &str| AttemptInput::Head { head, detail: told.into() };
        let engine = &self.engines[number];
        if !engine.up {
            let input = AttemptInput::SendFault { byte_left: true, reason: "reset".into() };
            return self.tell_run(&ask.to, answer_at, input);
        }
        if !engine.accepting {
            return self.tell_run(&ask.to, answer_at, head(ResponseClass::NotStarted, "not_accepting"));
        }
        if engine.weights != ask.weights {
            return self.tell_run(&ask.to, answer_at, head(ResponseClass::NotStarted, "other_weights"));
        }
        if !engine.holds(ask.adapter.as_ref()) {
            return self.tell_run(&ask.to, answer_at, head(ResponseClass::NotStarted, ADAPTER_NOT_RESIDENT));
        }
        let (at, manner) = (self.millis(), if engine.manner_until > now { engine.manner } else { Manner::Good });
        let own_count = engine.memory.overlap(&ask.names);
        let line = start_line(at, engine, &ask, own_count);
        self.record.engines.push(EngineLogLine::Start(line));
        self.use_memory(number, &ask, own_count);
        let lacking = (ask.names.len() - own_count) as u64;
        let slow_span = if manner == Manner::Late { self.draw.between(2_000, 9_000) } else { 0 };
        let begins_at = now + Span::millis(self.draw.between(1, 20) + lacking * 4 + slow_span);
        let attempt = EngineAttempt {
            to: ask.to.clone(),
            tokens: ask.tokens,
            place: 0,
            begins_at,
            streams: ask.streams,
            adapter: ask.adapter.clone(),
            limit: now + ask.limit,
            manner,
            told_until: begins_at,
            headed: false,
        };
        let looks_at = begins_at.min(attempt.limit);
        let engine = &mut self.engines[number];
        let boot = engine.memory.boot;
        engine.attempts.insert(ask.to.attempt.clone(), attempt);
        self.at(looks_at, SimEvent::EngineWorks { engine: number, boot, attempt: ask.to.attempt });
    }

    /// In a split pool: prefills and keeps a prompt that another engine is to decode.
    pub fn engine_prefills(&mut self, number: usize, ask: EngineAsk) {
        let delay = self.net.delay(&mut self.draw);
        let at = self.millis();
        let engine = &self.engines[number];
        let told = SimEvent::Prefilled { to: ask.to.clone() };
        if !engine.up || !engine.accepting || engine.weights != ask.weights || !engine.holds(ask.adapter.as_ref()) {
            return self.later(delay, told);
        }
        let own_count = engine.memory.overlap(&ask.names);
        let line = start_line(at, engine, &ask, own_count);
        self.record.engines.push(EngineLogLine::Prefill(line));
        self.use_memory(number, &ask, own_count);
        let lacking = (ask.names.len() - own_count) as u64;
        let span = Span::millis(self.draw.between(1, 20) + lacking * 4);
        self.later(span + delay, told);
    }

    /// The blocks an attempt is served from, its own and the fetched, are judged; then all are kept.
    fn use_memory(&mut self, number: usize, ask: &EngineAsk, own_count: usize) {
        let mut used: Vec<(BlockHash, Made)> = Vec::new();
        let engine = &self.engines[number];
        used.extend(
            ask.names[..own_count].iter().filter_map(|name| Some((*name, engine.memory.made(name)?.clone()))),
        );
        for run in &ask.fetches {
            let source = match &run.from {
                FetchFrom::Store => Some(&self.store),
                FetchFrom::Peer(peer) => {
                    self.engines.iter().find(|known| known.name == *peer && known.up).map(|known| &known.memory)
                }
            };
            let Some(source) = source else { break };
            let wanted = &ask.names[used.len()..];
            if !wanted.starts_with(&run.names) {
                break;
            }
            if let FetchFrom::Peer(peer) = &run.from {
                let (at, engine) = (self.now.0 / 1_000_000, peer.0.clone());
                self.record.engines.push(EngineLogLine::Asked { at, engine });
            }
            let fetched: Vec<(BlockHash, Made)> =
                run.names.iter().map_while(|name| Some((*name, source.made(name)?.clone()))).collect();
            let is_short = fetched.len() < run.names.len();
            used.extend(fetched);
            if is_short {
                break;
            }
        }
        let weights = engine.weights;
        self.record_foreign_use(weights, ask, &used);
        let made = || Made { weights, tenant: ask.tenant.clone(), adapter: ask.adapter.clone() };
        let fresh = ask.names[used.len()..].iter().map(|name| (*name, made()));
        let kept: Vec<(BlockHash, Made)> = used.iter().cloned().chain(fresh).collect();
        self.store.keep(kept.clone());
        self.engines[number].memory.keep(kept);
    }

    /// Records the blocks used that were made on other weights, for another tenant or under another adapter.
    fn record_foreign_use(&mut self, weights: WeightsEdition, ask: &EngineAsk, used: &[(BlockHash, Made)]) {
        let at = self.millis();
        for (_, made) in used {
            if made.weights != weights || made.tenant != ask.tenant {
                self.record.events.push(EventLine::MemoryUsed {
                    at,
                    attempt: ask.to.attempt.clone(),
                    weights: weights.0,
                    made_on: made.weights.0,
                    tenant: ask.tenant.0.clone(),
                    made_for: made.tenant.0.clone(),
                });
            }
            if made.adapter != ask.adapter {
                self.record.events.push(EventLine::AdapterMemoryUsed {
                    at,
                    attempt: ask.to.attempt.clone(),
                    adapter: written(ask.adapter.as_ref()),
                    made_under: written(made.adapter.as_ref()),
                });
            }
        }
    }

    /// One step of an engine's work on an attempt.
    pub fn engine_works(&mut self, number: usize, boot: u64, attempt_name: String) {
        let now = self.now;
        let delay = self.net.delay(&mut self.draw);
        let pause = Span::millis(self.draw.between(20, 90));
        let engine = &mut self.engines[number];
        if engine.memory.boot != boot || !engine.up {
            return;
        }
        let Some(mut attempt) = engine.attempts.remove(&attempt_name) else { return };
        let told_at = attempt.told_until.max(now + delay);
        if now >= attempt.limit {
            self.tell_run(&attempt.to, told_at, out_of_time(&attempt));
            return self.end_engine_attempt(number, &attempt, false);
        }
        if matches!(attempt.manner, Manner::Silent) || now < attempt.begins_at {
            let begins_at = if now < attempt.begins_at { attempt.begins_at } else { attempt.limit };
            let looks_at = begins_at.min(attempt.limit);
            engine.attempts.insert(attempt_name.clone(), attempt);
            return self.at(looks_at, SimEvent::EngineWorks { engine: number, boot, attempt: attempt_name });
        }
        attempt.told_until = told_at;
        if self.breaks_off(&mut attempt, told_at) {
            return self.end_engine_attempt(number, &attempt, false);
        }
        if attempt.place == attempt.tokens {
            self.tell_end(&attempt, told_at);
            let is_whole = attempt.manner != Manner::Partial;
            return self.end_engine_attempt(number, &attempt, is_whole);
        }
        if attempt.streams {
            self.tell_piece(&attempt, told_at);
        }
        attempt.place += 1;
        self.engines[number].attempts.insert(attempt_name.clone(), attempt);
        self.later(pause, SimEvent::EngineWorks { engine: number, boot, attempt: attempt_name });
    }

    /// Answers with an error, or with a head and then a stream that ends too early, if that is its manner.
    fn breaks_off(&mut self, attempt: &mut EngineAttempt, told_at: Instant) -> bool {
        if attempt.manner == Manner::Refuses {
            let told = "engine answered 500".into();
            self.tell_run(&attempt.to, told_at, AttemptInput::Head { head: ResponseClass::Failure, detail: told });
            return true;
        }
        if !attempt.headed && (attempt.streams || attempt.place == attempt.tokens) {
            attempt.headed = true;
            let input = AttemptInput::Head { head: ResponseClass::Success, detail: String::new() };
            self.tell_run(&attempt.to, told_at, input);
        }
        let early_end = match attempt.manner {
            Manner::Breaks(after) => (attempt.place >= after).then(|| AttemptInput::Broken("reset".into())),
            Manner::EndsEarly(after) => (attempt.place >= after).then_some(AttemptInput::Closed),
            Manner::Partial if attempt.streams => {
                (attempt.place >= attempt.tokens / 2).then_some(AttemptInput::Closed)
            }
            _ => None,
        };
        let Some(input) = early_end else { return false };
        self.tell_run(&attempt.to, told_at, input);
        true
    }

    fn tell_piece(&mut self, attempt: &EngineAttempt, told_at: Instant) {
        let is_foreign = attempt.manner == Manner::Foreign || attempt.manner == Manner::ForeignPiece(attempt.place);
        let named = if is_foreign { FOREIGN_ATTEMPT } else { &attempt.to.attempt };
        self.tell_run(&attempt.to, told_at, piece_of(named, attempt.place, false, attempt.names()));
    }

    /// A stream's end mark and end, or the whole answer.
    fn tell_end(&mut self, attempt: &EngineAttempt, told_at: Instant) {
        if attempt.streams {
            self.tell_run(&attempt.to, told_at, AttemptInput::EndMark);
            if attempt.manner == Manner::GoesOn {
                self.tell_run(
                    &attempt.to,
                    told_at,
                    piece_of(&attempt.to.attempt, attempt.place, true, attempt.names()),
                );
            }
            return self.tell_run(&attempt.to, told_at, AttemptInput::Closed);
        }
        let finished = attempt.manner != Manner::Partial;
        let is_foreign = matches!(attempt.manner, Manner::Foreign | Manner::ForeignPiece(_));
        let named = if is_foreign { FOREIGN_ATTEMPT } else { &attempt.to.attempt };
        let place = if finished { attempt.tokens } else { attempt.tokens / 2 };
        self.tell_run(&attempt.to, told_at, piece_of(named, place, finished, attempt.names()));
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

    pub(crate) fn tell_run(&mut self, to: &AttemptPlaceName, at: Instant, input: AttemptInput<SimPiece>) {
        self.at(at, SimEvent::RunInput { to: to.clone(), input });
    }
}

/// How an attempt is told that its limit has passed.
fn out_of_time(attempt: &EngineAttempt) -> AttemptInput<SimPiece> {
    let told = String::from("limit_passed");
    match attempt.headed {
        true => AttemptInput::Broken(told),
        false => AttemptInput::Head { head: ResponseClass::OutOfTime, detail: told },
    }
}

fn piece_of(attempt: &str, place: u64, finished: bool, adapter: Option<AdapterId>) -> AttemptInput<SimPiece> {
    let piece = SimPiece { attempt: attempt.into(), place, adapter };
    AttemptInput::Piece { attempt: attempt.into(), finished, piece }
}

fn start_line(at: u64, engine: &SimEngine, ask: &EngineAsk, own_count: usize) -> StartLine {
    StartLine {
        at,
        engine: engine.name.0.clone(),
        attempt: ask.to.attempt.clone(),
        salt: ask.salt.0.clone(),
        weights: engine.weights.0,
        adapter: written(ask.adapter.as_ref()),
        prompt_blocks: ask.names.len() as u64,
        cached_blocks: own_count as u64,
    }
}
