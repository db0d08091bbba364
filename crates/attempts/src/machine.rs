//! The state machine of a request's attempts. Until the first piece has been sent to the caller a failed
//! attempt may be retried: always if the engine certainly did not start it, otherwise only if the request is
//! repeatable. After the first piece there is no retry. A final answer says that nothing ran only if that is
//! certain.

use crate::prelude::*;

/// Maximum number of attempts for one request.
pub const MAX_ATTEMPTS: u64 = 3;

/// How far the request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    New,
    Claiming,
    Picking,
    Connecting,
    /// The request is being sent, or has been; the response head has not come.
    Sent,
    /// The response head was a success.
    HeadReceived,
    Streaming,
    /// The end mark has come; only a clean close may follow.
    EndMarked,
    Done,
}

/// A request's attempts, as a state machine without I/O.
#[derive(Clone, Debug)]
pub struct AttemptMachine<P> {
    terms: RequestTerms,
    stage: Stage,
    attempt_number: u64,
    engine: Option<EngineName>,
    tried: Vec<EngineName>,
    is_retry: bool,
    may_have_run: bool,
    holds_claim: bool,
    last_reason: String,
    effects: Vec<AttemptEffect<P>>,
}

impl<P> AttemptMachine<P> {
    /// A request before its first attempt.
    pub fn new(terms: RequestTerms) -> AttemptMachine<P> {
        AttemptMachine {
            terms,
            stage: Stage::New,
            attempt_number: 0,
            engine: None,
            tried: Vec::new(),
            is_retry: false,
            may_have_run: false,
            holds_claim: false,
            last_reason: "no engine can take the request now".into(),
            effects: Vec::new(),
        }
    }

    /// Whether the final answer has been given, or the caller has left.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Whether a piece has been sent to the caller.
    pub fn has_begun(&self) -> bool {
        matches!(self.stage, Stage::Streaming | Stage::EndMarked)
    }

    /// Whether the engine's end mark has come; no piece may follow it.
    pub fn has_end_mark(&self) -> bool {
        self.stage == Stage::EndMarked
    }

    /// The name of the current attempt.
    pub fn attempt(&self) -> String {
        format!("{}.{}", self.terms.run, self.attempt_number)
    }

    /// Handles an input and returns the resulting effects in order.
    pub fn step(&mut self, input: AttemptInput<P>) -> Vec<AttemptEffect<P>> {
        if !self.is_done() {
            self.handle(input);
        }
        std::mem::take(&mut self.effects)
    }

    fn handle(&mut self, input: AttemptInput<P>) {
        match (input, self.stage) {
            (AttemptInput::Begin, Stage::New) => self.begin(),
            (AttemptInput::ClaimSettled(claimed), Stage::Claiming) => self.handle_claim(claimed),
            (AttemptInput::Picked(outcome), Stage::Picking) => self.handle_pick(outcome),
            (AttemptInput::Connected, Stage::Connecting) => {
                self.stage = Stage::Sent;
                self.effects.push(AttemptEffect::Write);
            }
            (AttemptInput::ConnectFault(reason), Stage::Connecting) => {
                self.fail_attempt(Ran::No, format!("connect: {reason}"));
            }
            (AttemptInput::StartRefused(refusal), Stage::Sent) => self.handle_start_refusal(refusal),
            (AttemptInput::SendFault { byte_left, reason }, Stage::Sent) => {
                self.fail_attempt(if byte_left { Ran::Perhaps } else { Ran::No }, reason);
            }
            (AttemptInput::Head { head, detail }, Stage::Sent) => self.handle_head(head, detail),
            (AttemptInput::Piece { attempt, finished, piece }, stage) => {
                self.handle_piece(stage, &attempt, finished, piece)
            }
            (AttemptInput::EndMark, Stage::Streaming) => self.stage = Stage::EndMarked,
            (AttemptInput::EndMark, stage) => self.handle_broken_stream(stage, "unexpected end mark".into()),
            (AttemptInput::Closed, Stage::EndMarked) => {
                self.end_attempt();
                self.effects.push(AttemptEffect::EndWhole);
                self.stage = Stage::Done;
            }
            (AttemptInput::Closed, stage) => {
                self.handle_broken_stream(stage, "the engine's stream ended without its end mark".into());
            }
            (AttemptInput::Broken(reason), stage) => self.handle_broken_stream(stage, reason),
            (AttemptInput::BufferFull, Stage::Streaming | Stage::EndMarked) => {
                self.cut("cut", "the run exceeds the resume buffer".into());
            }
            (AttemptInput::CallerGone, stage) => self.handle_caller_gone(stage),
            (AttemptInput::LimitPassed, stage) => self.handle_limit_passed(stage),
            (AttemptInput::WorkStopped(stop), stage) => self.stop_work(stage, stop),
            _ => {}
        }
    }

