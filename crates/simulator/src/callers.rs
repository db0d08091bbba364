//! Simulated callers: what they request, how they disconnect, resume and retry, and the check of every piece they
//! receive.

use crate::prelude::*;

const CALLER_TIMEOUT: Span = Span::seconds(13);
const MAX_RESUMES: u64 = 6;

/// A caller with its request and its line in the record.
pub struct SimCaller {
    pub line: CallerLine,
    pub request: SimRequest,
    is_done: bool,
    /// Its stream is broken and it will reconnect for the rest.
    is_disconnected: bool,
    /// Closes its stream after this many pieces.
    disconnects_after: Option<u64>,
    resumes: u64,
    /// Number of its current stream: 0 for the first, one more for each resume.
    pub stream: u64,
    has_retried: bool,
}

/// A stream that was closed by its caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerDisconnect {
    node: usize,
    router: NodeId,
    run: u64,
    caller: usize,
    stream: u64,
}

/// A message from a router to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    Piece(SimPiece),
    Whole(SimPiece),
    End,
    Cut(&'static str),
    Final {
        status: u16,
        outcome: &'static str,
    },
    /// The stream broke without an end.
    Lost,
    NoAnswer,
    /// A resume is refused for the moment; the caller may try again.
    Refused,
    /// The run to be resumed is no longer held.
    Gone,
}

impl SimCaller {
    /// Opens a new stream in place of the broken one and returns its number.
    pub fn attach(&mut self) -> u64 {
        self.is_disconnected = false;
        self.stream += 1;
        self.stream
    }
}

impl World {
    /// Whether the caller still reads from this stream.
    pub fn is_attached(&self, (caller, stream): (usize, u64)) -> bool {
        let listener = &self.callers[caller];
        !listener.is_disconnected && listener.stream == stream
    }

    /// Sends a new random request to a router.
    pub fn send_random_request(&mut self, node: usize) {
        let request = self.random_request();
        self.send_request(node, request);
    }

    /// Sends a streaming request with a long answer.
    pub fn send_long_request(&mut self, node: usize, tenant: TenantName, key_hash: String) {
        let request = SimRequest { tenant, key_hash, tokens: 172, ..self.random_request() };
        let limit = Span::seconds(10);
        let request = SimRequest { streams: true, resumes: false, idempotency_key: None, limit, ..request };
        self.send_request(node, request);
    }

