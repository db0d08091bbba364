//! How an attempt ends without an answer that can be passed on, what follows it, and the answers of the
//! gateway's own.

use super::Relay;
use crate::prelude::*;

/// How an attempt ended without an answer that can be passed on.
pub(super) enum AttemptEnd {
    /// It failed; with the engine's own answer, if there was one.
    Failed { failure: Failure, answer: Option<WebResponse> },
    /// No engine could be chosen.
    NoEngine,
    /// What it was chosen on no longer held when its first byte was due.
    Barred(Bar),
    /// The request's time is over.
    OutOfTime { is_sent: bool },
}

/// An end without any answer of the engine's own.
pub(super) fn failed(failure: Failure) -> AttemptEnd {
    AttemptEnd::Failed { failure, answer: None }
}

impl Relay {
    /// What follows an attempt; or the answer, where that is the engine's own.
    pub(super) fn after(&mut self, end: AttemptEnd) -> Result<Next, Box<WebResponse>> {
        match end {
            AttemptEnd::Failed { failure, answer } => {
                let next = self.exchange.fail(failure);
                match (next, answer) {
                    (Next::Answer(_), Some(answer)) => Err(Box::new(answer)),
                    (next, _) => Ok(next),
                }
            }
            AttemptEnd::NoEngine => Ok(self.exchange.give_up()),
            AttemptEnd::Barred(bar) => self.after_bar(bar),
            AttemptEnd::OutOfTime { is_sent } => Ok(self.exchange.run_out(is_sent)),
        }
    }

    fn after_bar(&mut self, bar: Bar) -> Result<Next, Box<WebResponse>> {
        match bar {
            Bar::NoLease => Ok(self.exchange.give_up()),
            Bar::KeyMoved => match self.exchange.give_up() {
                Next::Answer(FinalAnswer::NotRun) => Err(Box::new(self.key_withdrawn())),
                other => Ok(other),
            },
            Bar::EngineMoved | Bar::WallMoved => Ok(self.exchange.fail(Failure::NotSent)),
            Bar::OutOfTime => Ok(self.exchange.run_out(false)),
        }
    }

    fn key_withdrawn(&self) -> WebResponse {
        let refusal = Refusal::new(StatusCode::UNAUTHORIZED, "the key was withdrawn");
        own_answer(&*self.protocol, &self.planned.head.attempt, &refusal)
    }

    /// The gateway's own last word on a request, counted and noted.
    pub(super) fn final_answer(&self, answer: FinalAnswer) -> WebResponse {
        let refusal = self.count_refusal(answer);
        event!(
            debug,
            "request_given_up",
            attempt = self.planned.head.attempt,
            status = refusal.status.as_u16(),
            route = self.planned.route.name
        );
        own_answer(&*self.protocol, &self.planned.head.attempt, &refusal)
    }

    fn count_refusal(&self, answer: FinalAnswer) -> Refusal {
        let counts = &self.shared.counts;
        match answer {
            FinalAnswer::NotRun => {
                counts.not_run.fetch_add(1, Ordering::Relaxed);
                Refusal::later("no engine can take it now", self.retry_after)
            }
            FinalAnswer::Uncertain => {
                counts.unknown.fetch_add(1, Ordering::Relaxed);
                Refusal::new(StatusCode::BAD_GATEWAY, "the engine was lost; the request may have run")
            }
            FinalAnswer::OutOfTime => {
                counts.unknown.fetch_add(1, Ordering::Relaxed);
                Refusal::new(StatusCode::GATEWAY_TIMEOUT, "its time is over; the request may have run")
            }
        }
    }
}