    fn begin(&mut self) {
        if self.terms.claims && !self.terms.repeatable {
            self.stage = Stage::Claiming;
            self.effects.push(AttemptEffect::Claim);
            return;
        }
        self.pick();
    }

    fn handle_claim(&mut self, claimed: ClaimOutcome) {
        match claimed {
            ClaimOutcome::Taken => {
                self.holds_claim = true;
                self.pick();
            }
            ClaimOutcome::Held(run) => {
                self.stage = Stage::Done;
                self.effects.push(AttemptEffect::GiveUp(GivenUp {
                    kind: GivenUpKind::Claimed,
                    ran: Ran::Perhaps,
                    reason: run,
                }));
            }
            ClaimOutcome::Full => self.give_up(GivenUpKind::NotServed, "too many idempotency keys are held".into()),
            ClaimOutcome::Unknown => {
                self.holds_claim = true;
                self.give_up(GivenUpKind::NotServed, "the idempotency key could not be claimed in time".into());
            }
        }
    }

    fn pick(&mut self) {
        self.stage = Stage::Picking;
        self.effects.push(AttemptEffect::Pick { tried: self.tried.clone(), is_retry: self.is_retry });
    }

    fn handle_pick(&mut self, outcome: PickOutcome) {
        match outcome {
            PickOutcome::Placed(engine) => {
                self.engine = Some(engine);
                self.attempt_number += 1;
                self.stage = Stage::Connecting;
                self.effects.push(AttemptEffect::Connect { attempt: self.attempt() });
            }
            PickOutcome::Overloaded => self.give_up(GivenUpKind::NotServed, "the router is overloaded".into()),
            PickOutcome::NoAdapter => {
                self.give_up(GivenUpKind::AdapterCold, "no engine holds the adapter; it is being loaded".into());
            }
            PickOutcome::NoEngine | PickOutcome::NoBudget => {
                self.give_up(GivenUpKind::NotServed, self.last_reason.clone());
            }
        }
    }

    fn handle_start_refusal(&mut self, refusal: StartRefusal) {
        let reason = format!("{refusal:?}");
        match refusal {
            StartRefusal::NoLease => self.stop_attempt(Ran::No, reason, GivenUpKind::NoLease),
            StartRefusal::KeyWithdrawn => self.stop_attempt(Ran::No, reason, GivenUpKind::KeyWithdrawn),
            StartRefusal::LimitPassed => self.stop_attempt(Ran::No, reason, GivenUpKind::LimitPassed),
            StartRefusal::EngineMoved | StartRefusal::WallMoved | StartRefusal::AdapterMoved => {
                self.record_fault(Ran::No, reason, false);
                self.is_retry = false;
                self.retry();
            }
        }
    }

    fn handle_head(&mut self, head: ResponseClass, detail: String) {
        match head {
            ResponseClass::NotStarted => self.fail_attempt(Ran::No, detail),
            ResponseClass::OutOfTime => self.stop_attempt(Ran::Perhaps, detail, GivenUpKind::LimitPassed),
            ResponseClass::Failure => self.fail_attempt(Ran::Perhaps, detail),
            ResponseClass::Success => self.stage = Stage::HeadReceived,
        }
    }

    fn handle_piece(&mut self, stage: Stage, attempt: &str, finished: bool, piece: P) {
        if attempt != self.attempt() {
            return self.handle_broken_stream(stage, "the piece names another attempt".into());
        }
        match stage {
            Stage::HeadReceived if self.terms.streams => {
                self.stage = Stage::Streaming;
                self.effects.push(AttemptEffect::FirstPieceReceived);
                self.effects.push(AttemptEffect::SendPiece(piece));
            }
            Stage::HeadReceived if !finished => self.fail_attempt(Ran::Perhaps, "the answer is incomplete".into()),
            Stage::HeadReceived => {
                self.effects.push(AttemptEffect::FirstPieceReceived);
                self.end_attempt();
                self.stage = Stage::Done;
                self.effects.push(AttemptEffect::AnswerWhole(piece));
            }
            Stage::Streaming => self.effects.push(AttemptEffect::SendPiece(piece)),
            Stage::EndMarked => self.cut("cut", "data after the end mark".into()),
            _ => {}
        }
    }

