//! How an attempt ends without a response to forward, the step that follows, and the gateway's own responses.

use super::Relay;
use crate::prelude::*;

/// How an attempt ended without a response to forward.
pub(super) enum AttemptEnd {
    /// The attempt failed; with the engine's error response, if there was one.
    Failed { failure: Failure, answer: Option<WebResponse> },
    /// No engine could be selected.
    NoEngine,
    /// The facts on which the attempt was placed had changed when its first byte was to be written.
    Refused(StartRefusal),
    /// The response cannot be held for the caller at present.
    NoRoom,
    /// The request's time limit has passed.
    TimedOut { is_sent: bool },
}

/// A failure without a response from the engine.
pub(super) fn failed(failure: Failure) -> AttemptEnd {
    AttemptEnd::Failed { failure, answer: None }
}

impl Relay {
    /// The step that follows an attempt; an error is the response to send at once.
    pub(super) fn next_step(&mut self, end: AttemptEnd) -> Result<NextStep, Box<WebResponse>> {
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
            AttemptEnd::NoRoom => Err(Box::new(self.no_room())),
            AttemptEnd::TimedOut { is_sent } => Ok(self.retry_state.time_out(is_sent)),
        }
    }

    fn after_refusal(&mut self, refusal: StartRefusal) -> Result<NextStep, Box<WebResponse>> {
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

    /// The request has run, and another attempt would need the same room.
    fn no_room(&self) -> WebResponse {
        self.shared.counts.unknown.fetch_add(1, Ordering::Relaxed);
        let refusal = Refusal::new(StatusCode::BAD_GATEWAY, "the answer cannot be held; the request may have run");
        gateway_response(&*self.protocol, &self.planned.head.attempt, &refusal)
    }

    fn key_withdrawn(&self) -> WebResponse {
        let refusal = Refusal::new(StatusCode::UNAUTHORIZED, "the key was withdrawn");
        gateway_response(&*self.protocol, &self.planned.head.attempt, &refusal)
    }

    /// Counts and logs the gateway's own final response, and builds it.
    pub(super) fn final_response(&self, answer: FinalResponse) -> WebResponse {
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
                Refusal::retry_later("no engine can take the request now", self.retry_after)
            }
            FinalResponse::Uncertain => {
                counts.unknown.fetch_add(1, Ordering::Relaxed);
                Refusal::new(StatusCode::BAD_GATEWAY, "the engine was lost; the request may have run")
            }
            FinalResponse::TimedOut => {
                counts.unknown.fetch_add(1, Ordering::Relaxed);
                Refusal::new(StatusCode::GATEWAY_TIMEOUT, "the time limit has passed; the request may have run")
            }
        }
    }
}
