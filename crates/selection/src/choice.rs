//! The selection of an engine: filters the available candidates, computes the cost of each, and takes the lowest.

use crate::prelude::*;

/// The better of two randomly sampled engines is far better than a single one: the power of two choices.
const MIN_SAMPLES: usize = 2;

/// A candidate that can accept the request, with its state.
struct AvailableCandidate<'a> {
    candidate: &'a Candidate,
    state: &'a SourceState,
    /// The load of other nodes.
    foreign_load: NodeLoad,
    availability: Availability,
}

/// The inputs that all candidates of one selection are scored with.
struct ScoringContext<'a> {
    request: &'a SelectionRequest,
    cached_prefixes: BTreeMap<WeightsEdition, CachedPrefixes>,
    no_prefixes: CachedPrefixes,
    home: Option<EngineName>,
    now: Instant,
}

impl ScoringContext<'_> {
    /// What sources cache of the prompt for these weights.
    fn prefixes_for(&self, weights: WeightsEdition) -> &CachedPrefixes {
        self.cached_prefixes.get(&weights).unwrap_or(&self.no_prefixes)
    }
}

/// The cost of an available candidate, and its inputs.
struct Score<'a> {
    candidate: &'a Candidate,
    availability: Availability,
    cached_tokens: u64,
    prefill_blocks: BlockCount,
    decode_blocks: BlockCount,
    cost: f64,
    by_events: bool,
}

impl Selector {
    /// Selects the available engine with the lowest cost. Engines with a free slot take precedence over those that
    /// would queue the request, and these over engines that back off after a fault.
    pub fn select(
        &self,
        candidates: &[Candidate],
        request: &SelectionRequest,
        weight_of: impl Fn(LoadBand) -> f64,
        now: Instant,
    ) -> Selection {
        let unknown = SourceState::default();
        let available = match self.available(candidates, request, &unknown, now) {
            Ok(available) => available,
            Err(retry_after) => return Selection::Refused { retry_after },
        };
        let context = ScoringContext {
            request,
            cached_prefixes: self.cached_prefixes(candidates, request, now),
            no_prefixes: CachedPrefixes::default(),
            home: home_engine(&available, request),
            now,
        };
        let best = available.iter().map(|candidate| candidate.availability).min();
        let scores = available.iter().filter(|candidate| Some(candidate.availability) == best);
        let scores = scores.map(|candidate| self.score(candidate, &context, &weight_of)).collect();
        let tie_break = |score: &Score<'_>| self.tie_break(request, &score.candidate.engine);
        let lowest = self.sampled(scores, &context).into_iter().min_by(|left, right| {
            left.cost.total_cmp(&right.cost).then_with(|| tie_break(left).cmp(&tie_break(right)))
        });
        match lowest {
            Some(score) => Selection::Chosen(self.chosen(&score, &context)),
            None => Selection::Refused { retry_after: retry_delay(std::iter::empty(), request.priority) },
        }
    }

