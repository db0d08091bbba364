//! The pick itself.

use crate::prelude::*;

impl Picker {
    /// The lowest-cost engine among those that pass; nothing if none does. In a split pool the engine
    /// that prefills is picked by overlap, and the one that decodes by blocks in use and added.
    pub fn pick(&mut self, sight: &FleetSight, prompt: &Prompt, now: Instant) -> Option<Placement> {
        let (policy, table) = table_for(sight, prompt);
        let scores = self.score(sight, prompt, table, now);
        let (mut candidates, prefillers): (Vec<Score>, Vec<Score>) =
            scores.into_iter().partition(|score| score.role != Role::Prefill);
        let chosen = self.cheapest(&candidates, prompt)?.clone();
        let (default_engine, default_excess) = match policy == DEFAULT_POLICY {
            true => (chosen.engine.clone(), 0.0),
            false => self.compared_with_default(sight, prompt, &chosen, now)?,
        };
        candidates.sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let address = sight.state.listing.engines.get(&chosen.engine)?.address.clone();
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
            Role::Decode => self.place_prefill(sight, prompt, prefillers, names, &mut placement),
            _ => placement.fetches = self.plan_fetch(sight, names, &chosen),
        }
        Some(placement)
    }

    /// What the default policy would have chosen, and what the chosen engine costs more than that one.
    fn compared_with_default(
        &self,
        sight: &FleetSight,
        prompt: &Prompt,
        chosen: &Score,
        now: Instant,
    ) -> Option<(EngineName, f64)> {
        let scores = self.score(sight, prompt, &sight.default_table, now);
        let candidates: Vec<Score> = scores.into_iter().filter(|score| score.role != Role::Prefill).collect();
        let default_chosen = self.cheapest(&candidates, prompt)?;
        let own_cost = candidates.iter().find(|score| score.engine == chosen.engine)?.cost;
        Some((default_chosen.engine.clone(), own_cost - default_chosen.cost))
    }

    /// In a split pool: the cheapest engine on the same weights prefills, and the chosen one fetches from it.
    fn place_prefill(
        &self,
        sight: &FleetSight,
        prompt: &Prompt,
        prefillers: Vec<Score>,
        names: &[BlockHash],
        placement: &mut Placement,
    ) {
        let weights = placement.chosen.weights;
        let same_weights: Vec<Score> = prefillers.into_iter().filter(|score| score.weights == weights).collect();
        let Some(prefiller) = self.cheapest(&same_weights, prompt) else { return };
        let Some(listed) = sight.state.listing.engines.get(&prefiller.engine) else { return };
        let (engine, address) = (prefiller.engine.clone(), listed.address.clone());
        let from = FetchFrom::Peer(engine.clone());
        placement.fetches = vec![FetchRun { from, address: address.clone(), names: names.to_vec() }];
        placement.prefill = Some(PrefillPlace { engine, address });
    }

    /// The scores of all engines that pass; those that rest count only if all do.
    fn score(&self, sight: &FleetSight, prompt: &Prompt, table: &WeightTable, now: Instant) -> Vec<Score> {
        let overlaps = prompt
            .names
            .iter()
            .map(|(edition, names)| (*edition, self.tree.overlaps(names).into_iter().collect()))
            .collect();
        let scoring = Scoring { picker: self, sight, prompt, table, overlaps, now };
        let engines = &sight.state.listing.engines;
        let mut scores: Vec<Score> =
            engines.iter().filter_map(|(engine, listed)| scoring.score(engine, listed)).collect();
        if scores.iter().any(|score| !score.is_resting) {
            scores.retain(|score| !score.is_resting);
        }
        scores
    }

    /// Equal costs go to our own zone if the engine decodes, and else by a hash of prefix, router and
    /// engine, so that routers do not all choose alike.
    fn cheapest<'a>(&self, scores: &'a [Score], prompt: &Prompt) -> Option<&'a Score> {
        let prefix = tie_name(prompt);
        let spread = |score: &Score| spread_of(prefix, self.router, &score.engine);
        scores.iter().min_by(|left, right| {
            left.cost
                .total_cmp(&right.cost)
                .then_with(|| left.is_far.cmp(&right.is_far))
                .then_with(|| spread(left).cmp(&spread(right)))
        })
    }
}