    /// Draws a random request without a question.
    pub fn random_request(&mut self) -> SimRequest {
        let is_long = self.rng.chance(8);
        let place = match self.rng.chance(if is_long { 30 } else { 70 }) {
            true => self.rng.below(TENANTS as u64) as usize,
            false => self.keys.len() - 1 - self.rng.below(self.keys.len().min(16) as u64) as usize,
        };
        let (key_hash, tenant) = self.keys[place].clone();
        let shared_prefix = self.rng.below(4);
        let own_number = if self.rng.chance(40) { self.rng.below(4) } else { self.rng.next_u64() };
        let text = format!("{:-<192}{:-<64}", format!("prefix {shared_prefix} "), format!("own {own_number} "));
        let streams = self.rng.chance(70);
        let repeatable = self.rng.chance(30);
        let tokens = if is_long { self.rng.between(60, 165) } else { self.rng.between(1, 8) };
        let resumes = streams && self.rng.chance(30);
        let idempotency_key = (!repeatable && self.rng.chance(12)).then(|| self.rng.next_u64());
        let limit = Span::millis(if is_long { 10_000 } else { self.rng.between(5_000, 10_000) });
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

    /// Creates a caller and sends its request to a router.
    pub fn send_request(&mut self, node: usize, request: SimRequest) {
        let at = self.millis();
        let disconnects_after = (request.streams && self.rng.chance(if request.resumes { 60 } else { 5 }))
            .then(|| self.rng.below(request.tokens))
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
            is_disconnected: false,
            disconnects_after,
            resumes: 0,
            stream: 0,
            has_retried: false,
        });
        let delay = self.net.delay(&mut self.rng) + self.caller_distance;
        self.schedule_after(delay, SimEvent::RequestArrives { node, caller, request });
        self.schedule_after(CALLER_TIMEOUT, SimEvent::CallerTimeout { caller });
    }

    /// Ends a call that has had no final answer within `CALLER_TIMEOUT`.
    pub fn time_out_caller(&mut self, caller: usize) {
        if !self.callers[caller].is_done {
            self.disconnect_caller(caller);
            self.end_call(caller, 0, "no_answer");
        }
    }

    /// Closes the caller's end of the stream; the router learns of it after a network delay.
    fn disconnect_caller(&mut self, caller: usize) {
        let Some(named) = EventId::read(&self.callers[caller].line.run) else { return };
        let hosts_run = |node: &SimNode| node.router.as_ref().is_some_and(|router| router.id == named.router);
        let Some(node) = self.nodes.iter().position(hosts_run) else { return };
        let delay = self.net.delay(&mut self.rng);
        let stream = self.callers[caller].stream;
        let disconnect = CallerDisconnect { node, router: named.router, run: named.run, caller, stream };
        self.schedule_after(delay, SimEvent::CallerDisconnected(disconnect));
    }

    pub fn handle_caller_disconnect(&mut self, disconnect: CallerDisconnect) {
        let woken_at = self.nodes[disconnect.node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, SimEvent::CallerDisconnected(disconnect));
        }
        let known = self.nodes[disconnect.node].router.as_mut().filter(|known| known.id == disconnect.router);
        let Some(run) = known.and_then(|known| known.runs.get_mut(&disconnect.run)) else { return };
        if run.caller != Some((disconnect.caller, disconnect.stream)) {
            return;
        }
        run.caller = None;
        self.drive(disconnect.node, disconnect.router, disconnect.run, AttemptInput::CallerGone);
    }

    pub fn deliver_to_caller(&mut self, number: usize, message: CallerMessage) {
        let at = self.millis();
        let caller = &mut self.callers[number];
        if caller.is_done {
            return;
        }
        let may_reconnect = caller.request.resumes && caller.line.pieces > 0 && caller.resumes < MAX_RESUMES;
        match message {
            CallerMessage::Piece(piece) => self.receive_piece(number, piece),
            CallerMessage::Whole(piece) => {
                caller.line.attempt = piece.attempt.clone();
                caller.line.last_at = at;
                caller.line.pieces = piece.place;
                caller.line.adapter = adapter_text(piece.adapter.as_ref());
                if !piece.attempt.starts_with(&format!("{}.", caller.line.run)) {
                    caller.line.wrong = format!("the answer of attempt {}", piece.attempt);
                } else if piece.place != caller.request.tokens {
                    caller.line.wrong = format!("{} of {} pieces", piece.place, caller.request.tokens);
                }
                self.end_call(number, 200, "whole");
            }
            CallerMessage::End => {
                if caller.line.pieces != caller.request.tokens && caller.line.wrong.is_empty() {
                    caller.line.wrong = format!("{} of {} pieces", caller.line.pieces, caller.request.tokens);
                }
                self.end_call(number, 200, "whole");
            }
            CallerMessage::Cut("key_withdrawn") => self.end_call(number, 200, "withdrawn"),
            CallerMessage::Cut(_) => self.end_call(number, 200, "cut"),
            CallerMessage::Final { status, outcome } => self.end_call(number, status, outcome),
            CallerMessage::Lost if may_reconnect => self.schedule_reconnect(number),
            CallerMessage::Lost if caller.line.pieces > 0 => self.end_call(number, 200, "cut"),
            CallerMessage::Lost | CallerMessage::NoAnswer => self.end_call(number, 0, "no_answer"),
            CallerMessage::Refused if may_reconnect => self.schedule_reconnect(number),
            CallerMessage::Refused => self.end_call(number, 200, "cut"),
            CallerMessage::Gone => self.end_call(number, 200, "cancelled"),
        }
    }

    /// Checks a piece of a stream against those before it, and may close the stream.
    fn receive_piece(&mut self, number: usize, piece: SimPiece) {
        let at = self.millis();
        let caller = &mut self.callers[number];
        let line = &mut caller.line;
        if line.pieces == 0 {
            line.first_ms = Some(at - line.at);
            line.attempt = piece.attempt.clone();
            line.adapter = adapter_text(piece.adapter.as_ref());
        }
        let error = if !piece.attempt.starts_with(&format!("{}.", line.run)) {
            Some(format!("a piece of attempt {}", piece.attempt))
        } else if piece.attempt != line.attempt {
            Some(format!("joins attempts {} and {}", line.attempt, piece.attempt))
        } else if adapter_text(piece.adapter.as_ref()) != line.adapter {
            Some("joins two adapters".into())
        } else if piece.place != line.pieces {
            Some(format!("piece {} where {} was due", piece.place, line.pieces))
        } else {
            None
        };
        if let Some(error) = error.filter(|_| line.wrong.is_empty()) {
            line.wrong = error;
        }
        line.pieces += 1;
        line.last_at = at;
        if caller.disconnects_after != Some(line.pieces) {
            return;
        }
        caller.disconnects_after = None;
        self.disconnect_caller(number);
        match self.callers[number].request.resumes {
            true => self.schedule_reconnect(number),
            false => self.end_call(number, 200, "cancelled"),
        }
    }

    /// Lets a caller reconnect to a random node after a pause.
    fn schedule_reconnect(&mut self, number: usize) {
        let node = self.rng.below(self.nodes.len() as u64) as usize;
        let caller = &mut self.callers[number];
        caller.is_disconnected = true;
        caller.resumes += 1;
        let pause = Span::millis(self.rng.between(20, 1500));
        self.schedule_after(pause, SimEvent::CallerReconnects { node, caller: number });
    }

    pub fn reconnect_caller(&mut self, node: usize, number: usize) {
        if self.callers[number].is_done {
            return;
        }
        self.resume(node, number, false);
    }

    /// Writes the caller's line to the record and schedules a retry where the caller wants one.
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
        self.retry_question(number, outcome);
        let caller = &mut self.callers[number];
        let will_retry = caller.request.idempotency_key.is_some()
            && matches!(outcome, "unknown" | "no_answer" | "cut" | "not_run")
            && !std::mem::replace(&mut caller.has_retried, true);
        if will_retry && self.rng.chance(70) {
            let request = caller.request.clone();
            let node = self.rng.below(self.nodes.len() as u64) as usize;
            let pause = Span::millis(self.rng.between(1, 800));
            self.schedule_after(pause, SimEvent::CallerRetries { node, request });
        }
    }

    pub fn retry_request(&mut self, node: usize, request: SimRequest) {
        self.send_request(node, request);
    }
}
