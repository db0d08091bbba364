//! What a run's state machine orders, carried out in the world.

use crate::prelude::*;

impl World {
    pub(crate) fn carry(
        &mut self,
        node: usize,
        router_id: NodeId,
        run: &mut SimRun,
        effect: AttemptEffect<SimPiece>,
        inputs: &mut VecDeque<AttemptInput<SimPiece>>,
    ) {
        let now = self.now;
        let local_now = self.nodes[node].clock.read(now);
        match effect {
            AttemptEffect::Claim => {
                let Some(claim) = run.claim else { return };
                let command = Command::Claim { claim, router: router_id, run: run.number };
                self.ask_core(node, router_id, run.number, command, true);
            }
            AttemptEffect::ReleaseClaim => {
                let Some(claim) = run.claim else { return };
                let command = Command::Release { claim, router: router_id, run: run.number };
                self.ask_core(node, router_id, run.number, command, false);
            }
            AttemptEffect::Pick { tried, is_retry } => {
                inputs.push_back(AttemptInput::Picked(self.pick(node, run, tried, is_retry, local_now)));
            }
            AttemptEffect::Connect { attempt } => self.connect_attempt(node, router_id, run, attempt),
            AttemptEffect::Write => self.write(node, router_id, run, local_now, inputs),
            AttemptEffect::FirstPieceReceived => {
                if let (Some(router), Some(attempt)) = (self.nodes[node].router.as_mut(), &run.attempt) {
                    router.picker.record_cached(&attempt.ground.engine, &attempt.names, local_now);
                }
                if run.request.resumes && run.request.streams {
                    run.held = Some(HeldEvents::default());
                }
            }
            AttemptEffect::SendPiece(piece) => {
                if let Some(held) = &mut run.held
                    && !held.hold(piece.clone(), 64)
                {
                    inputs.push_back(AttemptInput::BufferFull);
                    return;
                }
                self.feed_caller(run, CallerNews::Piece(piece));
            }
            AttemptEffect::AnswerWhole(piece) => self.feed_caller(run, CallerNews::Whole(piece)),
            AttemptEffect::EndWhole => {
                if let Some(held) = &mut run.held {
                    held.end(HeldEnd::Whole, local_now);
                }
                self.feed_caller(run, CallerNews::End);
            }
            AttemptEffect::EndCut(reason) => {
                let kind = reason.kind;
                run.cut_kind = kind;
                if let Some(held) = &mut run.held {
                    held.end(HeldEnd::Cut(reason), local_now);
                }
                self.feed_caller(run, CallerNews::Cut(kind));
            }
            AttemptEffect::GiveUp(given_up) => {
                self.feed_caller(run, final_news(&given_up));
            }
            AttemptEffect::EndAttempt => self.end_attempt(node, run),
            AttemptEffect::AttemptFault { avoid_engine, .. } => {
                if let (Some(router), Some(attempt), true) =
                    (self.nodes[node].router.as_mut(), &run.attempt, avoid_engine)
                {
                    router.picker.record_fault(&attempt.ground.engine, local_now);
                }
            }
        }
    }

    fn connect_attempt(&mut self, node: usize, router_id: NodeId, run: &mut SimRun, attempt: String) {
        let Some(under_way) = run.attempt.as_mut() else { return };
        under_way.name = attempt.clone();
        let to = AttemptPlaceName { node, router: router_id, run: run.number, attempt };
        let (span, input) = match self.engines[under_way.engine].up {
            true if self.net.slow && self.draw.chance(30) => {
                (Span::millis(self.draw.between(100, 690)), AttemptInput::Connected)
            }
            true => (self.net.delay(&mut self.draw), AttemptInput::Connected),
            false if self.draw.chance(30) => (Span::millis(700), AttemptInput::ConnectFault("late".into())),
            false => (Span::millis(2), AttemptInput::ConnectFault("refused".into())),
        };
        let prefiller = under_way.placement.prefill.iter().map(|prefill| prefill.engine.clone());
        let engines = prefiller.chain([under_way.ground.engine.clone()]).collect();
        self.later(span, SimEvent::RunInput { to, input });
        self.freeze_in_connect(node, &run.request.key_hash, &run.request.tenant, engines);
    }

    pub(crate) fn feed_caller(&mut self, run: &SimRun, news: CallerNews) {
        if let Some((caller, _)) = run.caller.filter(|attached| self.is_attached(*attached)) {
            self.caller_gets(caller, news);
        }
    }
}

/// The final answer a caller gets for a run that was given up.
fn final_news(given_up: &GivenUp) -> CallerNews {
    let outcome = match (given_up.kind, given_up.ran) {
        (GivenUpKind::Claimed, _) => "claimed",
        (_, Ran::Perhaps) => "unknown",
        (_, Ran::No) => "not_run",
    };
    let status = match given_up.kind {
        GivenUpKind::Claimed => 409,
        GivenUpKind::KeyWithdrawn => 401,
        GivenUpKind::LimitPassed => 504,
        GivenUpKind::NoLease => 503,
        GivenUpKind::NotServed | GivenUpKind::AdapterCold if given_up.ran == Ran::No => 503,
        GivenUpKind::NotServed | GivenUpKind::AdapterCold => 502,
    };
    CallerNews::Final { status, outcome }
}
