//! How an attempt ends without an answer that can be passed on, what follows it, and the answers of the
//! gateway's own.

use super::Relay;
use crate::prelude::*;

/// How an attempt ended without an answer that can be passed on.
pub(super) enum AttemptEnd {
    /// It failed; with the engine's own answer, if there was one.
    Failed { failure: Failure, answer: Option<WebOutcome> },
    /// No engine could be chosen.
    NoEngine,
    /// What it was chosen on no longer held when its first byte was due.
    Refused(StartRefusal),
    /// The request's time is over.
    TimedOut { is_sent: bool },
}

/// An end without any answer of the engine's own.
pub(super) fn failed(failure: Failure) -> AttemptEnd {
    AttemptEnd::Failed { failure, answer: None }
}

impl Relay {
    /// What follows an attempt; or the answer, where that is the engine's own.
    pub(super) fn next_step(&mut self, end: AttemptEnd) -> Result<NextStep, Box<WebOutcome>> {
        match end {
            AttemptEnd::Failed { failure, answer } => {
                let next = self.retry_state.fail(failure);
                match (next, answer) {
                    (NextStep::Answer(_), Some(answer)) => Err(Box::new(answer)),
                    (next, _) => Ok(next),
                }
            }
            AttemptEnd::NoEngine => Ok(self.retry_state.give_up()),
            AttemptEnd::Refused(refusal) => self.after_refusal(refusal),
            AttemptEnd::TimedOut { is_sent } => Ok(self.retry_state.time_out(is_sent)),
        }
    }

    fn after_refusal(&mut self, refusal: StartRefusal) -> Result<NextStep, Box<WebOutcome>> {
        match refusal {
            StartRefusal::NoLease => Ok(self.retry_state.give_up()),
            StartRefusal::KeyMoved => match self.retry_state.give_up() {
                NextStep::Answer(FinalResponse::NotRun) => Err(Box::new(self.key_withdrawn())),
                other => Ok(other),
            },
            StartRefusal::EngineMoved | StartRefusal::WallMoved => Ok(self.retry_state.fail(Failure::NotSent)),
            StartRefusal::OutOfTime => Ok(self.retry_state.time_out(false)),
        }
    }

    fn key_withdrawn(&self) -> WebOutcome {
        let refusal = Refusal::new(StatusCode::UNAUTHORIZED, "the key was withdrawn");
        gateway_response(&*self.protocol, &self.planned.head.attempt, &refusal)
    }

    /// The gateway's own last word on a request, counted and noted.
    pub(super) fn final_response(&self, answer: FinalResponse) -> WebOutcome {
        let refusal = self.count_refusal(answer);
        event!(
            debug,
            "request_given_up",
            attempt = self.planned.head.attempt,
            status = refusal.status.as_u16(),
            route = self.planned.route.name
        );
        gateway_response(&*self.protocol, &self.planned.head.attempt, &refusal)
    }

    fn count_refusal(&self, answer: FinalResponse) -> Refusal {
        let counts = &self.shared.counts;
        match answer {
            FinalResponse::NotRun => {
                counts.not_run.fetch_add(1, Ordering::Relaxed);
                Refusal::retry_later("no engine can take it now", self.retry_after)
            }
            FinalResponse::Uncertain => {
                counts.unknown.fetch_add(1, Ordering::Relaxed);
                Refusal::new(StatusCode::BAD_GATEWAY, "the engine was lost; the request may have run")
            }
            FinalResponse::TimedOut => {
                counts.unknown.fetch_add(1, Ordering::Relaxed);
                Refusal::new(StatusCode::GATEWAY_TIMEOUT, "its time is over; the request may have run")
            }
        }
    }
}