    /// The candidates that can accept the request; if there are none, the delay after which one may.
    fn available<'a>(
        &'a self,
        candidates: &'a [Candidate],
        request: &SelectionRequest,
        unknown: &'a SourceState,
        now: Instant,
    ) -> Result<Vec<AvailableCandidate<'a>>, Span> {
        let load_factor = self.unseen_load_factor(candidates);
        let state_of = |candidate: &Candidate| self.sources.get(&candidate.engine).unwrap_or(unknown);
        let with_state = |candidate: &'a Candidate| {
            let state = state_of(candidate);
            (candidate, state, self.foreign_load(candidate, state, load_factor, now))
        };
        let all: Vec<(&Candidate, &SourceState, NodeLoad)> = candidates.iter().map(with_state).collect();
        let request_counts =
            all.iter().map(|(_, state, foreign)| state.own_requests.saturating_add(foreign.requests));
        let overload_bound = self.overload_bound(request_counts);
        let mut available = Vec::new();
        let mut retry_delays = Vec::new();
        for (candidate, state, foreign_load) in all {
            if request.tried.contains(&candidate.engine) {
                continue;
            }
            let availability = availability_of(candidate, state, request, overload_bound, &foreign_load, now);
            match availability
                .and_then(|found| self.within_wait_limit(found, candidate, state, &foreign_load, request))
            {
                Ok(availability) => {
                    available.push(AvailableCandidate { candidate, state, foreign_load, availability });
                }
                Err(delay) => retry_delays.push(delay),
            }
        }
        match available.is_empty() {
            true => Err(retry_delay(retry_delays.into_iter(), request.priority)),
            false => Ok(available),
        }
    }

    /// Rejects an engine whose pending prefill would make the request late, with the delay after which it may not.
    fn within_wait_limit(
        &self,
        availability: Availability,
        candidate: &Candidate,
        state: &SourceState,
        foreign_load: &NodeLoad,
        request: &SelectionRequest,
    ) -> Result<Availability, Span> {
        if !self.settings.limits_queue_wait {
            return Ok(availability);
        }
        let wait_ms = self.pending_prefill(state, foreign_load) as f64 / self.tokens_per_ms(&candidate.service);
        let excess_ms = wait_ms - max_wait_ms(request);
        if excess_ms > 0.0 { Err(prefill_retry_delay(excess_ms)) } else { Ok(availability) }
    }

    /// The scores among which the lowest cost decides: those of the engines that cache the most of the prompt, of
    /// the prompt's home engine, and of a random sample. Load reports are delayed, and many nodes see the same ones;
    /// if all of them took the engine that was least loaded, it would become the most loaded.
    fn sampled<'a>(&self, mut scores: Vec<Score<'a>>, context: &ScoringContext<'_>) -> Vec<Score<'a>> {
        let samples = self.sample_size(scores.len());
        if samples >= scores.len() {
            return scores;
        }
        let sampling_seed = context.request.sampling_seed.to_le_bytes();
        let node = self.node.0.to_le_bytes();
        scores.sort_by_cached_key(|score| {
            stable_hash(&[&sampling_seed, &node, score.candidate.engine.as_str().as_bytes()])
        });
        let longest = scores.iter().map(|score| score.cached_tokens).max().unwrap_or(0);
        let (mut rank, mut longest_count) = (0, 0);
        scores.retain(|score| {
            let is_longest = longest > 0 && score.cached_tokens == longest;
            rank += 1;
            longest_count += usize::from(is_longest);
            let is_home = context.home.as_ref() == Some(&score.candidate.engine);
            rank <= samples || (is_longest && longest_count <= samples) || is_home
        });
        scores
    }

    /// The number of sampled engines, so that all nodes together sample each engine a few times and no node samples
    /// fewer than two. A single node considers all engines.
    fn sample_size(&self, engines: usize) -> usize {
        let Some(samples) = self.settings.samples_per_engine else { return engines };
        let share = samples * engines as f64 / self.node_count.max(1) as f64;
        (share.ceil() as usize).max(MIN_SAMPLES)
    }

    /// The number of requests from which on an engine is overloaded: a multiple of the candidates' average. However
    /// much of a prompt an engine caches, it gets no more than that while others have room.
    fn overload_bound(&self, requests: impl ExactSizeIterator<Item = u64>) -> u64 {
        let Some(factor) = self.settings.overload_factor else { return u64::MAX };
        let engines = requests.len().max(1);
        let total: u64 = requests.sum();
        let average = total as f64 / engines as f64;
        (average * factor) as u64 + self.settings.overload_base
    }

    fn score<'a>(
        &self,
        available: &AvailableCandidate<'a>,
        context: &ScoringContext<'_>,
        weight_of: &impl Fn(LoadBand) -> f64,
    ) -> Score<'a> {
        let AvailableCandidate { candidate, state, foreign_load, availability } = available;
        let (request, now) = (context.request, context.now);
        let by_events = !state.events_are_late(self.settings.events_late, now);
        let parts = request.parts(candidate.weights);
        let cached_tokens = self.cached_tokens(state, parts, by_events).min(request.prompt_tokens);
        let block_tokens = request.block_tokens.max(1);
        let lacking = self.prefill_cost(context, candidate, cached_tokens);
        let pending = self.pending_prefill(state, foreign_load);
        let prefill_blocks = BlockCount(lacking.saturating_add(pending).div_ceil(block_tokens));
        let decode_blocks = BlockCount(state.own_tokens.saturating_add(foreign_load.tokens).div_ceil(block_tokens));
        let zone_blocks = if candidate.zone == self.zone { 0.0 } else { request.zone_penalty_blocks };
        let failure_cost = state.recent_failures(now) * self.settings.recent_failure_cost;
        let cost =
            cost(weight_of(LoadBand::of(decode_blocks)), prefill_blocks, decode_blocks) + zone_blocks + failure_cost;
        Score {
            candidate,
            availability: *availability,
            cached_tokens,
            prefill_blocks,
            decode_blocks,
            cost,
            by_events,
        }
    }

    /// Tokens of the prompt's prefix that the engine caches, by its events or by the record of sent parts.
    fn cached_tokens(&self, state: &SourceState, parts: &[(PartName, u64)], by_events: bool) -> u64 {
        match by_events {
            true => self.index.kept_tokens(state.index, parts),
            false => self.sent.kept_tokens(state.index, parts),
        }
    }

    /// The cost of the tokens that the engine lacks, expressed in tokens to prefill. Fetching what another source
    /// caches may cost less. Parts without a known cached copy may already be on their way to the home engine.
    fn prefill_cost(&self, context: &ScoringContext<'_>, candidate: &Candidate, cached_tokens: u64) -> u64 {
        let request = context.request;
        let prefixes = context.prefixes_for(candidate.weights);
        let cheapest = self.min_prefill_cost(prefixes, request, candidate, cached_tokens);
        if context.home.as_ref() != Some(&candidate.engine) {
            return cheapest;
        }
        let shared: u64 = request.parts(candidate.weights).iter().rev().skip(1).map(|(_, tokens)| *tokens).sum();
        let unknown_shared = shared.saturating_sub(prefixes.longest().max(cached_tokens));
        cheapest.saturating_sub((unknown_shared as f64 * self.settings.home_affinity_share) as u64)
    }

    /// The result for the selected engine, with the sources and the sink of its parts.
    fn chosen(&self, score: &Score<'_>, context: &ScoringContext<'_>) -> Chosen {
        let (request, candidate) = (context.request, score.candidate);
        let fetch =
            self.fetch_source(context.prefixes_for(candidate.weights), request, candidate, score.cached_tokens);
        let fetched = fetch.as_ref().map_or(0, |fetch| fetch.tokens);
        let sink = self.sink(request, candidate, score.cached_tokens + fetched, context.now);
        Chosen {
            engine: candidate.engine.clone(),
            address: candidate.address.clone(),
            weights: candidate.weights,
            prefill_blocks: score.prefill_blocks,
            decode_blocks: score.decode_blocks,
            prefill_tokens: request.prompt_tokens.saturating_sub(score.cached_tokens + fetched),
            cost: score.cost,
            by_events: score.by_events,
            is_queued: matches!(score.availability, Availability::Queued(_)),
            fetch,
            sink,
        }
    }

    /// Tokens that the engine has yet to prefill before it starts on a new prompt.
    fn pending_prefill(&self, state: &SourceState, foreign_load: &NodeLoad) -> u64 {
        let pending = state.pending_prefill_tokens.saturating_add(foreign_load.pending_prefill_tokens);
        (pending as f64 * self.settings.pending_prefill_share) as u64
    }

    /// The load of other nodes on an engine: by the engine's own report if it is recent, or else by the peers'
    /// reports.
    fn foreign_load(&self, candidate: &Candidate, state: &SourceState, load_factor: f64, now: Instant) -> NodeLoad {
        let estimated = self.peers.estimate(&candidate.engine, load_factor);
        let Some(requests) = state.foreign_requests(now) else { return estimated };
        let waiting_tokens = self.foreign_pending_prefill(state, &candidate.service, now);
        NodeLoad {
            requests,
            tokens: (requests as f64 * self.average_tokens) as u64,
            pending_prefill_tokens: estimated.pending_prefill_tokens.max(waiting_tokens),
        }
    }

    /// Tokens that an engine has yet to prefill for other nodes, by the number of waiting requests that it reported,
    /// less what it prefilled since then.
    fn foreign_pending_prefill(&self, state: &SourceState, service: &ServiceName, now: Instant) -> u64 {
        let (waiting, age) = state.foreign_waiting(now);
        let prefilled_since = age.0 as f64 / 1e6 * self.tokens_per_ms(service);
        (waiting as f64 * self.average_prefill_tokens - prefilled_since).max(0.0) as u64
    }

    /// The factor that scales the load reported by peers to the load of all other nodes.
    pub fn unseen_load_factor(&self, candidates: &[Candidate]) -> f64 {
        self.peers.factor(self.node_count.saturating_sub(1), candidates.len() as u64)
    }

    /// The order among engines of equal cost. It differs between nodes, so that they
    /// don't all choose the same engine.
    pub(crate) fn tie_break(&self, request: &SelectionRequest, engine: &EngineName) -> u64 {
        stable_hash(&[&request.tie_break_seed.to_le_bytes(), &self.node.0.to_le_bytes(), engine.as_str().as_bytes()])
    }
}

/// The home engine, at which all nodes expect a prompt's shared parts that have no known cached copy yet. It is
/// chosen by rendezvous hashing of the prefix and the engine, so that nodes agree without communication.
fn home_engine(available: &[AvailableCandidate<'_>], request: &SelectionRequest) -> Option<EngineName> {
    let rank =
        |engine: &EngineName| stable_hash(&[&request.tie_break_seed.to_le_bytes(), engine.as_str().as_bytes()]);
    available.iter().map(|available| &available.candidate.engine).max_by_key(|engine| rank(engine)).cloned()
}
