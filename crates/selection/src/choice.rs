//! The choice of an engine: which candidates pass, what each would cost by the source's formula, and which of
//! them is taken.

use crate::prelude::*;

/// Of two engines drawn by lot the better is far better than any one.
const LEAST_LOTS: usize = 2;

/// A candidate that can take the request, with what is known of it.
struct Passing<'a> {
    candidate: &'a Candidate,
    known: &'a Known,
    /// What other nodes run there.
    others: OwnWork,
    bearing: Bearing,
}

/// What all candidates of one question are weighed with.
struct Weighing<'a> {
    request: &'a SelectionRequest,
    holdings: BTreeMap<WeightsEdition, Holdings>,
    nothing_held: Holdings,
    home: Option<EngineName>,
    now: Instant,
}

impl Weighing<'_> {
    /// What sources keep of the prompt on these weights.
    fn held_on(&self, weights: WeightsEdition) -> &Holdings {
        self.holdings.get(&weights).unwrap_or(&self.nothing_held)
    }
}

/// A passing candidate's cost, with what went into it.
struct Score<'a> {
    candidate: &'a Candidate,
    bearing: Bearing,
    kept: u64,
    prefill_blocks: BlockCount,
    decode_blocks: BlockCount,
    cost: f64,
    by_events: bool,
}

impl Selector {
    /// The lowest-cost engine among those that pass. Those with a place free go before those whose queue
    /// takes it, and these before those that rest after a fault.
    pub fn select(
        &self,
        candidates: &[Candidate],
        request: &SelectionRequest,
        weigh: impl Fn(LoadBand) -> f64,
        now: Instant,
    ) -> Selection {
        let unknown = Known::default();
        let passing = match self.passing(candidates, request, &unknown, now) {
            Ok(passing) => passing,
            Err(retry_after) => return Selection::Refused { retry_after },
        };
        let weighing = Weighing {
            request,
            holdings: self.holdings(candidates, request, now),
            nothing_held: Holdings::default(),
            home: home(&passing, request),
            now,
        };
        let best = passing.iter().map(|passing| passing.bearing).min();
        let scores = passing.iter().filter(|passing| Some(passing.bearing) == best);
        let scores = scores.map(|passing| self.score(passing, &weighing, &weigh)).collect();
        let spread = |score: &Score<'_>| self.spread(request, &score.candidate.engine);
        let lowest = self
            .drawn(scores, &weighing)
            .into_iter()
            .min_by(|left, right| left.cost.total_cmp(&right.cost).then_with(|| spread(left).cmp(&spread(right))));
        match lowest {
            Some(score) => Selection::Chosen(self.chosen(&score, &weighing)),
            None => Selection::Refused { retry_after: retry_after(std::iter::empty(), request.priority) },
        }
    }

