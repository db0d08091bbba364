//! Scores the engines for a prompt and picks one.

use crate::prelude::*;

impl Picker {
    /// Picks the eligible engine with the lowest cost; none if no engine is eligible. In a disaggregated pool the
    /// prefill engine is picked by its cached prefix, and the decode engine by its blocks in use and to be added.
    pub fn pick(&mut self, snapshot: &FleetSnapshot, prompt: &Prompt, now: Instant) -> Option<Placement> {
        let (policy, table) = table_for(snapshot, prompt);
        let scores = self.score(snapshot, prompt, table, now);
        let (mut candidates, prefillers): (Vec<Score>, Vec<Score>) =
            scores.into_iter().partition(|score| score.role != Role::Prefill);
        let chosen = self.cheapest(&candidates, prompt)?.clone();
        let (default_engine, default_excess) = match policy == DEFAULT_POLICY {
            true => (chosen.engine.clone(), 0.0),
            false => self.compared_with_default(snapshot, prompt, &chosen, now)?,
        };
        candidates.sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let address = snapshot.state.listing.engines.get(&chosen.engine)?.address.clone();
        let names = prompt.names.get(&chosen.weights).map(Vec::as_slice).unwrap_or_default();
        let mut placement = Placement {
            chosen: chosen.clone(),
            address,
            candidates,
            default_engine,
            default_excess,
            policy: policy.to_owned(),
            fetches: Vec::new(),
            prefill: None,
            tie_name: tie_name(prompt),
        };
        match chosen.role {
            Role::Decode => self.place_prefill(snapshot, prompt, prefillers, names, &mut placement),
            _ => placement.fetches = self.plan_fetch(snapshot, names, &chosen),
        }
        Some(placement)
    }

    /// The engine that the default policy would have chosen, and the additional cost of the chosen one by it.
    fn compared_with_default(
        &self,
        snapshot: &FleetSnapshot,
        prompt: &Prompt,
        chosen: &Score,
        now: Instant,
    ) -> Option<(EngineName, f64)> {
        let scores = self.score(snapshot, prompt, &snapshot.default_table, now);
        let candidates: Vec<Score> = scores.into_iter().filter(|score| score.role != Role::Prefill).collect();
        let default_chosen = self.cheapest(&candidates, prompt)?;
        let own_cost = candidates.iter().find(|score| score.engine == chosen.engine)?.cost;
        Some((default_chosen.engine.clone(), own_cost - default_chosen.cost))
    }

    /// In a disaggregated pool: the cheapest engine on the same weights prefills, and the chosen one fetches from it.
    fn place_prefill(
        &self,
        snapshot: &FleetSnapshot,
        prompt: &Prompt,
        prefillers: Vec<Score>,
        names: &[BlockHash],
        placement: &mut Placement,
    ) {
        let weights = placement.chosen.weights;
        let same_weights: Vec<Score> = prefillers.into_iter().filter(|score| score.weights == weights).collect();
        let Some(prefiller) = self.cheapest(&same_weights, prompt) else { return };
        let Some(listed) = snapshot.state.listing.engines.get(&prefiller.engine) else { return };
        let (engine, address) = (prefiller.engine.clone(), listed.address.clone());
        let from = FetchFrom::Peer(engine.clone());
        placement.fetches = vec![FetchRun { from, address: address.clone(), names: names.to_vec() }];
        placement.prefill = Some(PrefillPlace { engine, address });
    }

    /// The scores of all eligible engines; those that back off are included only if all of them do.
    fn score(&self, snapshot: &FleetSnapshot, prompt: &Prompt, table: &WeightTable, now: Instant) -> Vec<Score> {
        let overlaps = prompt
            .names
            .iter()
            .map(|(edition, names)| (*edition, self.tree.overlaps(names).into_iter().collect()))
            .collect();
        let scoring = Scoring { picker: self, snapshot, prompt, table, overlaps, now };
        let engines = &snapshot.state.listing.engines;
        let mut scores: Vec<Score> =
            engines.iter().filter_map(|(engine, listed)| scoring.score(engine, listed)).collect();
        if scores.iter().any(|score| !score.is_backing_off) {
            scores.retain(|score| !score.is_backing_off);
        }
        scores
    }

    /// The engine with the lowest cost. Ties go to engines that are not `is_far`, then by a hash of prefix, router
    /// and engine, so that routers don't all choose the same engine.
    fn cheapest<'a>(&self, scores: &'a [Score], prompt: &Prompt) -> Option<&'a Score> {
        let prefix = tie_name(prompt);
        let tie_break = |score: &Score| spread_of(prefix, self.router, &score.engine);
        scores.iter().min_by(|left, right| {
            left.cost
                .total_cmp(&right.cost)
                .then_with(|| left.is_far.cmp(&right.is_far))
                .then_with(|| tie_break(left).cmp(&tie_break(right)))
        })
    }
}

