//! The attempt state machine under chosen and random sequences of inputs.

use attempts::prelude::*;

type Input = AttemptInput<u64>;
type Effect = AttemptEffect<u64>;

fn terms() -> RequestTerms {
    RequestTerms { run: "r.1".into(), repeatable: false, streams: true, claims: false, resumes: false }
}

fn placed(engine: &str) -> Input {
    Input::Picked(PickOutcome::Placed(engine.into()))
}

fn good_head() -> Input {
    Input::Head { head: ResponseClass::Success, detail: String::new() }
}

fn piece(attempt: &str, number: u64) -> Input {
    Input::Piece { attempt: attempt.into(), finished: false, piece: number }
}

/// Feeds all inputs in turn and returns the effects of the last one.
fn after(terms: RequestTerms, inputs: Vec<Input>) -> Vec<Effect> {
    let mut machine = AttemptMachine::new(terms);
    let mut last = machine.step(Input::Begin);
    for input in inputs {
        last = machine.step(input);
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
fn an_attempt_that_may_have_run_is_retried_only_if_repeatable() {
    let lost = || vec![placed("a"), Input::Connected, Input::SendFault { byte_left: true, reason: "x".into() }];
    assert_eq!(given_up(&after(terms(), lost())), Some((GivenUpKind::NotServed, Ran::Perhaps)));
    let again = after(RequestTerms { repeatable: true, ..terms() }, lost());
    assert!(again.contains(&Effect::Pick { tried: vec!["a".into()], is_retry: true }), "{again:?}");
    let refused = after(terms(), vec![placed("a"), Input::ConnectFault("no".into())]);
    assert!(refused.contains(&Effect::Pick { tried: vec!["a".into()], is_retry: true }), "{refused:?}");
}

#[test]
fn a_start_refusal_after_an_uncertain_attempt_does_not_claim_that_nothing_ran() {
    for refusal in [StartRefusal::NoLease, StartRefusal::KeyWithdrawn, StartRefusal::LimitPassed] {
        let inputs = vec![
            placed("a"),
            Input::Connected,
            Input::Broken("lost".into()),
            placed("b"),
            Input::Connected,
            Input::StartRefused(refusal),
        ];
        let effects = after(RequestTerms { repeatable: true, ..terms() }, inputs);
        assert_eq!(given_up(&effects).map(|(_, ran)| ran), Some(Ran::Perhaps), "{refusal:?}: {effects:?}");
        let at_once = after(terms(), vec![placed("a"), Input::Connected, Input::StartRefused(refusal)]);
        assert_eq!(given_up(&at_once).map(|(_, ran)| ran), Some(Ran::No), "{refusal:?}");
    }
}

#[test]
fn a_stream_is_complete_only_after_its_end_mark_and_a_clean_close() {
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
        vec![Input::BufferFull],
        vec![Input::WorkStopped(StopReason::KeyWithdrawn)],
    ] {
        let sequence = format!("{more:?}");
        let effects = with(more);
        assert!(effects.iter().any(|effect| matches!(effect, Effect::EndCut(_))), "{sequence}: {effects:?}");
        assert!(effects.contains(&Effect::EndAttempt), "{sequence}");
    }
}

#[test]
fn an_engine_that_stops_at_the_time_limit_is_not_at_fault() {
    let out_of_time = Input::Head { head: ResponseClass::OutOfTime, detail: "limit_passed".into() };
    for repeatable in [false, true] {
        let inputs = vec![placed("a"), Input::Connected, out_of_time.clone()];
        let effects = after(RequestTerms { repeatable, ..terms() }, inputs);
        assert_eq!(given_up(&effects), Some((GivenUpKind::LimitPassed, Ran::Perhaps)), "{effects:?}");
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::AttemptFault { .. })), "{effects:?}");
    }
}

#[test]
fn answers_of_other_attempts_and_partial_answers_are_rejected() {
    let whole = RequestTerms { streams: false, ..terms() };
    let begun = || vec![placed("a"), Input::Connected];
    let with = |more: Vec<Input>| after(whole.clone(), begun().into_iter().chain(more).collect());
    let finished = |attempt: &str| Input::Piece { attempt: attempt.into(), finished: true, piece: 1 };
    assert!(with(vec![good_head(), finished("r.1.1")]).contains(&Effect::AnswerWhole(1)));
    for more in
        [vec![good_head(), finished("r.1.2")], vec![good_head(), piece("r.1.1", 1)], vec![good_head(), Input::Closed]]
    {
        let sequence = format!("{more:?}");
        assert_eq!(given_up(&with(more)), Some((GivenUpKind::NotServed, Ran::Perhaps)), "{sequence}");
    }
}

