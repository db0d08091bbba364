//! The machine. Before the first piece has gone to the caller a fault may be followed by another shot:
//! always if the engine surely did not start, else only if the request may be repeated. After the first
//! piece there is no second shot. A final word says that nothing ran only if that is sure.

use crate::prelude::*;

pub const MOST_SHOTS: u64 = 3;

/// What a request asks of its carriage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The name under which its shots go: shot n is `run.n`.
    pub run: String,
    pub repeatable: bool,
    pub streams: bool,
    /// An idempotency key is to be claimed before the first shot.
    pub claims: bool,
    /// The run goes on without its caller, who may come back.
    pub resumes: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    Taken,
    /// Another run has the key.
    Held(String),
    /// No more keys can be remembered: better not run than forget one early.
    Full,
    /// Nobody knows in time.
    Unknown,
}

impl Claimed {
    /// What the core's settlement means; none came in time if there is none.
    pub fn of(settled: Option<Settled>) -> Claimed {
        let complaint = match settled {
            Some(Settled::Taken(_)) => return Claimed::Taken,
            Some(Settled::Refused(complaints)) => complaints.into_iter().next(),
            Some(Settled::Stale { .. }) | None => None,
        };
        match complaint {
            None => Claimed::Unknown,
            Some(complaint) if complaint.reason == CLAIMS_FULL => Claimed::Full,
            Some(complaint) => Claimed::Held(complaint.path),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PickOutcome {
    Placed(EngineName),
    NoEngine,
    /// Engines serve, but none holds the adapter that the request runs on.
    NoAdapter,
    /// A second shot would go over the retry budget.
    NoBudget,
    Overloaded,
}

/// Why an engine says that a request did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    Good,
    /// An answer that means by contract that nothing was started.
    NotStarted,
    /// The engine ended the shot at the limit it was given, a moment before its router did.
    OutOfTime,
    /// Any other answer than success.
    Refused,
}

#[derive(Clone, Debug)]
pub enum CarriageInput<P> {
    Begin,
    ClaimSettled(Claimed),
    Picked(PickOutcome),
    Connected,
    ConnectFault(String),
    /// The gate refused in the first write: no byte left.
    Barred(StartBar),
    SendFault {
        byte_left: bool,
        reason: String,
    },
    Head {
        head: Head,
        told: String,
    },
    /// A piece of a stream, or a whole answer; `finished` says it is one to its end.
    Piece {
        shot: String,
        finished: bool,
        piece: P,
    },
    EndMark,
    /// The engine's stream ended cleanly.
    Closed,
    Broken(String),
    /// There is no more room to hold the run in.
    BookFull,
    CallerGone,
    LimitPassed,
    WorkBarred(WorkBar),
}

#[derive(Clone, Debug, PartialEq)]
pub enum CarriageEffect<P> {
    Claim,
    ReleaseClaim,
    Pick {
        tried: Vec<EngineName>,
        is_retry: bool,
    },
    Connect {
        shot: String,
    },
    /// Write the question, through the gate.
    Write,
    /// The engine has the prompt's blocks: the first piece came.
    Began,
    SendPiece(P),
    AnswerWhole(P),
    EndWhole,
    EndCut(Reason),
    GiveUp(GivenUp),
    /// Drop the stream to the engine and give its occupancy back.
    EndShot,
    /// A shot was lost; the engine is to rest if it was reached in vain.
    ShotFault {
        reason: String,
        ran: Ran,
        rests: bool,
    },
}

/// Whether an engine may have worked on a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    No,
    Perhaps,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUpKind {
    NotServed,
    /// No engine holds its adapter warm.
    AdapterCold,
    LimitPassed,
    NoLease,
    KeyWithdrawn,
    Claimed,
}

/// The final word of a request that brought no piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    pub kind: GivenUpKind,
    pub ran: Ran,
    pub reason: String,
}

/// Why a stream was cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    pub kind: &'static str,
    pub told: String,
}

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