    fn handle_broken_stream(&mut self, stage: Stage, reason: String) {
        match stage {
            Stage::Sent | Stage::HeadReceived => self.fail_attempt(Ran::Perhaps, reason),
            Stage::Streaming | Stage::EndMarked => self.cut("cut", reason),
            _ => {}
        }
    }

    fn handle_caller_gone(&mut self, stage: Stage) {
        if self.terms.resumes && matches!(stage, Stage::Streaming | Stage::EndMarked) {
            return;
        }
        self.end_attempt();
        if self.holds_claim && !self.may_have_run && matches!(stage, Stage::Picking | Stage::Connecting) {
            self.effects.push(AttemptEffect::ReleaseClaim);
        }
        self.stage = Stage::Done;
    }

    fn handle_limit_passed(&mut self, stage: Stage) {
        let reason = String::from("the request's time limit passed");
        match stage {
            Stage::New | Stage::Claiming | Stage::Picking | Stage::Connecting => {
                self.holds_claim |= stage == Stage::Claiming;
                self.stop_attempt(Ran::No, reason, GivenUpKind::LimitPassed);
            }
            Stage::Sent | Stage::HeadReceived => self.stop_attempt(Ran::Perhaps, reason, GivenUpKind::LimitPassed),
            Stage::Streaming | Stage::EndMarked => self.cut("cut", reason),
            Stage::Done => {}
        }
    }

    fn stop_work(&mut self, stage: Stage, stop: StopReason) {
        let (kind, error_type, reason) = match stop {
            StopReason::NoLease => (GivenUpKind::NoLease, "no_lease", "this router has lost its lease"),
            StopReason::KeyWithdrawn => (GivenUpKind::KeyWithdrawn, "key_withdrawn", "the key was withdrawn"),
        };
        match stage {
            Stage::New | Stage::Claiming | Stage::Picking | Stage::Connecting => {
                self.holds_claim |= stage == Stage::Claiming;
                self.stop_attempt(Ran::No, reason.into(), kind);
            }
            Stage::Sent | Stage::HeadReceived => self.stop_attempt(Ran::Perhaps, reason.into(), kind),
            Stage::Streaming | Stage::EndMarked => self.cut(error_type, reason.into()),
            Stage::Done => {}
        }
    }

    /// Handles an attempt that failed before its first piece: retries or gives up.
    fn fail_attempt(&mut self, ran: Ran, reason: String) {
        self.record_fault(ran, reason.clone(), true);
        self.tried.extend(self.engine.clone());
        self.is_retry = true;
        if ran == Ran::Perhaps && !self.terms.repeatable {
            return self.give_up(GivenUpKind::NotServed, reason);
        }
        self.last_reason = reason;
        self.retry();
    }

    fn retry(&mut self) {
        if self.attempt_number >= MAX_ATTEMPTS {
            return self.give_up(GivenUpKind::NotServed, self.last_reason.clone());
        }
        self.pick();
    }

    fn record_fault(&mut self, ran: Ran, reason: String, avoid_engine: bool) {
        self.may_have_run |= ran == Ran::Perhaps;
        self.effects.push(AttemptEffect::AttemptFault { reason, ran, avoid_engine });
        self.end_attempt();
    }

    /// Ends the attempt under way without a retry.
    fn stop_attempt(&mut self, ran: Ran, reason: String, kind: GivenUpKind) {
        self.may_have_run |= ran == Ran::Perhaps;
        self.end_attempt();
        self.give_up(kind, reason);
    }

    fn end_attempt(&mut self) {
        self.effects.push(AttemptEffect::EndAttempt);
    }

    fn give_up(&mut self, kind: GivenUpKind, reason: String) {
        let ran = if self.may_have_run { Ran::Perhaps } else { Ran::No };
        if self.holds_claim && ran == Ran::No {
            self.effects.push(AttemptEffect::ReleaseClaim);
        }
        self.effects.push(AttemptEffect::GiveUp(GivenUp { kind, ran, reason }));
        self.stage = Stage::Done;
    }

    fn cut(&mut self, kind: &'static str, message: String) {
        self.end_attempt();
        self.effects.push(AttemptEffect::EndCut(CutReason { kind, message }));
        self.stage = Stage::Done;
    }
}