/// What all engines are scored by for one prompt.
struct Scoring<'a> {
    picker: &'a Picker,
    sight: &'a FleetSight,
    prompt: &'a Prompt,
    table: &'a WeightTable,
    /// Leading blocks that each source keeps, under each edition in use.
    overlaps: BTreeMap<WeightsEdition, HashMap<SourceIndex, BlockCount>>,
    now: Instant,
}

impl Scoring<'_> {
    /// An engine's score; nothing if it does not pass.
    fn score(&self, engine: &EngineName, listed: &ListedEngine) -> Option<Score> {
        let prompt = self.prompt;
        if prompt.tried.contains(engine) {
            return None;
        }
        let weights = self.sight.usable_weights_for(engine, &prompt.model, prompt.adapter.as_ref(), self.now)?;
        let names = prompt.names.get(&weights)?;
        let unknown_engine = KnownEngine::default();
        let known = self.picker.engines.get(engine).unwrap_or(&unknown_engine);
        if !self.holds_adapter(engine, known) {
            return None;
        }
        let by_events = self.goes_by_events(known);
        let overlap = self.overlap(known, listed.role, by_events, weights, names);
        let decode_blocks = known.decode_blocks(self.picker.usual_blocks, self.now);
        let prefill_blocks = BlockCount(prompt.blocks.0 - overlap.0.min(prompt.blocks.0));
        let weight = self.table.weight(&prompt.tenant, &prompt.kind, LoadBand::of(decode_blocks));
        let cost = match listed.role {
            Role::Decode => (decode_blocks.0 + prompt.blocks.0 + prompt.outcome_blocks.0) as f64,
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
            is_resting: self.now < known.rest_until,
            is_far: prefers_zone && listed.zone != self.picker.zone,
            distance_blocks,
        })
    }

    /// Whether an engine may get the prompt for the sake of its adapter: a prompt that runs on one goes only
    /// where exactly that is warm.
    fn holds_adapter(&self, engine: &EngineName, known: &KnownEngine) -> bool {
        let Some(adapter) = &self.prompt.adapter else { return true };
        let is_cold = known.cold_until.get(adapter).is_some_and(|until| self.now < *until);
        self.sight.state.adapters.is_warm(engine, adapter) && !is_cold
    }

    /// What an engine's cost grows by for standing in another region than ours, in blocks.
    fn distance_blocks(&self, listed: &ListedEngine) -> u64 {
        let desired = &self.sight.state.desired;
        let has_regions = !desired.zones.is_empty();
        let is_other_region = has_regions && desired.region_of(&listed.zone) != desired.region_of(&self.picker.zone);
        if is_other_region { desired.routing.other_region_blocks } else { 0 }
    }

    fn goes_by_events(&self, known: &KnownEngine) -> bool {
        let routing = &self.sight.state.desired.routing;
        routing.sight == Sight::Events && !known.events_are_late(routing.events_late, self.now)
    }

    /// Leading blocks of the prompt that the engine keeps, by its events or by our own history.
    fn overlap(
        &self,
        known: &KnownEngine,
        role: Role,
        by_events: bool,
        weights: WeightsEdition,
        names: &[BlockHash],
    ) -> BlockCount {
        let index = SourceIndex(known.index);
        match self.sight.state.desired.routing.sight {
            Sight::OccupancyOnly => BlockCount(0),
            _ if role == Role::Decode => BlockCount(0),
            _ if by_events => self.overlaps[&weights].get(&index).copied().unwrap_or_default(),
            _ => self.picker.history.overlap(index, names),
        }
    }
}

/// The policy that a prompt is placed by, and its table: the trial's for a share of a tenant's prompts.
fn table_for<'a>(sight: &'a FleetSight, prompt: &Prompt) -> (&'a str, &'a WeightTable) {
    let is_drawn = prompt.lot < sight.state.desired.routing.trial_percent;
    match sight.trial_tables.get(&prompt.tenant).filter(|_| is_drawn) {
        Some((name, table)) => (name, table),
        None => (DEFAULT_POLICY, &sight.default_table),
    }
}

/// The prompt's first name under the lowest edition in use, by which ties are spread.
fn tie_name(prompt: &Prompt) -> BlockHash {
    prompt.names.values().next().and_then(|names| names.first()).copied().unwrap_or(BlockHash(0))
}

/// The order among equal costs.
pub fn spread_of(prefix: BlockHash, router: NodeId, engine: &EngineName) -> BlockHash {
    BlockHash::of_parts(&[&prefix.0.to_le_bytes(), &router.0.to_le_bytes(), engine.as_str().as_bytes()])
}
