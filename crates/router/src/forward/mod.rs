//! Forwards a request to engines. The attempt state machine decides; this module carries out its effects and feeds
//! their outcomes back as inputs. Until the first piece the run lives in the future of its HTTP request, so it ends
//! if the caller disconnects; a stream that has begun runs in its own task. Meanwhile the API key, the lease and the
//! time limit are watched, and the machine is notified when one of them ends the work.

mod answer;
mod attempt;
mod prefill;
mod run;
mod sink;

use crate::prelude::*;
use attempt::Attempt;
pub use run::Run;
use sink::Sink;

type Input = AttemptInput<Box<Completion>>;
type Effect = AttemptEffect<Box<Completion>>;

/// The operation whose outcome is the machine's next input.
#[derive(Clone, Debug)]
enum Awaited {
    Nothing,
    Claim,
    Pick { tried: Vec<EngineName>, is_retry: bool },
    Stream,
    Head,
    Pieces,
}

/// A run with its attempt state machine.
struct Forwarder {
    run: Run,
    machine: AttemptMachine<Box<Completion>>,
    awaited: Awaited,
    attempt: Option<Attempt>,
    /// The engine of the latest attempt.
    engine: EngineName,
    sink: Option<Arc<Sink>>,
    /// Events still to be sent to the caller.
    outbox: VecDeque<Bytes>,
    piece_count: u64,
    first_ms: Option<u64>,
    /// The policy that placed the latest attempt.
    policy: String,
}

impl Run {
    /// Forwards the request and returns its response; a stream then continues in its own task.
    pub async fn forward(self) -> WebResponse {
        Forwarder::new(self).run_until_answer().await
    }
}

impl Forwarder {
    fn new(run: Run) -> Forwarder {
        let plan = &run.plan;
        let terms = RequestTerms {
            run: plan.run.clone(),
            repeatable: plan.repeatable,
            streams: plan.streams,
            claims: plan.claim.is_some(),
            resumes: plan.resumes,
        };
        Forwarder {
            run,
            machine: AttemptMachine::new(terms),
            awaited: Awaited::Nothing,
            attempt: None,
            engine: EngineName::from(""),
            sink: None,
            outbox: VecDeque::new(),
            piece_count: 0,
            first_ms: None,
            policy: String::new(),
        }
    }

    async fn run_until_answer(mut self) -> WebResponse {
        let mut effects = self.machine.step(Input::Begin);
        loop {
            if let Some(response) = self.apply_effects(effects) {
                if !self.machine.is_done() {
                    tokio::spawn(self.run_to_end());
                }
                return response;
            }
            let input = self.next_input_or_stop().await;
            effects = self.machine.step(input);
        }
    }

    /// Runs a stream that has begun to its end.
    async fn run_to_end(mut self) {
        while !self.machine.is_done() {
            let input = self.next_input_or_stop().await;
            let caller_left = matches!(input, Input::CallerGone);
            let effects = self.machine.step(input);
            self.apply_effects(effects);
            if caller_left && self.machine.is_done() {
                self.record_cancelled();
            }
        }
    }

    fn record_cancelled(&self) {
        Counts::add(&self.run.shared.counts.cancelled, 1);
        self.log_end("cancelled", "");
    }

    /// The next input, unless the time limit, the key, the lease or the caller ends the work first.
    async fn next_input_or_stop(&mut self) -> Input {
        let limit_left = self.run.plan.limit.since(boot_now()).as_duration();
        let shared = Arc::clone(&self.run.shared);
        let (key_hash, tenant) = (self.run.plan.key_hash.clone(), self.run.plan.tenant.clone());
        let sink = self.sink.clone();
        let caller_gone = async {
            match &sink {
                Some(sink) => sink.gone().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            reason = shared.wait_until_work_must_stop(&key_hash, &tenant) => Input::WorkStopped(reason),
            () = tokio::time::sleep(limit_left) => Input::LimitPassed,
            () = caller_gone => Input::CallerGone,
            input = self.next_input() => input,
        }
    }

    /// Sends the pending events, then performs the awaited operation.
    async fn next_input(&mut self) -> Input {
        while let Some(event) = self.outbox.front().cloned() {
            let Some(sink) = self.sink.clone() else { break };
            if !sink.send(event).await {
                return if sink.is_buffered() { Input::BufferFull } else { Input::CallerGone };
            }
            self.outbox.pop_front();
        }
        match self.awaited.clone() {
            Awaited::Nothing => std::future::pending().await,
            Awaited::Claim => self.claim().await,
            Awaited::Pick { tried, is_retry } => self.pick(&tried, is_retry).await,
            Awaited::Stream => self.connect().await,
            Awaited::Head => self.send_request().await,
            Awaited::Pieces => self.read().await,
        }
    }

    /// Applies the machine's effects; returns the response to the caller if there is one now.
    fn apply_effects(&mut self, effects: Vec<Effect>) -> Option<WebResponse> {
        let mut response = None;
        for effect in effects {
            match effect {
                Effect::Claim => self.awaited = Awaited::Claim,
                Effect::ReleaseClaim => self.release_claim(),
                Effect::Pick { tried, is_retry } => self.awaited = Awaited::Pick { tried, is_retry },
                Effect::Connect { attempt } => {
                    self.record_placement(&attempt);
                    self.awaited = Awaited::Stream;
                }
                Effect::Write => self.awaited = Awaited::Head,
                Effect::FirstPieceReceived => response = self.begin_answer(),
                Effect::SendPiece(completion) => self.send_piece(*completion),
                Effect::AnswerWhole(completion) => response = Some(self.answer_whole(*completion)),
                Effect::EndWhole => self.end_stream(None),
                Effect::EndCut(reason) => self.end_stream(Some(reason)),
                Effect::GiveUp(given_up) => response = Some(self.give_up(given_up)),
                Effect::EndAttempt => self.attempt = None,
                Effect::AttemptFault { reason, ran, avoid_engine } => self.record_fault(&reason, ran, avoid_engine),
            }
        }
        response
    }

    fn record_placement(&mut self, attempt_name: &str) {
        if let Some(attempt) = &self.attempt {
            self.run.log_pick(&attempt.placement, attempt_name);
            self.run.draft = self.run.recorder.is_on().then(|| RecordedPick::from_placement(&attempt.placement));
        }
    }

    /// Claims the idempotency key at the coordinator.
    async fn claim(&mut self) -> Input {
        let (router, run) = (self.run.router, self.run.plan.run_number);
        let Some(claim) = self.run.plan.claim else { return Input::ClaimSettled(ClaimOutcome::Unknown) };
        let outcome = self.run.coordinator.submit(Command::Claim { claim, router, run }).await;
        Input::ClaimSettled(ClaimOutcome::of(outcome))
    }

    /// Releases the claim, as the request certainly did not run.
    fn release_claim(&self) {
        let (router, run) = (self.run.router, self.run.plan.run_number);
        let Some(claim) = self.run.plan.claim else { return };
        let coordinator = Arc::clone(&self.run.coordinator);
        tokio::spawn(async move { coordinator.submit(Command::Release { claim, router, run }).await });
    }
}

impl Drop for Forwarder {
    /// Cancels a run that is dropped before its end: its caller has left.
    fn drop(&mut self) {
        if self.machine.is_done() {
            return;
        }
        for effect in self.machine.step(Input::CallerGone) {
            if effect == Effect::ReleaseClaim {
                self.release_claim();
            }
        }
        self.record_cancelled();
    }
}