    /// The candidates that can take the request; or when one may, if none can.
    fn passing<'a>(
        &'a self,
        candidates: &'a [Candidate],
        request: &SelectionRequest,
        unknown: &'a Known,
        now: Instant,
    ) -> Result<Vec<Passing<'a>>, Span> {
        let factor = self.seen_factor(candidates);
        let known_of = |candidate: &Candidate| self.known.get(&candidate.engine).unwrap_or(unknown);
        let at = |candidate: &'a Candidate| {
            let known = known_of(candidate);
            (candidate, known, self.others(candidate, known, factor, now))
        };
        let all: Vec<(&Candidate, &Known, OwnWork)> = candidates.iter().map(at).collect();
        let crowd =
            self.crowd(all.iter().map(|(_, known, others)| known.own_requests.saturating_add(others.requests)));
        let mut passing = Vec::new();
        let mut refusals = Vec::new();
        for (candidate, known, others) in all {
            if request.tried.contains(&candidate.engine) {
                continue;
            }
            let bearing = bearing_of(candidate, known, request, crowd, &others, now);
            match bearing.and_then(|bearing| self.in_time(bearing, candidate, known, &others, request)) {
                Ok(bearing) => passing.push(Passing { candidate, known, others, bearing }),
                Err(span) => refusals.push(span),
            }
        }
        match passing.is_empty() {
            true => Err(retry_after(refusals.into_iter(), request.priority)),
            false => Ok(passing),
        }
    }

    /// Whether the prompts that wait at an engine leave the request in time, or else when they may.
    fn in_time(
        &self,
        bearing: Bearing,
        candidate: &Candidate,
        known: &Known,
        others: &OwnWork,
        request: &SelectionRequest,
    ) -> Result<Bearing, Span> {
        if !self.settings.bounds_wait {
            return Ok(bearing);
        }
        let wait_ms = self.unread_ahead(known, others) as f64 / self.tokens_per_ms(&candidate.service);
        let excess_ms = wait_ms - longest_wait_ms(request);
        if excess_ms > 0.0 { Err(retry_when_read(excess_ms)) } else { Ok(bearing) }
    }

    /// The scores among which the lowest cost decides: those of the engines that keep the most of the prompt, of
    /// the prompt's home, and of some drawn by lot. Loads are known as they were a moment ago, and alike to many
    /// nodes; if all of them took the engine that was least loaded then, it would be the most loaded now.
    fn drawn<'a>(&self, mut scores: Vec<Score<'a>>, weighing: &Weighing<'_>) -> Vec<Score<'a>> {
        let lots = self.lots(scores.len());
        if lots >= scores.len() {
            return scores;
        }
        let lot = weighing.request.lot.to_le_bytes();
        let node = self.node.0.to_le_bytes();
        scores.sort_by_cached_key(|score| stable_hash(&[&lot, &node, score.candidate.engine.as_str().as_bytes()]));
        let most_kept = scores.iter().map(|score| score.kept).max().unwrap_or(0);
        let (mut place, mut keeping) = (0, 0);
        scores.retain(|score| {
            let keeps_most = most_kept > 0 && score.kept == most_kept;
            place += 1;
            keeping += usize::from(keeps_most);
            let is_home = weighing.home.as_ref() == Some(&score.candidate.engine);
            place <= lots || (keeps_most && keeping <= lots) || is_home
        });
        scores
    }

    /// How many engines are drawn: all nodes together look at each engine a few times, and none at fewer than
    /// two. A node that is alone looks at all.
    fn lots(&self, engines: usize) -> usize {
        let Some(looks) = self.settings.looks_per_engine else { return engines };
        let share = looks * engines as f64 / self.node_count.max(1) as f64;
        (share.ceil() as usize).max(LEAST_LOTS)
    }

    /// How many requests make an engine crowded: a multiple of what the candidates have on average. However
    /// much of a prompt an engine keeps, it gets no more than that while others have room.
    fn crowd(&self, requests: impl ExactSizeIterator<Item = u64>) -> u64 {
        let Some(factor) = self.settings.crowd_factor else { return u64::MAX };
        let engines = requests.len().max(1);
        let total: u64 = requests.sum();
        let average = total as f64 / engines as f64;
        (average * factor) as u64 + self.settings.crowd_base
    }

    fn score<'a>(
        &self,
        passing: &Passing<'a>,
        weighing: &Weighing<'_>,
        weigh: &impl Fn(LoadBand) -> f64,
    ) -> Score<'a> {
        let Passing { candidate, known, others, bearing } = passing;
        let (request, now) = (weighing.request, weighing.now);
        let by_events = !known.events_are_late(self.settings.events_late, now);
        let kept = self.kept_tokens(known, request.parts(candidate.weights), by_events).min(request.prompt_tokens);
        let block_tokens = request.block_tokens.max(1);
        let lacking = self.lacking_tokens(weighing, candidate, kept);
        let ahead = self.unread_ahead(known, others);
        let prefill_blocks = BlockCount(lacking.saturating_add(ahead).div_ceil(block_tokens));
        let decode_blocks = BlockCount(known.own_tokens.saturating_add(others.tokens).div_ceil(block_tokens));
        let zone_blocks = if candidate.zone == self.zone { 0.0 } else { request.zone_penalty_blocks };
        let trouble = known.trouble(now) * self.settings.trouble_cost;
        let cost = cost(weigh(LoadBand::of(decode_blocks)), prefill_blocks, decode_blocks) + zone_blocks + trouble;
        Score { candidate, bearing: *bearing, kept, prefill_blocks, decode_blocks, cost, by_events }
    }

    /// Tokens of the prompt's beginning that the engine keeps: by its events, or by what was sent there.
    fn kept_tokens(&self, known: &Known, parts: &[(PartName, u64)], by_events: bool) -> u64 {
        match by_events {
            true => self.index.kept_tokens(known.index, parts),
            false => self.sent.kept_tokens(known.index, parts),
        }
    }

    /// Tokens that the engine would have to read. What another source keeps may be fetched for less; what
    /// nobody is known to keep may be on its way to the prompt's home.
    fn lacking_tokens(&self, weighing: &Weighing<'_>, candidate: &Candidate, kept: u64) -> u64 {
        let request = weighing.request;
        let held = weighing.held_on(candidate.weights);
        let cheapest = self.cheapest_tokens(held, request, candidate, kept);
        if weighing.home.as_ref() != Some(&candidate.engine) {
            return cheapest;
        }
        let shared: u64 = request.parts(candidate.weights).iter().rev().skip(1).map(|(_, tokens)| *tokens).sum();
        let unknown_shared = shared.saturating_sub(held.best_kept().max(kept));
        cheapest.saturating_sub((unknown_shared as f64 * self.settings.home_share) as u64)
    }

    /// The answer for the engine that is taken, with where it gets parts from and where it sends them.
    fn chosen(&self, score: &Score<'_>, weighing: &Weighing<'_>) -> Chosen {
        let (request, candidate) = (weighing.request, score.candidate);
        let fetch = self.fetch_source(weighing.held_on(candidate.weights), request, candidate, score.kept);
        let fetched = fetch.as_ref().map_or(0, |fetch| fetch.tokens);
        let sink = self.sink(request, candidate, score.kept + fetched, weighing.now);
        Chosen {
            engine: candidate.engine.clone(),
            address: candidate.address.clone(),
            weights: candidate.weights,
            prefill_blocks: score.prefill_blocks,
            decode_blocks: score.decode_blocks,
            unread_tokens: request.prompt_tokens.saturating_sub(score.kept + fetched),
            cost: score.cost,
            by_events: score.by_events,
            is_queued: matches!(score.bearing, Bearing::Queued(_)),
            fetch,
            sink,
        }
    }

    /// Tokens of prompts that the engine has yet to read before it comes to a new one.
    fn unread_ahead(&self, known: &Known, others: &OwnWork) -> u64 {
        let unread = known.unread_tokens.saturating_add(others.unread_tokens);
        (unread as f64 * self.settings.unread_share) as u64
    }

    /// What the other nodes run on an engine: by the engine's own count if it told one lately, or else by what
    /// the other nodes tell.
    fn others(&self, candidate: &Candidate, known: &Known, factor: f64, now: Instant) -> OwnWork {
        let estimated = self.peers.estimate(&candidate.engine, factor);
        let Some(requests) = known.others(now) else { return estimated };
        let waiting_tokens = self.told_unread(known, &candidate.service, now);
        OwnWork {
            requests,
            tokens: (requests as f64 * self.average_tokens) as u64,
            unread_tokens: estimated.unread_tokens.max(waiting_tokens),
        }
    }

    /// Tokens that an engine has yet to read for others, as it told by the number of those that wait; since then
    /// it has gone on reading.
    fn told_unread(&self, known: &Known, service: &ServiceName, now: Instant) -> u64 {
        let (others_waiting, age) = known.others_waiting(now);
        let read_since = age.0 as f64 / 1e6 * self.tokens_per_ms(service);
        (others_waiting as f64 * self.average_unread - read_since).max(0.0) as u64
    }

    /// By how much the work that peers tell of is multiplied for that of all other nodes.
    pub fn seen_factor(&self, candidates: &[Candidate]) -> f64 {
        self.peers.factor(self.node_count.saturating_sub(1), candidates.len() as u64)
    }

    /// The order among equals, another on every node, so that nodes do not all choose alike.
    pub(crate) fn spread(&self, request: &SelectionRequest, engine: &EngineName) -> u64 {
        stable_hash(&[&request.tie.to_le_bytes(), &self.node.0.to_le_bytes(), engine.as_str().as_bytes()])
    }
}

/// The engine at which all nodes expect a prompt's shared parts that nobody is known to keep yet: by a hash of
/// the parts and the engine alone, so that nodes that do not know of each other agree.
fn home(passing: &[Passing<'_>], request: &SelectionRequest) -> Option<EngineName> {
    let rank = |engine: &EngineName| stable_hash(&[&request.tie.to_le_bytes(), engine.as_str().as_bytes()]);
    passing.iter().map(|passing| &passing.candidate.engine).max_by_key(|engine| rank(engine)).cloned()
}
