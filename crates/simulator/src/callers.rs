//! Callers in virtual time: what they ask, how they leave, come back and ask again, and the check of
//! every piece they get.

use crate::prelude::*;

const PATIENCE: Span = Span::seconds(13);
const MOST_RESUMES: u64 = 6;

pub struct SimCaller {
    pub line: CallerLine,
    pub request: SimRequest,
    is_done: bool,
    /// Its stream is broken; it comes back for the rest.
    is_away: bool,
    /// Breaks its own stream after so many pieces.
    leaves_after: Option<u64>,
    resumes: u64,
    /// Which of its streams this is: the first, or one it resumed on.
    pub stream: u64,
    asked_again: bool,
}

/// A caller's stream that its caller closed.
#[derive(Clone, Copy, Debug)]
pub struct CallerLeft {
    node: usize,
    router: NodeId,
    run: u64,
    caller: usize,
    stream: u64,
}

/// What reaches a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerNews {
    Piece(SimPiece),
    Whole(SimPiece),
    End,
    Cut(&'static str),
    Final {
        status: u16,
        outcome: &'static str,
    },
    /// The stream broke without a word.
    Lost,
    NoAnswer,
    /// A resume is refused for now.
    Refused,
    /// What was to be resumed is not held any more.
    Gone,
}

impl SimCaller {
    /// A new stream takes the place of the one that broke.
    pub fn attach(&mut self) -> u64 {
        self.is_away = false;
        self.stream += 1;
        self.stream
    }
}

impl World {
    /// Whether a caller still listens on that stream.
    pub fn is_attached(&self, (caller, stream): (usize, u64)) -> bool {
        let listener = &self.callers[caller];
        !listener.is_away && listener.stream == stream
    }

    /// A new request to a router.
    pub fn call(&mut self, node: usize) {
        let request = self.draw_request();
        self.ask_router(node, request);
    }

    /// A request whose answer takes long.
    pub fn call_long(&mut self, node: usize, tenant: TenantName, key_hash: String) {
        let request = SimRequest { tenant, key_hash, tokens: 172, ..self.draw_request() };
        let limit = Span::seconds(10);
        let request = SimRequest { streams: true, resumes: false, idempotency_key: None, limit, ..request };
        self.ask_router(node, request);
    }

    pub fn draw_request(&mut self) -> SimRequest {
        let is_long = self.draw.chance(8);
        let place = match self.draw.chance(if is_long { 30 } else { 70 }) {
            true => self.draw.below(TENANTS as u64) as usize,
            false => self.keys.len() - 1 - self.draw.below(self.keys.len().min(16) as u64) as usize,
        };
        let (key_hash, tenant) = self.keys[place].clone();
        let shared_prefix = self.draw.below(4);
        let own_number = if self.draw.chance(40) { self.draw.below(4) } else { self.draw.next_u64() };
        let text = format!("{:-<192}{:-<64}", format!("prefix {shared_prefix} "), format!("own {own_number} "));
        let streams = self.draw.chance(70);
        let repeatable = self.draw.chance(30);
        let tokens = if is_long { self.draw.between(60, 165) } else { self.draw.between(1, 8) };
        let resumes = streams && self.draw.chance(30);
        let idempotency_key = (!repeatable && self.draw.chance(12)).then(|| self.draw.next_u64());
        let limit = Span::millis(if is_long { 10_000 } else { self.draw.between(5_000, 10_000) });
        SimRequest {
            tenant: TenantName(tenant),
            key_hash,
            text,
            tokens,
            streams,
            repeatable,
            resumes,
            idempotency_key,
            limit,
            question: None,
        }
    }

    pub fn ask_router(&mut self, node: usize, request: SimRequest) {
        let at = self.millis();
        let leaves_after = (request.streams && self.draw.chance(if request.resumes { 60 } else { 5 }))
            .then(|| self.draw.below(request.tokens))
            .filter(|_| request.question.is_none());
        let line = CallerLine {
            at,
            ended: at,
            router: format!("n{node}"),
            tenant: request.tenant.0.clone(),
            key: request.key_hash.clone(),
            kind: if request.streams { "streamed".into() } else { "whole".into() },
            repeatable: request.repeatable,
            streams: request.streams,
            question: request.question.map(|(number, _)| format!("q{number}")).unwrap_or_default(),
            idempotency: request.idempotency_key.map(|key| key.to_string()).unwrap_or_default(),
            ..CallerLine::default()
        };
        let caller = self.callers.len();
        self.callers.push(SimCaller {
            line,
            request: request.clone(),
            is_done: false,
            is_away: false,
            leaves_after,
            resumes: 0,
            stream: 0,
            asked_again: false,
        });
        let delay = self.net.delay(&mut self.draw) + self.caller_distance;
        self.later(delay, SimEvent::Enters { node, caller, request });
        self.later(PATIENCE, SimEvent::PatienceEnds { caller });
    }

    pub fn lose_patience(&mut self, caller: usize) {
        if !self.callers[caller].is_done {
            self.leave(caller);
            self.end_call(caller, 0, "no_answer");
        }
    }

    /// The caller's end of the stream is closed; the run hears of it.
    fn leave(&mut self, caller: usize) {
        let Some(named) = EventId::read(&self.callers[caller].line.run) else { return };
        let holds = |node: &SimNode| node.router.as_ref().is_some_and(|router| router.id == named.router);
        let Some(node) = self.nodes.iter().position(holds) else { return };
        let delay = self.net.delay(&mut self.draw);
        let stream = self.callers[caller].stream;
        let left = CallerLeft { node, router: named.router, run: named.run, caller, stream };
        self.later(delay, SimEvent::CallerLeft(left));
    }