#[test]
fn a_claim_is_released_only_if_nothing_can_have_run() {
    let claims = RequestTerms { claims: true, ..terms() };
    let taken = Input::ClaimSettled(ClaimOutcome::Taken);
    let refused = after(claims.clone(), vec![taken.clone(), Input::Picked(PickOutcome::NoEngine)]);
    assert!(refused.contains(&Effect::ReleaseClaim), "{refused:?}");
    let uncertain = vec![taken, placed("a"), Input::Connected, Input::LimitPassed];
    assert!(!after(claims.clone(), uncertain).contains(&Effect::ReleaseClaim));
    let full = after(claims.clone(), vec![Input::ClaimSettled(ClaimOutcome::Full)]);
    assert_eq!(given_up(&full), Some((GivenUpKind::NotServed, Ran::No)));
    let held = after(claims, vec![Input::ClaimSettled(ClaimOutcome::Held("r.9".into()))]);
    assert_eq!(given_up(&held), Some((GivenUpKind::Claimed, Ran::Perhaps)));
}

#[test]
fn only_a_resumable_run_continues_without_its_caller() {
    let inputs = || vec![placed("a"), Input::Connected, good_head(), piece("r.1.1", 0), Input::CallerGone];
    assert_eq!(after(terms(), inputs()), [Effect::EndAttempt]);
    assert_eq!(after(RequestTerms { resumes: true, ..terms() }, inputs()), []);
}

/// For any sequence of inputs: at most one final answer, never more attempts than allowed, no attempt after the
/// first piece, and no effect after the end.
#[test]
fn random_input_sequences_keep_the_invariants() {
    let ended = std::cell::Cell::new(0);
    for seed in 0..2000u64 {
        arbtest::arbtest(|unstructured| play(unstructured, &ended)).seed(seed << 32 | 1024);
    }
    assert!(ended.get() > 700, "few runs came to an end: {}", ended.get());
}

fn play(
    unstructured: &mut arbtest::arbitrary::Unstructured<'_>,
    ended: &std::cell::Cell<u32>,
) -> arbtest::arbitrary::Result<()> {
    let terms = RequestTerms {
        run: "r.1".into(),
        repeatable: unstructured.arbitrary()?,
        streams: unstructured.arbitrary()?,
        claims: unstructured.arbitrary()?,
        resumes: unstructured.arbitrary()?,
    };
    let mut machine = AttemptMachine::new(terms.clone());
    let (mut writes, mut finals, mut pieces) = (0, 0, 0);
    let mut effects = machine.step(Input::Begin);
    for _ in 0..100 {
        for effect in effects.drain(..) {
            assert_eq!(finals, 0, "an effect after the final answer: {effect:?}");
            match effect {
                Effect::Write => {
                    writes += 1;
                    assert_eq!(pieces, 0, "an attempt after a piece");
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
        let attempt = machine.attempt();
        let input = match unstructured.int_in_range(0..=15)? {
            0 => Input::ClaimSettled(ClaimOutcome::Taken),
            1 => Input::ClaimSettled(ClaimOutcome::Unknown),
            2 | 3 => placed("a"),
            4 => Input::Picked(PickOutcome::NoEngine),
            5 | 6 => Input::Connected,
            7 => Input::StartRefused(StartRefusal::EngineMoved),
            8 => Input::SendFault { byte_left: unstructured.arbitrary()?, reason: "x".into() },
            9 | 10 => good_head(),
            11 | 12 => Input::Piece { attempt, finished: unstructured.arbitrary()?, piece: 1 },
            13 => Input::EndMark,
            14 => Input::Closed,
            _ => Input::CallerGone,
        };
        effects = machine.step(input);
    }
    assert!(writes <= MAX_ATTEMPTS as usize);
    ended.set(ended.get() + u32::from(finals > 0));
    Ok(())
}