#[derive(Clone, Debug)]
pub struct Carriage<P> {
    terms: Terms,
    stage: Stage,
    shot_number: u64,
    engine: Option<EngineName>,
    tried: Vec<EngineName>,
    is_retry: bool,
    may_have_run: bool,
    holds_claim: bool,
    last_reason: String,
    plan: Vec<CarriageEffect<P>>,
}

impl<P> Carriage<P> {
    pub fn new(terms: Terms) -> Carriage<P> {
        Carriage {
            terms,
            stage: Stage::New,
            shot_number: 0,
            engine: None,
            tried: Vec::new(),
            is_retry: false,
            may_have_run: false,
            holds_claim: false,
            last_reason: "no engine is free to take it".into(),
            plan: Vec::new(),
        }
    }

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

    pub fn shot(&self) -> String {
        format!("{}.{}", self.terms.run, self.shot_number)
    }

    pub fn step(&mut self, input: CarriageInput<P>) -> Vec<CarriageEffect<P>> {
        if !self.is_done() {
            self.take(input);
        }
        std::mem::take(&mut self.plan)
    }

    fn take(&mut self, input: CarriageInput<P>) {
        match (input, self.stage) {
            (CarriageInput::Begin, Stage::New) => self.begin(),
            (CarriageInput::ClaimSettled(claimed), Stage::Claiming) => self.take_claim(claimed),
            (CarriageInput::Picked(outcome), Stage::Picking) => self.take_pick(outcome),
            (CarriageInput::Connected, Stage::Connecting) => {
                self.stage = Stage::Sent;
                self.plan.push(CarriageEffect::Write);
            }
            (CarriageInput::ConnectFault(reason), Stage::Connecting) => {
                self.lose_shot(Ran::No, format!("connect: {reason}"));
            }
            (CarriageInput::Barred(bar), Stage::Sent) => self.take_bar(bar),
            (CarriageInput::SendFault { byte_left, reason }, Stage::Sent) => {
                self.lose_shot(if byte_left { Ran::Perhaps } else { Ran::No }, reason);
            }
            (CarriageInput::Head { head, told }, Stage::Sent) => self.take_head(head, told),
            (CarriageInput::Piece { shot, finished, piece }, stage) => self.take_piece(stage, &shot, finished, piece),
            (CarriageInput::EndMark, Stage::Streaming) => self.stage = Stage::Marked,
            (CarriageInput::EndMark, stage) => self.take_broken(stage, "an end mark out of place".into()),
            (CarriageInput::Closed, Stage::Marked) => {
                self.end_shot();
                self.plan.push(CarriageEffect::EndWhole);
                self.stage = Stage::Done;
            }
            (CarriageInput::Closed, stage) => {
                self.take_broken(stage, "the engine's stream ended without its end mark".into());
            }
            (CarriageInput::Broken(reason), stage) => self.take_broken(stage, reason),
            (CarriageInput::BookFull, Stage::Streaming | Stage::Marked) => {
                self.cut("cut", "the run is too large to be held".into());
            }
            (CarriageInput::CallerGone, stage) => self.lose_caller(stage),
            (CarriageInput::LimitPassed, stage) => self.pass_limit(stage),
            (CarriageInput::WorkBarred(bar), stage) => self.bar_work(stage, bar),
            _ => {}
        }
    }

    fn begin(&mut self) {
        if self.terms.claims && !self.terms.repeatable {
            self.stage = Stage::Claiming;
            self.plan.push(CarriageEffect::Claim);
            return;
        }
        self.pick();
    }

    fn take_claim(&mut self, claimed: Claimed) {
        match claimed {
            Claimed::Taken => {
                self.holds_claim = true;
                self.pick();
            }
            Claimed::Held(run) => {
                self.stage = Stage::Done;
                self.plan.push(CarriageEffect::GiveUp(GivenUp {
                    kind: GivenUpKind::Claimed,
                    ran: Ran::Perhaps,
                    reason: run,
                }));
            }
            Claimed::Full => self.give_up(GivenUpKind::NotServed, "too many idempotency keys are held".into()),
            Claimed::Unknown => {
                self.holds_claim = true;
                self.give_up(GivenUpKind::NotServed, "the claim could not be settled".into());
            }
        }
    }