/// The inputs that all engines are scored with for one prompt.
struct Scoring<'a> {
    picker: &'a Picker,
    snapshot: &'a FleetSnapshot,
    prompt: &'a Prompt,
    table: &'a WeightTable,
    /// The cached prefix of each source in blocks, for each weights edition in use.
    overlaps: BTreeMap<WeightsEdition, HashMap<SourceIndex, BlockCount>>,
    now: Instant,
}

impl Scoring<'_> {
    /// An engine's score; none if it isn't eligible.
    fn score(&self, engine: &EngineName, listed: &ListedEngine) -> Option<Score> {
        let prompt = self.prompt;
        if prompt.tried.contains(engine) {
            return None;
        }
        let weights = self.snapshot.usable_weights_for(engine, &prompt.model, prompt.adapter.as_ref(), self.now)?;
        let names = prompt.names.get(&weights)?;
        let unknown = EngineState::default();
        let state = self.picker.engines.get(engine).unwrap_or(&unknown);
        if !self.holds_adapter(engine, state) {
            return None;
        }
        let by_events = self.uses_events(state);
        let overlap = self.overlap(state, listed.role, by_events, weights, names);
        let decode_blocks = state.decode_blocks(self.picker.average_blocks, self.now);
        let prefill_blocks = BlockCount(prompt.blocks.0 - overlap.0.min(prompt.blocks.0));
        let weight = self.table.weight(&prompt.tenant, &prompt.kind, LoadBand::of(decode_blocks));
        let cost = match listed.role {
            Role::Decode => (decode_blocks.0 + prompt.blocks.0 + prompt.output_blocks.0) as f64,
            _ => cost(weight, prefill_blocks, decode_blocks),
        };
        let distance_blocks = self.distance_blocks(listed);
        let prefers_zone = listed.role == Role::Decode || prompt.adapter.is_some();
        Some(Score {
            role: listed.role,
            engine: engine.clone(),
            weights,
            prefill_blocks,
            decode_blocks,
            weight,
            cost: cost + distance_blocks as f64,
            by_events,
            is_backing_off: self.now < state.backoff_until,
            is_far: prefers_zone && listed.zone != self.picker.zone,
            distance_blocks,
        })
    }

    /// Whether an engine has the prompt's adapter loaded, if the prompt needs one. The adapter must match exactly.
    fn holds_adapter(&self, engine: &EngineName, state: &EngineState) -> bool {
        let Some(adapter) = &self.prompt.adapter else { return true };
        let is_cold = state.cold_until.get(adapter).is_some_and(|until| self.now < *until);
        self.snapshot.state.adapters.is_warm(engine, adapter) && !is_cold
    }

    /// The cost added for an engine in another region than this router's, in blocks.
    fn distance_blocks(&self, listed: &ListedEngine) -> u64 {
        let desired = &self.snapshot.state.desired;
        let has_regions = !desired.zones.is_empty();
        let is_other_region = has_regions && desired.region_of(&listed.zone) != desired.region_of(&self.picker.zone);
        if is_other_region { desired.routing.other_region_blocks } else { 0 }
    }

    fn uses_events(&self, state: &EngineState) -> bool {
        let routing = &self.snapshot.state.desired.routing;
        routing.cache_state_source == CacheStateSource::Events
            && !state.events_are_late(routing.events_late, self.now)
    }

    /// The leading blocks of the prompt that the engine caches, by its events or by the history of sent blocks.
    fn overlap(
        &self,
        state: &EngineState,
        role: Role,
        by_events: bool,
        weights: WeightsEdition,
        names: &[BlockHash],
    ) -> BlockCount {
        let index = SourceIndex(state.index);
        match self.snapshot.state.desired.routing.cache_state_source {
            CacheStateSource::OccupancyOnly => BlockCount(0),
            _ if role == Role::Decode => BlockCount(0),
            _ if by_events => self.overlaps[&weights].get(&index).copied().unwrap_or_default(),
            _ => self.picker.history.overlap(index, names),
        }
    }
}

/// The policy for a prompt and its weight table: the trial policy for a share of the prompts of a tenant on trial.
fn table_for<'a>(snapshot: &'a FleetSnapshot, prompt: &Prompt) -> (&'a str, &'a WeightTable) {
    let is_on_trial = prompt.trial_bucket < snapshot.state.desired.routing.trial_percent;
    match snapshot.trial_tables.get(&prompt.tenant).filter(|_| is_on_trial) {
        Some((name, table)) => (name, table),
        None => (DEFAULT_POLICY, &snapshot.default_table),
    }
}

/// The prompt's first block name for the lowest weights edition in use; it decides ties.
fn tie_name(prompt: &Prompt) -> BlockHash {
    prompt.names.values().next().and_then(|names| names.first()).copied().unwrap_or(BlockHash(0))
}

/// The order among engines of equal cost.
pub fn spread_of(prefix: BlockHash, router: NodeId, engine: &EngineName) -> BlockHash {
    BlockHash::of_parts(&[&prefix.0.to_le_bytes(), &router.0.to_le_bytes(), engine.as_str().as_bytes()])
}
