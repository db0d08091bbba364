//! Attempts of a run: placed, written through the gate, prefilled elsewhere in a split pool, and ended.

use crate::prelude::*;

impl World {
    pub(crate) fn pick(
        &mut self,
        node: usize,
        run: &mut SimRun,
        tried: Vec<EngineName>,
        is_retry: bool,
        local_now: Instant,
    ) -> PickOutcome {
        let Some(router) = self.nodes[node].router.as_mut() else { return PickOutcome::Overloaded };
        let sight = &router.sight;
        let model = ModelName(MODEL.into());
        let wall = sight.state.wall_of(&run.request.tenant);
        let adapter = sight.state.adapter_for(&run.request.tenant, &model);
        let salt_on =
            |weights| Salt::for_model(&model, weights, wall.id, wall.edition).with_adapter(adapter.as_ref());
        let names: BTreeMap<WeightsEdition, Vec<BlockHash>> = sight
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
        let Some(placement) = router.picker.pick(sight, &prompt, local_now) else {
            let is_cold = adapter.is_some_and(|adapter| !sight.is_warm_anywhere(&adapter, local_now));
            return if is_cold { PickOutcome::NoAdapter } else { PickOutcome::NoEngine };
        };
        if is_retry {
            if !router.budget.try_withdraw() {
                return PickOutcome::NoBudget;
            }
            router.retries += 1;
        } else {
            router.budget.deposit(sight.state.desired.routing.retry_percent);
        }
        router.attempts += 1;
        let weights = placement.chosen.weights;
        let engine_name = placement.chosen.engine.clone();
        let blocks = BlockCount(prompt.blocks.0 + prompt.output_blocks.0);
        let ground = AttemptBasis {
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
            ground,
            names,
            arrives_at: None,
            allowance: Allowance::under(router.lease_until, run.limit),
            prefilled: Prefilled::Not,
        });
        PickOutcome::Placed(engine_name)
    }

    pub(crate) fn write(
        &mut self,
        node: usize,
        router_id: NodeId,
        run: &mut SimRun,
        local_now: Instant,
        inputs: &mut VecDeque<AttemptInput<SimPiece>>,
    ) {
        if self.ask_prefill(node, router_id, run, local_now) {
            return;
        }
        let (Some(router), Some(attempt)) = (&self.nodes[node].router, run.attempt.as_mut()) else { return };
        let to = AttemptPlaceName { node, router: router_id, run: run.number, attempt: attempt.name.clone() };
        attempt.prefilled = Prefilled::Over;
        if let Err(bar) = may_start(&router.sight, router.lease_until, &attempt.ground, local_now) {
            inputs.push_back(AttemptInput::StartRefused(bar));
            return;
        }
        let bound = router.sight.state.adapter_for(&run.request.tenant, &attempt.ground.model);
        if self.scenario.is_some() {
            let (at, attempt) = (self.millis(), attempt.name.clone());
            let adapter = written(bound.as_ref());
            self.record.events.push(EventLine::Written { at, attempt, adapter });
        }
        let arrives_at = self.now + self.net.delay(&mut self.draw);
        attempt.arrives_at = Some(arrives_at);
        attempt.allowance = Allowance::under(router.lease_until, run.limit);
        let ask = EngineAsk {
            to,
            tenant: run.request.tenant.clone(),
            weights: attempt.ground.weights,
            adapter: attempt.ground.adapter.clone(),
            salt: attempt.ground.salt.clone(),
            names: attempt.names.clone(),
            fetches: attempt.placement.fetches.clone(),
            tokens: run.request.tokens,
            streams: run.request.streams,
            limit: attempt.allowance.left(local_now),
        };
        let engine = attempt.engine;
        self.at(arrives_at, SimEvent::EngineGets { engine, ask: Box::new(ask) });
    }

    /// In a split pool, asks the prefilling engine once; whether that is to be waited for.
    fn ask_prefill(&mut self, node: usize, router_id: NodeId, run: &mut SimRun, local_now: Instant) -> bool {
        let (Some(router), Some(attempt)) = (&self.nodes[node].router, run.attempt.as_mut()) else { return false };
        let Some(prefill) = attempt.placement.prefill.as_ref().filter(|_| attempt.prefilled == Prefilled::Not) else {
            return false;
        };
        attempt.prefilled = Prefilled::Asked;
        let ground = AttemptBasis { engine: prefill.engine.clone(), ..attempt.ground.clone() };
        let place = self.engines.iter().position(|engine| engine.name == prefill.engine);
        let may_prefill = may_start(&router.sight, router.lease_until, &ground, local_now).is_ok();
        let Some(engine) = place.filter(|_| may_prefill) else { return false };
        let to = AttemptPlaceName { node, router: router_id, run: run.number, attempt: attempt.name.clone() };
        let ask = EngineAsk {
            to: to.clone(),
            tenant: run.request.tenant.clone(),
            weights: ground.weights,
            adapter: ground.adapter.clone(),
            salt: ground.salt.clone(),
            names: attempt.names.clone(),
            fetches: Vec::new(),
            tokens: 0,
            streams: false,
            limit: run.limit.since(local_now),
        };
        let patience = Span(run.limit.since(local_now).0 / 2);
        let delay = self.net.delay(&mut self.draw);
        self.later(delay, SimEvent::EnginePrefills { engine, ask: Box::new(ask) });
        self.later(patience, SimEvent::Prefilled { to });
        true
    }

    /// A prefill is over, or was waited for long enough: the decoding engine is asked.
    pub fn hear_prefilled(&mut self, to: AttemptPlaceName) {
        let woken_at = self.nodes[to.node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, SimEvent::Prefilled { to });
        }
        let router = self.nodes[to.node].router.as_ref().filter(|router| router.id == to.router);
        let attempt = router.and_then(|router| router.runs.get(&to.run)?.attempt.as_ref());
        if attempt.is_some_and(|attempt| attempt.name == to.attempt && attempt.prefilled == Prefilled::Asked) {
            self.drive_on(to.node, to.router, to.run, None);
        }
    }

    pub(crate) fn end_attempt(&mut self, node: usize, run: &mut SimRun) {
        let Some(attempt) = run.attempt.take() else { return };
        if let Some(router) = self.nodes[node].router.as_mut() {
            router.picker.end_attempt(&attempt.ground.engine, attempt.blocks);
        }
        if let Some(arrives_at) = attempt.arrives_at {
            let closed_at = self.now + Span::millis(3) + self.net.delay(&mut self.draw);
            let lost = SimEvent::EngineLosesCaller { engine: attempt.engine, attempt: attempt.name };
            self.at(closed_at.max(arrives_at), lost);
        }
    }
}