    fn pick(&mut self) {
        self.stage = Stage::Picking;
        self.plan.push(CarriageEffect::Pick { tried: self.tried.clone(), is_retry: self.is_retry });
    }

    fn take_pick(&mut self, outcome: PickOutcome) {
        match outcome {
            PickOutcome::Placed(engine) => {
                self.engine = Some(engine);
                self.shot_number += 1;
                self.stage = Stage::Connecting;
                self.plan.push(CarriageEffect::Connect { shot: self.shot() });
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

    fn take_bar(&mut self, bar: StartBar) {
        let reason = format!("{bar:?}");
        match bar {
            StartBar::NoLease => self.stop_shot(Ran::No, reason, GivenUpKind::NoLease),
            StartBar::KeyWithdrawn => self.stop_shot(Ran::No, reason, GivenUpKind::KeyWithdrawn),
            StartBar::LimitPassed => self.stop_shot(Ran::No, reason, GivenUpKind::LimitPassed),
            StartBar::EngineMoved | StartBar::WallMoved | StartBar::AdapterMoved => {
                self.note_fault(Ran::No, reason, false);
                self.is_retry = false;
                self.try_again();
            }
        }
    }

    fn take_head(&mut self, head: Head, told: String) {
        match head {
            Head::NotStarted => self.lose_shot(Ran::No, told),
            Head::OutOfTime => self.stop_shot(Ran::Perhaps, told, GivenUpKind::LimitPassed),
            Head::Refused => self.lose_shot(Ran::Perhaps, told),
            Head::Good => self.stage = Stage::Headed,
        }
    }

    fn take_piece(&mut self, stage: Stage, shot: &str, finished: bool, piece: P) {
        if shot != self.shot() {
            return self.take_broken(stage, "a piece of another shot".into());
        }
        match stage {
            Stage::Headed if self.terms.streams => {
                self.stage = Stage::Streaming;
                self.plan.push(CarriageEffect::Began);
                self.plan.push(CarriageEffect::SendPiece(piece));
            }
            Stage::Headed if !finished => self.lose_shot(Ran::Perhaps, "the answer is not whole".into()),
            Stage::Headed => {
                self.plan.push(CarriageEffect::Began);
                self.end_shot();
                self.stage = Stage::Done;
                self.plan.push(CarriageEffect::AnswerWhole(piece));
            }
            Stage::Streaming => self.plan.push(CarriageEffect::SendPiece(piece)),
            Stage::Marked => self.cut("cut", "something came after the end mark".into()),
            _ => {}
        }
    }

    fn take_broken(&mut self, stage: Stage, reason: String) {
        match stage {
            Stage::Sent | Stage::Headed => self.lose_shot(Ran::Perhaps, reason),
            Stage::Streaming | Stage::Marked => self.cut("cut", reason),
            _ => {}
        }
    }

    fn lose_caller(&mut self, stage: Stage) {
        if self.terms.resumes && matches!(stage, Stage::Streaming | Stage::Marked) {
            return;
        }
        self.end_shot();
        if self.holds_claim && !self.may_have_run && matches!(stage, Stage::Picking | Stage::Connecting) {
            self.plan.push(CarriageEffect::ReleaseClaim);
        }
        self.stage = Stage::Done;
    }

    fn pass_limit(&mut self, stage: Stage) {
        let reason = String::from("the limit passed");
        match stage {
            Stage::New | Stage::Claiming | Stage::Picking | Stage::Connecting => {
                self.holds_claim |= stage == Stage::Claiming;
                self.stop_shot(Ran::No, reason, GivenUpKind::LimitPassed);
            }
            Stage::Sent | Stage::Headed => self.stop_shot(Ran::Perhaps, reason, GivenUpKind::LimitPassed),
            Stage::Streaming | Stage::Marked => self.cut("cut", reason),
            Stage::Done => {}
        }
    }

    fn bar_work(&mut self, stage: Stage, bar: WorkBar) {
        let (kind, word, reason) = match bar {
            WorkBar::NoLease => (GivenUpKind::NoLease, "no_lease", "this router has long held no lease"),
            WorkBar::KeyWithdrawn => (GivenUpKind::KeyWithdrawn, "key_withdrawn", "the key was withdrawn"),
        };
        match stage {
            Stage::New | Stage::Claiming | Stage::Picking | Stage::Connecting => {
                self.holds_claim |= stage == Stage::Claiming;
                self.stop_shot(Ran::No, reason.into(), kind);
            }
            Stage::Sent | Stage::Headed => self.stop_shot(Ran::Perhaps, reason.into(), kind),
            Stage::Streaming | Stage::Marked => self.cut(word, reason.into()),
            Stage::Done => {}
        }
    }

    /// A shot is lost before its first piece: another one, or the final word.
    fn lose_shot(&mut self, ran: Ran, reason: String) {
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
        if self.shot_number >= MOST_SHOTS {
            return self.give_up(GivenUpKind::NotServed, self.last_reason.clone());
        }
        self.pick();
    }

    fn note_fault(&mut self, ran: Ran, reason: String, rests: bool) {
        self.may_have_run |= ran == Ran::Perhaps;
        self.plan.push(CarriageEffect::ShotFault { reason, ran, rests });
        self.end_shot();
    }

    /// Ends what is under way without another try.
    fn stop_shot(&mut self, ran: Ran, reason: String, kind: GivenUpKind) {
        self.may_have_run |= ran == Ran::Perhaps;
        self.end_shot();
        self.give_up(kind, reason);
    }

    fn end_shot(&mut self) {
        self.plan.push(CarriageEffect::EndShot);
    }

    fn give_up(&mut self, kind: GivenUpKind, reason: String) {
        let ran = if self.may_have_run { Ran::Perhaps } else { Ran::No };
        if self.holds_claim && ran == Ran::No {
            self.plan.push(CarriageEffect::ReleaseClaim);
        }
        self.plan.push(CarriageEffect::GiveUp(GivenUp { kind, ran, reason }));
        self.stage = Stage::Done;
    }

    fn cut(&mut self, kind: &'static str, told: String) {
        self.end_shot();
        self.plan.push(CarriageEffect::EndCut(Reason { kind, told }));
        self.stage = Stage::Done;
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    type Input = CarriageInput<u64>;
    type Effect = CarriageEffect<u64>;

    fn terms() -> Terms {
        Terms { run: "r.1".into(), repeatable: false, streams: true, claims: false, resumes: false }
    }

    fn placed(engine: &str) -> Input {
        Input::Picked(PickOutcome::Placed(engine.into()))
    }

    fn good_head() -> Input {
        Input::Head { head: Head::Good, told: String::new() }
    }

    fn piece(shot: &str, number: u64) -> Input {
        Input::Piece { shot: shot.into(), finished: false, piece: number }
    }

    /// Steps through all inputs; the effects of the last.
    fn after(terms: Terms, inputs: Vec<Input>) -> Vec<Effect> {
        let mut carriage = Carriage::new(terms);
        let mut last = carriage.step(Input::Begin);
        for input in inputs {
            last = carriage.step(input);
        }
        last
    }

    fn given_up(effects: &[Effect]) -> Option<(GivenUpKind, Ran)> {
        effects.iter().find_map(|effect| match effect {
            Effect::GiveUp(given_up) => Some((given_up.kind, given_up.ran)),
            _ => None,
        })
    }

    #[test]
    fn an_uncertain_shot_is_followed_by_another_only_if_repeatable() {
        let lost = || vec![placed("a"), Input::Connected, Input::SendFault { byte_left: true, reason: "x".into() }];
        assert_eq!(given_up(&after(terms(), lost())), Some((GivenUpKind::NotServed, Ran::Perhaps)));
        let again = after(Terms { repeatable: true, ..terms() }, lost());
        assert!(again.contains(&Effect::Pick { tried: vec!["a".into()], is_retry: true }), "{again:?}");
        let refused = after(terms(), vec![placed("a"), Input::ConnectFault("no".into())]);
        assert!(refused.contains(&Effect::Pick { tried: vec!["a".into()], is_retry: true }), "{refused:?}");
    }

    #[test]
    fn a_bar_after_an_uncertain_shot_does_not_say_that_nothing_ran() {
        for bar in [StartBar::NoLease, StartBar::KeyWithdrawn, StartBar::LimitPassed] {
            let inputs = vec![
                placed("a"),
                Input::Connected,
                Input::Broken("lost".into()),
                placed("b"),
                Input::Connected,
                Input::Barred(bar),
            ];
            let effects = after(Terms { repeatable: true, ..terms() }, inputs);
            assert_eq!(given_up(&effects).map(|(_, ran)| ran), Some(Ran::Perhaps), "{bar:?}: {effects:?}");
            let at_once = after(terms(), vec![placed("a"), Input::Connected, Input::Barred(bar)]);
            assert_eq!(given_up(&at_once).map(|(_, ran)| ran), Some(Ran::No), "{bar:?}");
        }
    }

    #[test]
    fn a_stream_is_whole_only_after_its_end_mark_and_its_clean_end() {
        let begun = || vec![placed("a"), Input::Connected, good_head(), piece("r.1.1", 0)];
        let with = |more: Vec<Input>| after(terms(), begun().into_iter().chain(more).collect());
        assert!(with(vec![Input::EndMark, Input::Closed]).contains(&Effect::EndWhole));
        for more in [
            vec![Input::Closed],
            vec![Input::Broken("reset".into())],
            vec![piece("r.2.1", 1)],
            vec![Input::EndMark, piece("r.1.1", 1)],
            vec![Input::EndMark, Input::Broken("reset".into())],
            vec![Input::EndMark, Input::EndMark],
            vec![Input::LimitPassed],
            vec![Input::BookFull],
            vec![Input::WorkBarred(WorkBar::KeyWithdrawn)],
        ] {
            let told = format!("{more:?}");
            let effects = with(more);
            assert!(effects.iter().any(|effect| matches!(effect, Effect::EndCut(_))), "{told}: {effects:?}");
            assert!(effects.contains(&Effect::EndShot), "{told}");
        }
    }

    #[test]
    fn an_engine_that_keeps_the_limit_is_no_fault() {
        let out_of_time = Input::Head { head: Head::OutOfTime, told: "limit_passed".into() };
        for repeatable in [false, true] {
            let inputs = vec![placed("a"), Input::Connected, out_of_time.clone()];
            let effects = after(Terms { repeatable, ..terms() }, inputs);
            assert_eq!(given_up(&effects), Some((GivenUpKind::LimitPassed, Ran::Perhaps)), "{effects:?}");
            assert!(!effects.iter().any(|effect| matches!(effect, Effect::ShotFault { .. })), "{effects:?}");
        }
    }

    #[test]
    fn foreign_and_partial_answers_never_pass() {
        let whole = Terms { streams: false, ..terms() };
        let begun = || vec![placed("a"), Input::Connected];
        let with = |more: Vec<Input>| after(whole.clone(), begun().into_iter().chain(more).collect());
        let finished = |shot: &str| Input::Piece { shot: shot.into(), finished: true, piece: 1 };
        assert!(with(vec![good_head(), finished("r.1.1")]).contains(&Effect::AnswerWhole(1)));
        for more in [
            vec![good_head(), finished("r.1.2")],
            vec![good_head(), piece("r.1.1", 1)],
            vec![good_head(), Input::Closed],
        ] {
            let told = format!("{more:?}");
            assert_eq!(given_up(&with(more)), Some((GivenUpKind::NotServed, Ran::Perhaps)), "{told}");
        }
    }

    #[test]
    fn a_claim_is_given_back_only_if_nothing_can_have_run() {
        let claims = Terms { claims: true, ..terms() };
        let taken = Input::ClaimSettled(Claimed::Taken);
        let refused = after(claims.clone(), vec![taken.clone(), Input::Picked(PickOutcome::NoEngine)]);
        assert!(refused.contains(&Effect::ReleaseClaim), "{refused:?}");
        let uncertain = vec![taken, placed("a"), Input::Connected, Input::LimitPassed];
        assert!(!after(claims.clone(), uncertain).contains(&Effect::ReleaseClaim));
        let full = after(claims.clone(), vec![Input::ClaimSettled(Claimed::Full)]);
        assert_eq!(given_up(&full), Some((GivenUpKind::NotServed, Ran::No)));
        let held = after(claims, vec![Input::ClaimSettled(Claimed::Held("r.9".into()))]);
        assert_eq!(given_up(&held), Some((GivenUpKind::Claimed, Ran::Perhaps)));
    }

    #[test]
    fn only_a_held_run_goes_on_without_its_caller() {
        let inputs = || vec![placed("a"), Input::Connected, good_head(), piece("r.1.1", 0), Input::CallerGone];
        assert_eq!(after(terms(), inputs()), [Effect::EndShot]);
        assert_eq!(after(Terms { resumes: true, ..terms() }, inputs()), []);
    }

    /// Whatever comes in whatever order: one final word at most, never more shots than allowed, no shot
    /// after an uncertain one unless repeatable, and nothing after the end.
    #[test]
    fn no_order_of_inputs_breaks_the_rules() {
        let ended = std::cell::Cell::new(0);
        for seed in 0..2000u64 {
            arbtest::arbtest(|draw| play(draw, &ended)).seed(seed << 32 | 1024);
        }
        assert!(ended.get() > 700, "few runs came to an end: {}", ended.get());
    }

    fn play(
        draw: &mut arbtest::arbitrary::Unstructured<'_>,
        ended: &std::cell::Cell<u32>,
    ) -> arbtest::arbitrary::Result<()> {
        let terms = Terms {
            run: "r.1".into(),
            repeatable: draw.arbitrary()?,
            streams: draw.arbitrary()?,
            claims: draw.arbitrary()?,
            resumes: draw.arbitrary()?,
        };
        let mut carriage = Carriage::new(terms.clone());
        let (mut writes, mut finals, mut pieces) = (0, 0, 0);
        let mut effects = carriage.step(Input::Begin);
        for _ in 0..100 {
            for effect in effects.drain(..) {
                assert_eq!(finals, 0, "something came after the final word: {effect:?}");
                match effect {
                    Effect::Write => {
                        writes += 1;
                        assert_eq!(pieces, 0, "a shot after a piece");
                    }
                    Effect::SendPiece(_) => pieces += 1,
                    Effect::EndWhole | Effect::EndCut(_) | Effect::AnswerWhole(_) => finals += 1,
                    Effect::GiveUp(_) => {
                        finals += 1;
                        assert_eq!(pieces, 0, "a final answer after a piece");
                    }
                    _ => {}
                }
            }
            let shot = carriage.shot();
            let input = match draw.int_in_range(0..=15)? {
                0 => Input::ClaimSettled(Claimed::Taken),
                1 => Input::ClaimSettled(Claimed::Unknown),
                2 | 3 => placed("a"),
                4 => Input::Picked(PickOutcome::NoEngine),
                5 | 6 => Input::Connected,
                7 => Input::Barred(StartBar::EngineMoved),
                8 => Input::SendFault { byte_left: draw.arbitrary()?, reason: "x".into() },
                9 | 10 => good_head(),
                11 | 12 => Input::Piece { shot, finished: draw.arbitrary()?, piece: 1 },
                13 => Input::EndMark,
                14 => Input::Closed,
                _ => Input::CallerGone,
            };
            effects = carriage.step(input);
        }
        assert!(writes <= MOST_SHOTS as usize);
        ended.set(ended.get() + u32::from(finals > 0));
        Ok(())
    }
}
