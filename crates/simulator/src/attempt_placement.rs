//! Attempts of a run: placement, the start check before the request is written, prefill on another engine in a split
//! pool, and the end of the attempt.

use crate::prelude::*;

impl World {
    /// Picks an engine for an attempt and draws on the retry budget if it is a retry.
    pub(crate) fn pick(
        &mut self,
        node: usize,
        run: &mut SimRun,
        tried: Vec<EngineName>,
        is_retry: bool,
        local_now: Instant,
    ) -> PickOutcome {
        let Some(router) = self.nodes[node].router.as_mut() else { return PickOutcome::Overloaded };
        let snapshot = &router.snapshot;
        let model = ModelName(MODEL.into());
        let wall = snapshot.state.wall_of(&run.request.tenant);
        let adapter = snapshot.state.adapter_for(&run.request.tenant, &model);
        let salt_on =
            |weights| Salt::for_model(&model, weights, wall.id, wall.edition).with_adapter(adapter.as_ref());
        let names: BTreeMap<WeightsEdition, Vec<BlockHash>> = snapshot
            .editions_in_use(&model, local_now)
            .into_iter()
            .map(|weights| (weights, hash_blocks(&salt_on(weights), run.request.text.as_bytes())))
            .collect();
        let prompt = Prompt {
            tenant: run.request.tenant.clone(),
            kind: "k".into(),
            model: model.clone(),
            adapter: adapter.clone(),
            names,
            blocks: blocks_needed(run.request.text.len()),
            output_blocks: BlockCount(run.request.tokens.div_ceil(16)),
            trial_bucket: 0,
            tried,
        };
        let Some(placement) = router.picker.pick(snapshot, &prompt, local_now) else {
            let is_cold = adapter.is_some_and(|adapter| !snapshot.is_warm_anywhere(&adapter, local_now));
            return if is_cold { PickOutcome::NoAdapter } else { PickOutcome::NoEngine };
        };
        if is_retry {
            if !router.budget.try_withdraw() {
                return PickOutcome::NoBudget;
            }
            router.retries += 1;
        } else {
            router.budget.deposit(snapshot.state.desired.routing.retry_percent);
        }
        router.attempts += 1;
        let weights = placement.chosen.weights;
        let engine_name = placement.chosen.engine.clone();
        let blocks = BlockCount(prompt.blocks.0 + prompt.output_blocks.0);
        let basis = AttemptBasis {
            key_hash: run.request.key_hash.clone(),
            tenant: run.request.tenant.clone(),
            model: model.clone(),
            engine: engine_name.clone(),
            weights,
            adapter: adapter.clone(),
            salt: salt_on(weights),
            limit: run.limit,
        };
        router.picker.begin_attempt(&engine_name, blocks);
        let names = prompt.names.get(&weights).cloned().unwrap_or_default();
        let Some(engine) = self.engines.iter().position(|engine| engine.name == engine_name) else {
            return PickOutcome::NoEngine;
        };
        run.attempt = Some(SimAttempt {
            name: String::new(),
            engine,
            blocks,
            placement: Box::new(placement),
            basis,
            names,
            arrives_at: None,
            allowance: Allowance::under(router.lease_until, run.limit),
            prefill: PrefillState::NotRequested,
        });
        PickOutcome::Placed(engine_name)
    }

