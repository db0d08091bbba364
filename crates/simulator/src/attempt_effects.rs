//! Carries out the effects of a run's attempt machine in the simulated world.

use crate::prelude::*;

impl World {
    /// Carries out one effect of an attempt machine; inputs that follow at once are queued.
    pub(crate) fn apply_attempt_effect(
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
                self.submit_from_router(node, router_id, run.number, command, true);
            }
            AttemptEffect::ReleaseClaim => {
                let Some(claim) = run.claim else { return };
                let command = Command::Release { claim, router: router_id, run: run.number };
                self.submit_from_router(node, router_id, run.number, command, false);
            }
            AttemptEffect::Pick { tried, is_retry } => {
                inputs.push_back(AttemptInput::Picked(self.pick(node, run, tried, is_retry, local_now)));
            }
            AttemptEffect::Connect { attempt } => self.connect_attempt(node, router_id, run, attempt),
            AttemptEffect::Write => self.write_request(node, router_id, run, local_now, inputs),
            AttemptEffect::FirstPieceReceived => {
                if let (Some(router), Some(attempt)) = (self.nodes[node].router.as_mut(), &run.attempt) {
                    router.picker.record_cached(&attempt.basis.engine, &attempt.names, local_now);
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
                self.send_to_caller(run, CallerMessage::Piece(piece));
            }
            AttemptEffect::AnswerWhole(piece) => self.send_to_caller(run, CallerMessage::Whole(piece)),
            AttemptEffect::EndWhole => {
                if let Some(held) = &mut run.held {
                    held.end(HeldEnd::Whole, local_now);
                }
                self.send_to_caller(run, CallerMessage::End);
            }
            AttemptEffect::EndCut(reason) => {
                let kind = reason.kind;
                run.cut_kind = kind;
                if let Some(held) = &mut run.held {
                    held.end(HeldEnd::Cut(reason), local_now);
                }
                self.send_to_caller(run, CallerMessage::Cut(kind));
            }
            AttemptEffect::GiveUp(given_up) => {
                self.send_to_caller(run, final_message(&given_up));
            }
            AttemptEffect::EndAttempt => self.end_attempt(node, run),
            AttemptEffect::AttemptFault { avoid_engine, .. } => {
                if let (Some(router), Some(attempt), true) =
                    (self.nodes[node].router.as_mut(), &run.attempt, avoid_engine)
                {
                    router.picker.record_fault(&attempt.basis.engine, local_now);
                }
            }
        }
    }

    fn connect_attempt(&mut self, node: usize, router_id: NodeId, run: &mut SimRun, attempt: String) {
        let Some(current) = run.attempt.as_mut() else { return };
        current.name = attempt.clone();
        let to = AttemptAddress { node, router: router_id, run: run.number, attempt };
        let (span, input) = match self.engines[current.engine].up {
            true if self.net.slow && self.rng.chance(30) => {
                (Span::millis(self.rng.between(100, 690)), AttemptInput::Connected)
            }
            true => (self.net.delay(&mut self.rng), AttemptInput::Connected),
            false if self.rng.chance(30) => (Span::millis(700), AttemptInput::ConnectFault("late".into())),
            false => (Span::millis(2), AttemptInput::ConnectFault("refused".into())),
        };
        let prefiller = current.placement.prefill.iter().map(|prefill| prefill.engine.clone());
        let engines = prefiller.chain([current.basis.engine.clone()]).collect();
        self.schedule_after(span, SimEvent::RunInput { to, input });
        self.freeze_node_on_connect(node, &run.request.key_hash, &run.request.tenant, engines);
    }

    pub(crate) fn send_to_caller(&mut self, run: &SimRun, message: CallerMessage) {
        if let Some((caller, _)) = run.caller.filter(|attached| self.is_attached(*attached)) {
            self.deliver_to_caller(caller, message);
        }
    }
}

/// The final answer to a caller whose run was given up.
fn final_message(given_up: &GivenUp) -> CallerMessage {
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
    CallerMessage::Final { status, outcome }
}