    pub fn hear_caller_left(&mut self, left: CallerLeft) {
        let woken_at = self.nodes[left.node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, SimEvent::CallerLeft(left));
        }
        let known = self.nodes[left.node].router.as_mut().filter(|known| known.id == left.router);
        let Some(left_run) = known.and_then(|known| known.runs.get_mut(&left.run)) else { return };
        if left_run.caller != Some((left.caller, left.stream)) {
            return;
        }
        left_run.caller = None;
        self.drive(left.node, left.router, left.run, AttemptInput::CallerGone);
    }

    pub fn caller_gets(&mut self, number: usize, news: CallerNews) {
        let at = self.millis();
        let caller = &mut self.callers[number];
        if caller.is_done {
            return;
        }
        let comes_back = caller.request.resumes && caller.line.pieces > 0 && caller.resumes < MOST_RESUMES;
        match news {
            CallerNews::Piece(piece) => self.take_piece(number, piece),
            CallerNews::Whole(piece) => {
                caller.line.attempt = piece.attempt.clone();
                caller.line.last_at = at;
                caller.line.pieces = piece.place;
                caller.line.adapter = written(piece.adapter.as_ref());
                if !piece.attempt.starts_with(&format!("{}.", caller.line.run)) {
                    caller.line.wrong = format!("the answer of attempt {}", piece.attempt);
                } else if piece.place != caller.request.tokens {
                    caller.line.wrong = format!("{} of {} pieces", piece.place, caller.request.tokens);
                }
                self.end_call(number, 200, "whole");
            }
            CallerNews::End => {
                if caller.line.pieces != caller.request.tokens && caller.line.wrong.is_empty() {
                    caller.line.wrong = format!("{} of {} pieces", caller.line.pieces, caller.request.tokens);
                }
                self.end_call(number, 200, "whole");
            }
            CallerNews::Cut("key_withdrawn") => self.end_call(number, 200, "withdrawn"),
            CallerNews::Cut(_) => self.end_call(number, 200, "cut"),
            CallerNews::Final { status, outcome } => self.end_call(number, status, outcome),
            CallerNews::Lost if comes_back => self.come_back(number),
            CallerNews::Lost if caller.line.pieces > 0 => self.end_call(number, 200, "cut"),
            CallerNews::Lost | CallerNews::NoAnswer => self.end_call(number, 0, "no_answer"),
            CallerNews::Refused if comes_back => self.come_back(number),
            CallerNews::Refused => self.end_call(number, 200, "cut"),
            CallerNews::Gone => self.end_call(number, 200, "cancelled"),
        }
    }

    fn take_piece(&mut self, number: usize, piece: SimPiece) {
        let at = self.millis();
        let caller = &mut self.callers[number];
        let line = &mut caller.line;
        if line.pieces == 0 {
            line.first_ms = Some(at - line.at);
            line.attempt = piece.attempt.clone();
            line.adapter = written(piece.adapter.as_ref());
        }
        let fault = if !piece.attempt.starts_with(&format!("{}.", line.run)) {
            Some(format!("a piece of attempt {}", piece.attempt))
        } else if piece.attempt != line.attempt {
            Some(format!("joins attempts {} and {}", line.attempt, piece.attempt))
        } else if written(piece.adapter.as_ref()) != line.adapter {
            Some("joins two adapters".into())
        } else if piece.place != line.pieces {
            Some(format!("piece {} where {} was due", piece.place, line.pieces))
        } else {
            None
        };
        if let Some(fault) = fault.filter(|_| line.wrong.is_empty()) {
            line.wrong = fault;
        }
        line.pieces += 1;
        line.last_at = at;
        if caller.leaves_after != Some(line.pieces) {
            return;
        }
        caller.leaves_after = None;
        self.leave(number);
        match self.callers[number].request.resumes {
            true => self.come_back(number),
            false => self.end_call(number, 200, "cancelled"),
        }
    }

    fn come_back(&mut self, number: usize) {
        let node = self.draw.below(self.nodes.len() as u64) as usize;
        let caller = &mut self.callers[number];
        caller.is_away = true;
        caller.resumes += 1;
        let pause = Span::millis(self.draw.between(20, 1500));
        self.later(pause, SimEvent::ComesBack { node, caller: number });
    }

    pub fn hear_comes_back(&mut self, node: usize, number: usize) {
        if self.callers[number].is_done {
            return;
        }
        self.resume(node, number, false);
    }

    fn end_call(&mut self, number: usize, status: u16, outcome: &str) {
        let at = self.millis();
        let caller = &mut self.callers[number];
        if std::mem::replace(&mut caller.is_done, true) {
            return;
        }
        caller.line.ended = at;
        caller.line.status = status;
        caller.line.outcome = outcome.to_owned();
        let line = caller.line.clone();
        self.record.callers.push(line);
        self.ask_question_again(number, outcome);
        let caller = &mut self.callers[number];
        let asks_again = caller.request.idempotency_key.is_some()
            && matches!(outcome, "unknown" | "no_answer" | "cut" | "not_run")
            && !std::mem::replace(&mut caller.asked_again, true);
        if asks_again && self.draw.chance(70) {
            let request = caller.request.clone();
            let node = self.draw.below(self.nodes.len() as u64) as usize;
            let pause = Span::millis(self.draw.between(1, 800));
            self.later(pause, SimEvent::AsksAgain { node, request });
        }
    }

    pub fn ask_again(&mut self, node: usize, request: SimRequest) {
        self.ask_router(node, request);
    }
}