    /// Sends an attempt's request to its engine, after the prefill and the start check.
    pub(crate) fn write_request(
        &mut self,
        node: usize,
        router_id: NodeId,
        run: &mut SimRun,
        local_now: Instant,
        inputs: &mut VecDeque<AttemptInput<SimPiece>>,
    ) {
        if self.request_prefill(node, router_id, run, local_now) {
            return;
        }
        let (Some(router), Some(attempt)) = (&self.nodes[node].router, run.attempt.as_mut()) else { return };
        let to = AttemptAddress { node, router: router_id, run: run.number, attempt: attempt.name.clone() };
        attempt.prefill = PrefillState::Done;
        if let Err(refusal) = may_start(&router.snapshot, router.lease_until, &attempt.basis, local_now) {
            inputs.push_back(AttemptInput::StartRefused(refusal));
            return;
        }
        let bound = router.snapshot.state.adapter_for(&run.request.tenant, &attempt.basis.model);
        if self.scenario.is_some() {
            let (at, attempt) = (self.millis(), attempt.name.clone());
            let adapter = adapter_text(bound.as_ref());
            self.record.events.push(EventLine::Written { at, attempt, adapter });
        }
        let arrives_at = self.now + self.net.delay(&mut self.rng);
        attempt.arrives_at = Some(arrives_at);
        attempt.allowance = Allowance::under(router.lease_until, run.limit);
        let request = EngineRequest {
            to,
            tenant: run.request.tenant.clone(),
            weights: attempt.basis.weights,
            adapter: attempt.basis.adapter.clone(),
            salt: attempt.basis.salt.clone(),
            names: attempt.names.clone(),
            fetches: attempt.placement.fetches.clone(),
            tokens: run.request.tokens,
            streams: run.request.streams,
            limit: attempt.allowance.left(local_now),
        };
        let engine = attempt.engine;
        self.schedule_at(arrives_at, SimEvent::AttemptArrives { engine, request: Box::new(request) });
    }

    /// In a split pool, sends the prompt to the prefill engine, once per attempt. Returns whether the attempt has to
    /// wait for it.
    fn request_prefill(&mut self, node: usize, router_id: NodeId, run: &mut SimRun, local_now: Instant) -> bool {
        let (Some(router), Some(attempt)) = (&self.nodes[node].router, run.attempt.as_mut()) else { return false };
        let Some(prefill) =
            attempt.placement.prefill.as_ref().filter(|_| attempt.prefill == PrefillState::NotRequested)
        else {
            return false;
        };
        attempt.prefill = PrefillState::Requested;
        let basis = AttemptBasis { engine: prefill.engine.clone(), ..attempt.basis.clone() };
        let place = self.engines.iter().position(|engine| engine.name == prefill.engine);
        let may_prefill = may_start(&router.snapshot, router.lease_until, &basis, local_now).is_ok();
        let Some(engine) = place.filter(|_| may_prefill) else { return false };
        let to = AttemptAddress { node, router: router_id, run: run.number, attempt: attempt.name.clone() };
        let request = EngineRequest {
            to: to.clone(),
            tenant: run.request.tenant.clone(),
            weights: basis.weights,
            adapter: basis.adapter.clone(),
            salt: basis.salt.clone(),
            names: attempt.names.clone(),
            fetches: Vec::new(),
            tokens: 0,
            streams: false,
            limit: run.limit.since(local_now),
        };
        let patience = Span(run.limit.since(local_now).0 / 2);
        let delay = self.net.delay(&mut self.rng);
        self.schedule_after(delay, SimEvent::PrefillArrives { engine, request: Box::new(request) });
        self.schedule_after(patience, SimEvent::PrefillDone { to });
        true
    }

    /// The prefill has ended or its wait has timed out: sends the attempt to the decode engine.
    pub fn handle_prefill_done(&mut self, to: AttemptAddress) {
        let woken_at = self.nodes[to.node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, SimEvent::PrefillDone { to });
        }
        let router = self.nodes[to.node].router.as_ref().filter(|router| router.id == to.router);
        let attempt = router.and_then(|router| router.runs.get(&to.run)?.attempt.as_ref());
        if attempt.is_some_and(|attempt| attempt.name == to.attempt && attempt.prefill == PrefillState::Requested) {
            self.drive_or_write(to.node, to.router, to.run, None);
        }
    }

    /// Ends a run's current attempt; its engine learns of the closed stream later.
    pub(crate) fn end_attempt(&mut self, node: usize, run: &mut SimRun) {
        let Some(attempt) = run.attempt.take() else { return };
        if let Some(router) = self.nodes[node].router.as_mut() {
            router.picker.end_attempt(&attempt.basis.engine, attempt.blocks);
        }
        if let Some(arrives_at) = attempt.arrives_at {
            let closed_at = self.now + Span::millis(3) + self.net.delay(&mut self.rng);
            let closed = SimEvent::AttemptClosed { engine: attempt.engine, attempt: attempt.name };
            self.schedule_at(closed_at.max(arrives_at), closed);
        }
    }
}
