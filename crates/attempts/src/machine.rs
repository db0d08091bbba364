//! The machine. Before the first piece has gone to the caller a fault may be followed by another attempt:
//! always if the engine surely did not start, else only if the request may be repeated. After the first
//! piece there is no second attempt. A final word says that nothing ran only if that is sure.

use crate::prelude::*;

/// Attempts of one request at the most.
pub const MAX_ATTEMPTS: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    New,
    Claiming,
    Picking,
    Connecting,
    Sent,
    Headed,
    Streaming,
    Marked,
    Done,
}

/// A request's attempts, as a pure state machine.
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
    plan: Vec<AttemptEffect<P>>,
}

impl<P> AttemptMachine<P> {
    /// A request of which nothing has been tried yet.
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
            last_reason: "no engine is free to take it".into(),
            plan: Vec::new(),
        }
    }

    /// Whether the final word has gone out, or the caller is gone.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Whether a piece has gone to the caller.
    pub fn has_begun(&self) -> bool {
        matches!(self.stage, Stage::Streaming | Stage::Marked)
    }

    /// Whether the engine's end mark has come, after which nothing more may.
    pub fn is_marked(&self) -> bool {
        self.stage == Stage::Marked
    }

    /// The name of the current attempt.
    pub fn attempt(&self) -> String {
        format!("{}.{}", self.terms.run, self.attempt_number)
    }

    /// Takes an input; what is to be done about it, in order.
    pub fn step(&mut self, input: AttemptInput<P>) -> Vec<AttemptEffect<P>> {
        if !self.is_done() {
            self.take(input);
        }
        std::mem::take(&mut self.plan)
    }

    fn take(&mut self, input: AttemptInput<P>) {
        match (input, self.stage) {
            (AttemptInput::Begin, Stage::New) => self.begin(),
            (AttemptInput::ClaimSettled(claimed), Stage::Claiming) => self.take_claim(claimed),
            (AttemptInput::Picked(outcome), Stage::Picking) => self.take_pick(outcome),
            (AttemptInput::Connected, Stage::Connecting) => {
                self.stage = Stage::Sent;
                self.plan.push(AttemptEffect::Write);
            }
            (AttemptInput::ConnectFault(reason), Stage::Connecting) => {
                self.lose_attempt(Ran::No, format!("connect: {reason}"));
            }
            (AttemptInput::StartRefused(bar), Stage::Sent) => self.take_bar(bar),
            (AttemptInput::SendFault { byte_left, reason }, Stage::Sent) => {
                self.lose_attempt(if byte_left { Ran::Perhaps } else { Ran::No }, reason);
            }
            (AttemptInput::Head { head, detail }, Stage::Sent) => self.take_head(head, detail),
            (AttemptInput::Piece { attempt, finished, piece }, stage) => {
                self.take_piece(stage, &attempt, finished, piece)
            }
            (AttemptInput::EndMark, Stage::Streaming) => self.stage = Stage::Marked,
            (AttemptInput::EndMark, stage) => self.take_broken(stage, "an end mark out of place".into()),
            (AttemptInput::Closed, Stage::Marked) => {
                self.end_attempt();
                self.plan.push(AttemptEffect::EndWhole);
                self.stage = Stage::Done;
            }
            (AttemptInput::Closed, stage) => {
                self.take_broken(stage, "the engine's stream ended without its end mark".into());
            }
            (AttemptInput::Broken(reason), stage) => self.take_broken(stage, reason),
            (AttemptInput::BufferFull, Stage::Streaming | Stage::Marked) => {
                self.cut("cut", "the run is too large to be held".into());
            }
            (AttemptInput::CallerGone, stage) => self.lose_caller(stage),
            (AttemptInput::LimitPassed, stage) => self.pass_limit(stage),
            (AttemptInput::WorkStopped(bar), stage) => self.bar_work(stage, bar),
            _ => {}
        }
    }

    fn begin(&mut self) {
        if self.terms.claims && !self.terms.repeatable {
            self.stage = Stage::Claiming;
            self.plan.push(AttemptEffect::Claim);
            return;
        }
        self.pick();
    }

    fn take_claim(&mut self, claimed: ClaimOutcome) {
        match claimed {
            ClaimOutcome::Taken => {
                self.holds_claim = true;
                self.pick();
            }
            ClaimOutcome::Held(run) => {
                self.stage = Stage::Done;
                self.plan.push(AttemptEffect::GiveUp(GivenUp {
                    kind: GivenUpKind::Claimed,
                    ran: Ran::Perhaps,
                    reason: run,
                }));
            }
            ClaimOutcome::Full => self.give_up(GivenUpKind::NotServed, "too many idempotency keys are held".into()),
            ClaimOutcome::Unknown => {
                self.holds_claim = true;
                self.give_up(GivenUpKind::NotServed, "the claim could not be settled".into());
            }
        }
    }

    fn pick(&mut self) {
        self.stage = Stage::Picking;
        self.plan.push(AttemptEffect::Pick { tried: self.tried.clone(), is_retry: self.is_retry });
    }

    fn take_pick(&mut self, outcome: PickOutcome) {
        match outcome {
            PickOutcome::Placed(engine) => {
                self.engine = Some(engine);
                self.attempt_number += 1;
                self.stage = Stage::Connecting;
                self.plan.push(AttemptEffect::Connect { attempt: self.attempt() });
            }
            PickOutcome::Overloaded => self.give_up(GivenUpKind::NotServed, "the router is overloaded".into()),
            PickOutcome::NoAdapter => {
                self.give_up(
                    GivenUpKind::AdapterCold,
                    "no engine holds its adapter warm; it is being seen to".into(),
                );
            }
            PickOutcome::NoEngine | PickOutcome::NoBudget => {
                self.give_up(GivenUpKind::NotServed, self.last_reason.clone());
            }
        }
    }

    fn take_bar(&mut self, bar: StartRefusal) {
        let reason = format!("{bar:?}");
        match bar {
            StartRefusal::NoLease => self.stop_attempt(Ran::No, reason, GivenUpKind::NoLease),
            StartRefusal::KeyWithdrawn => self.stop_attempt(Ran::No, reason, GivenUpKind::KeyWithdrawn),
            StartRefusal::LimitPassed => self.stop_attempt(Ran::No, reason, GivenUpKind::LimitPassed),
            StartRefusal::EngineMoved | StartRefusal::WallMoved | StartRefusal::AdapterMoved => {
                self.note_fault(Ran::No, reason, false);
                self.is_retry = false;
                self.try_again();
            }
        }
    }

    fn take_head(&mut self, head: ResponseClass, detail: String) {
        match head {
            ResponseClass::NotStarted => self.lose_attempt(Ran::No, detail),
            ResponseClass::OutOfTime => self.stop_attempt(Ran::Perhaps, detail, GivenUpKind::LimitPassed),
            ResponseClass::Failure => self.lose_attempt(Ran::Perhaps, detail),
            ResponseClass::Success => self.stage = Stage::Headed,
        }
    }

    fn take_piece(&mut self, stage: Stage, attempt: &str, finished: bool, piece: P) {
        if attempt != self.attempt() {
            return self.take_broken(stage, "a piece of another shot".into());
        }
        match stage {
            Stage::Headed if self.terms.streams => {
                self.stage = Stage::Streaming;
                self.plan.push(AttemptEffect::FirstPieceReceived);
                self.plan.push(AttemptEffect::SendPiece(piece));
            }
            Stage::Headed if !finished => self.lose_attempt(Ran::Perhaps, "the answer is not whole".into()),
            Stage::Headed => {
                self.plan.push(AttemptEffect::FirstPieceReceived);
                self.end_attempt();
                self.stage = Stage::Done;
                self.plan.push(AttemptEffect::AnswerWhole(piece));
            }
            Stage::Streaming => self.plan.push(AttemptEffect::SendPiece(piece)),
            Stage::Marked => self.cut("cut", "something came after the end mark".into()),
            _ => {}
        }
    }

    fn take_broken(&mut self, stage: Stage, reason: String) {
        match stage {
            Stage::Sent | Stage::Headed => self.lose_attempt(Ran::Perhaps, reason),
            Stage::Streaming | Stage::Marked => self.cut("cut", reason),
            _ => {}
        }
    }

    fn lose_caller(&mut self, stage: Stage) {
        if self.terms.resumes && matches!(stage, Stage::Streaming | Stage::Marked) {
            return;
        }
        self.end_attempt();
        if self.holds_claim && !self.may_have_run && matches!(stage, Stage::Picking | Stage::Connecting) {
            self.plan.push(AttemptEffect::ReleaseClaim);
        }
        self.stage = Stage::Done;
    }

    fn pass_limit(&mut self, stage: Stage) {
        let reason = String::from("the limit passed");
        match stage {
            Stage::New | Stage::Claiming | Stage::Picking | Stage::Connecting => {
                self.holds_claim |= stage == Stage::Claiming;
                self.stop_attempt(Ran::No, reason, GivenUpKind::LimitPassed);
            }
            Stage::Sent | Stage::Headed => self.stop_attempt(Ran::Perhaps, reason, GivenUpKind::LimitPassed),
            Stage::Streaming | Stage::Marked => self.cut("cut", reason),
            Stage::Done => {}
        }
    }

    fn bar_work(&mut self, stage: Stage, bar: StopReason) {
        let (kind, word, reason) = match bar {
            StopReason::NoLease => (GivenUpKind::NoLease, "no_lease", "this router has long held no lease"),
            StopReason::KeyWithdrawn => (GivenUpKind::KeyWithdrawn, "key_withdrawn", "the key was withdrawn"),
        };
        match stage {
            Stage::New | Stage::Claiming | Stage::Picking | Stage::Connecting => {
                self.holds_claim |= stage == Stage::Claiming;
                self.stop_attempt(Ran::No, reason.into(), kind);
            }
            Stage::Sent | Stage::Headed => self.stop_attempt(Ran::Perhaps, reason.into(), kind),
            Stage::Streaming | Stage::Marked => self.cut(word, reason.into()),
            Stage::Done => {}
        }
    }

    /// An attempt is lost before its first piece: another one, or the final word.
    fn lose_attempt(&mut self, ran: Ran, reason: String) {
        self.note_fault(ran, reason.clone(), true);
        self.tried.extend(self.engine.clone());
        self.is_retry = true;
        if ran == Ran::Perhaps && !self.terms.repeatable {
            return self.give_up(GivenUpKind::NotServed, reason);
        }
        self.last_reason = reason;
        self.try_again();
    }

    fn try_again(&mut self) {
        if self.attempt_number >= MAX_ATTEMPTS {
            return self.give_up(GivenUpKind::NotServed, self.last_reason.clone());
        }
        self.pick();
    }

    fn note_fault(&mut self, ran: Ran, reason: String, rests: bool) {
        self.may_have_run |= ran == Ran::Perhaps;
        self.plan.push(AttemptEffect::AttemptFault { reason, ran, rests });
        self.end_attempt();
    }

    /// Ends what is under way without another try.
    fn stop_attempt(&mut self, ran: Ran, reason: String, kind: GivenUpKind) {
        self.may_have_run |= ran == Ran::Perhaps;
        self.end_attempt();
        self.give_up(kind, reason);
    }

    fn end_attempt(&mut self) {
        self.plan.push(AttemptEffect::EndAttempt);
    }

    fn give_up(&mut self, kind: GivenUpKind, reason: String) {
        let ran = if self.may_have_run { Ran::Perhaps } else { Ran::No };
        if self.holds_claim && ran == Ran::No {
            self.plan.push(AttemptEffect::ReleaseClaim);
        }
        self.plan.push(AttemptEffect::GiveUp(GivenUp { kind, ran, reason }));
        self.stage = Stage::Done;
    }

    fn cut(&mut self, kind: &'static str, message: String) {
        self.end_attempt();
        self.plan.push(AttemptEffect::EndCut(CutReason { kind, message }));
        self.stage = Stage::Done;
    }
}
