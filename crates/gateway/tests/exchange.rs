//! Whatever the order of failures, a request runs a second time only where its retry rules allow that, and a request
//! that may have run is never reported as not run.

use gateway::prelude::{Failure, FinalResponse, NextStep, RetryRules, RetryState};

fn rules(attempts: u64, repeatable: bool) -> RetryRules {
    RetryRules { attempts, repeatable, resumable: repeatable }
}

#[test]
fn an_uncertain_attempt_is_repeated_only_where_it_may_be() {
    let mut once = RetryState::new(rules(3, false));
    assert_eq!(once.fail(Failure::NotRun), NextStep::Select { is_retry: true });
    assert_eq!(once.fail(Failure::Uncertain), NextStep::Answer(FinalResponse::Uncertain));
    let mut repeatable = RetryState::new(rules(2, true));
    assert_eq!(repeatable.fail(Failure::Uncertain), NextStep::Select { is_retry: true });
    assert_eq!(repeatable.fail(Failure::NotRun), NextStep::Answer(FinalResponse::Uncertain));
}

#[test]
fn what_was_never_sent_counts_as_no_attempt_and_ends_as_not_run() {
    let mut retry_state = RetryState::new(rules(1, false));
    for _ in 0..3 {
        assert_eq!(retry_state.fail(Failure::NotSent), NextStep::Select { is_retry: false });
    }
    assert_eq!(retry_state.fail(Failure::NotSent), NextStep::Answer(FinalResponse::NotRun));
}

#[test]
fn a_begun_answer_goes_on_only_if_it_may_be_resumed() {
    for (resumable, next) in [(false, NextStep::Abort), (true, NextStep::Select { is_retry: true })] {
        let mut retry_state = RetryState::new(RetryRules { attempts: 2, repeatable: false, resumable });
        retry_state.begin_response();
        assert_eq!(retry_state.fail(Failure::Uncertain), next);
        assert_eq!(retry_state.give_up(), NextStep::Abort);
    }
}

#[test]
fn a_request_whose_time_is_over_is_not_run_only_if_nothing_was_sent() {
    assert_eq!(RetryState::new(rules(2, true)).time_out(false), NextStep::Answer(FinalResponse::NotRun));
    assert_eq!(RetryState::new(rules(2, true)).time_out(true), NextStep::Answer(FinalResponse::TimedOut));
}

#[test]
fn no_order_of_failures_breaks_the_guarantees() {
    for seed in 0..500u64 {
        arbtest::arbtest(|unstructured| {
            let attempts = unstructured.int_in_range(1..=4)?;
            let (repeatable, resumable) = (unstructured.arbitrary()?, unstructured.arbitrary()?);
            let mut retry_state = RetryState::new(RetryRules { attempts, repeatable, resumable });
            let (mut sent, mut ran) = (0, false);
            loop {
                let begins: bool = unstructured.ratio(1, 5)?;
                let failure = *unstructured.choose(&[Failure::NotSent, Failure::NotRun, Failure::Uncertain])?;
                let failure = if begins { Failure::Uncertain } else { failure };
                if failure != Failure::NotSent {
                    sent += 1;
                    assert!(sent <= attempts);
                }
                if failure == Failure::Uncertain {
                    assert!(
                        !ran || repeatable || (resumable && retry_state.has_response_begun()),
                        "it may have run before"
                    );
                    ran = true;
                }
                if begins {
                    retry_state.begin_response();
                }
                match retry_state.fail(failure) {
                    NextStep::Select { .. } => {}
                    NextStep::Answer(FinalResponse::NotRun) => {
                        assert!(!ran, "it may have run");
                        return Ok(());
                    }
                    NextStep::Answer(_) => return Ok(()),
                    NextStep::Abort => {
                        assert!(retry_state.has_response_begun());
                        return Ok(());
                    }
                }
            }
        })
        .seed(seed << 32 | 128)
        .run();
    }
}
