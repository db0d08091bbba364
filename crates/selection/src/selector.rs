//! The selection itself, and what it learns from.

use crate::prelude::*;

/// How much of an engine's average request counts for each new one.
const AVERAGE_SHARE: f64 = 0.05;
const FIRST_AVERAGE_TOKENS: f64 = 512.0;
/// Of two engines drawn by lot the better is far better than any one.
const LEAST_LOTS: usize = 2;

/// What may be set for a whole node.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectionSettings {
    /// After which time without news an engine's events are late.
    pub events_late: Span,
    /// The bound of the node's own history for each engine.
    pub sent_parts: usize,
    /// How fast engines read prompts, for trials; learnt from their answers if it is not stated.
    pub tokens_per_ms: Option<f64>,
    /// What a fetch takes besides moving the bytes.
    pub fetch_setup_ms: f64,
    /// What fetching kept tokens costs, as a share of reading them: blocks that come from elsewhere need not
    /// be computed. 1 counts them as if they were read.
    pub fetch_share: f64,
    /// How much of the shared parts that nobody is known to keep is expected at the prompt's home.
    pub home_share: f64,
    /// A fetch that gains fewer tokens, or just as many, is not worth it.
    pub fetch_least_tokens: u64,
    /// A fetch pays if moving takes less than this share of the time that reading takes.
    pub fetch_most_share: f64,
    /// How much of the prompts that wait to be read at an engine counts as prefill blocks of the next one.
    pub unread_share: f64,
    /// What each of its latest failures adds to an engine's cost.
    pub trouble_cost: f64,
    /// An engine that has so many times the average of requests, and a few more, is taken only if none has
    /// fewer; no such bound if there is no factor.
    pub crowd_factor: Option<f64>,
    pub crowd_base: u64,
    /// How often all nodes together look at each engine when they choose, besides those that keep the prompt;
    /// every node looks at all if this is not stated.
    pub looks_per_engine: Option<f64>,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        SelectionSettings {
            events_late: Span::seconds(2),
            sent_parts: 4096,
            tokens_per_ms: None,
            fetch_setup_ms: 2.0,
            fetch_share: 1.0,
            home_share: 0.0,
            fetch_least_tokens: FETCH_LEAST_TOKENS,
            fetch_most_share: 0.5,
            unread_share: 0.0,
            trouble_cost: 0.0,
            crowd_factor: None,
            crowd_base: 0,
            looks_per_engine: None,
        }
    }
}

#[derive(Debug)]
pub struct Selector {
    node: NodeId,
    zone: Zone,
    pub(crate) settings: SelectionSettings,
    pub(crate) index: PartIndex,
    sent: SentParts,
    pub(crate) known: BTreeMap<EngineName, Known>,
    pub(crate) stores: BTreeMap<ServiceName, StorePlace>,
    reading: BTreeMap<ServiceName, ReadingSpeed>,
    next_index: u32,
    peers: PeerReports,
    /// All nodes, this one included, as far as is known.
    node_count: u64,
    average_tokens: f64,
    /// What an engine has to read of the average request.
    average_unread: f64,
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
    pub fn new(node: NodeId, zone: Zone) -> Selector {
        Selector::with_settings(node, zone, SelectionSettings::default())
    }

    pub fn with_settings(node: NodeId, zone: Zone, settings: SelectionSettings) -> Selector {
        Selector {
            node,
            zone,
            index: PartIndex::default(),
            sent: SentParts::new(settings.sent_parts),
            settings,
            known: BTreeMap::new(),
            stores: BTreeMap::new(),
            reading: BTreeMap::new(),
            next_index: 0,
            peers: PeerReports::default(),
            node_count: 1,
            average_tokens: FIRST_AVERAGE_TOKENS,
            average_unread: FIRST_AVERAGE_TOKENS,
        }
    }

    fn engine(&mut self, engine: &EngineName) -> &mut Known {
        if !self.known.contains_key(engine) {
            self.next_index += 1;
            self.known.insert(engine.clone(), Known::new(self.next_index));
        }
        self.known.get_mut(engine).expect("it was put in above")
    }

    /// The lowest-cost engine among those that pass. Those with a place free go before those whose queue
    /// takes it, and these before those that rest after a fault.
    pub fn select(
        &self,
        candidates: &[Candidate],
        request: &SelectionRequest,
        weigh: impl Fn(Band) -> f64,
        now: Instant,
    ) -> Selection {
        let unknown = Known::default();
        let known_of = |candidate: &Candidate| self.known.get(&candidate.engine).unwrap_or(&unknown);
        let crowd = self.crowd(candidates, now);
        let peer_factor = self.seen_factor(candidates);
        let mut passing = Vec::new();
        let mut refusals = Vec::new();
        for candidate in candidates.iter().filter(|candidate| !request.tried.contains(&candidate.engine)) {
            let others = self.others(candidate, known_of(candidate), peer_factor, now);
            match bearing_of(candidate, known_of(candidate), request, crowd, &others, now) {
                Ok(bearing) => passing.push((candidate, bearing)),
                Err(span) => refusals.push(span),
            }
        }
        let Some(best) = passing.iter().map(|(_, bearing)| *bearing).min() else {
            return Selection::Refused { retry_after: retry_after(refusals.into_iter(), request.priority) };
        };
        let holdings = self.holdings(candidates, request, now);
        let nothing_held = Holdings::default();
        let held_on = |weights: WeightsEdition| holdings.get(&weights).unwrap_or(&nothing_held);
        let home = self.home(&passing, request);
        let scores: Vec<Score<'_>> = passing
            .into_iter()
            .filter(|(_, bearing)| *bearing == best)
            .map(|(candidate, bearing)| {
                let held = held_on(candidate.weights);
                let is_home = home == Some(&candidate.engine);
                let known = known_of(candidate);
                let others = self.others(candidate, known, peer_factor, now);
                self.score(candidate, known, &others, bearing, request, held, is_home, &weigh, now)
            })
            .collect();
        self.drawn(scores, request, home)
            .into_iter()
            .min_by(|left, right| {
                left.cost.total_cmp(&right.cost).then_with(|| {
                    let spread = |score: &Score<'_>| self.spread(request, &score.candidate.engine);
                    spread(left).cmp(&spread(right))
                })
            })
            .map_or(Selection::Refused { retry_after: retry_after(std::iter::empty(), request.priority) }, |score| {
                let held = held_on(score.candidate.weights);
                let fetch = self.fetch_source(held, request, score.candidate, score.kept);
                let fetched = fetch.as_ref().map_or(0, |fetch| fetch.tokens);
                let sink = self.sink(request, score.candidate, score.kept + fetched, now);
                Selection::Chosen(Chosen {
                    engine: score.candidate.engine.clone(),
                    address: score.candidate.address.clone(),
                    weights: score.candidate.weights,
                    prefill_blocks: score.prefill_blocks,
                    decode_blocks: score.decode_blocks,
                    unread_tokens: request.prompt_tokens.saturating_sub(score.kept + fetched),
                    cost: score.cost,
                    by_events: score.by_events,
                    is_queued: matches!(score.bearing, Bearing::Queued(_)),
                    fetch,
                    sink,
                })
            })
    }

    /// The scores among which the lowest cost decides: those of the engines that keep the most of the prompt, of
    /// the prompt's home, and of some drawn by lot. Loads are known as they were a moment ago, and alike to many
    /// nodes; if all of them took the engine that was least loaded then, it would be the most loaded now.
    fn drawn<'a>(
        &self,
        mut scores: Vec<Score<'a>>,
        request: &SelectionRequest,
        home: Option<&EngineName>,
    ) -> Vec<Score<'a>> {
        let lots = self.lots(scores.len());
        if lots >= scores.len() {
            return scores;
        }
        let lot = |score: &Score<'a>| {
            stable_hash(&[
                &request.lot.to_le_bytes(),
                &self.node.0.to_le_bytes(),
                score.candidate.engine.as_str().as_bytes(),
            ])
        };
        scores.sort_by_cached_key(lot);
        let most_kept = scores.iter().map(|score| score.kept).max().unwrap_or(0);
        let mut keeping = 0;
        let mut place = 0;
        scores.retain(|score| {
            place += 1;
            let keeps_most = most_kept > 0 && score.kept == most_kept;
            keeping += usize::from(keeps_most);
            place <= lots || (keeps_most && keeping <= lots) || home == Some(&score.candidate.engine)
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
    fn crowd(&self, candidates: &[Candidate], now: Instant) -> u64 {
        let Some(factor) = self.settings.crowd_factor else { return u64::MAX };
        let peer_factor = self.seen_factor(candidates);
        let requests_at = |candidate: &Candidate| {
            let Some(known) = self.known.get(&candidate.engine) else { return 0 };
            known.own_requests.saturating_add(self.others(candidate, known, peer_factor, now).requests)
        };
        let total: u64 = candidates.iter().map(requests_at).sum();
        let average = total as f64 / candidates.len().max(1) as f64;
        (average * factor) as u64 + self.settings.crowd_base
    }

    /// The engine at which all nodes expect a prompt's shared parts that nobody is known to keep yet: by a
    /// hash of the parts and the engine alone, so that nodes that do not know of each other agree.
    fn home<'a>(&self, passing: &[(&'a Candidate, Bearing)], request: &SelectionRequest) -> Option<&'a EngineName> {
        let rank = |engine: &EngineName| stable_hash(&[&request.tie.to_le_bytes(), engine.as_str().as_bytes()]);
        passing.iter().map(|(candidate, _)| &candidate.engine).max_by_key(|engine| rank(engine))
    }

    #[allow(clippy::too_many_arguments)]
    fn score<'a>(
        &self,
        candidate: &'a Candidate,
        known: &Known,
        others: &OwnWork,
        bearing: Bearing,
        request: &SelectionRequest,
        held: &Holdings,
        is_home: bool,
        weigh: impl Fn(Band) -> f64,
        now: Instant,
    ) -> Score<'a> {
        let parts = request.parts(candidate.weights);
        let by_events = !known.events_are_late(self.settings.events_late, now);
        let kept = match by_events {
            true => self.index.kept_tokens(known.index, parts),
            false => self.sent.kept_tokens(known.index, parts),
        };
        let kept = kept.min(request.prompt_tokens);
        let block_tokens = request.block_tokens.max(1);
        let lacking = self.lacking_tokens(request, candidate, kept, held, is_home);
        let ahead = self.unread_ahead(known, others);
        let prefill_blocks = BlockCount(lacking.saturating_add(ahead).div_ceil(block_tokens));
        let decode_blocks = BlockCount(known.own_tokens.saturating_add(others.tokens).div_ceil(block_tokens));
        let zone_blocks = if candidate.zone == self.zone { 0.0 } else { request.zone_penalty_blocks };
        let trouble = known.trouble(now) * self.settings.trouble_cost;
        let cost = cost(weigh(Band::of(decode_blocks)), prefill_blocks, decode_blocks) + zone_blocks + trouble;
        Score { candidate, bearing, kept, prefill_blocks, decode_blocks, cost, by_events }
    }

    /// Tokens that the engine would have to read. What another source keeps may be fetched for less; what
    /// nobody is known to keep may be on its way to the prompt's home.
    fn lacking_tokens(
        &self,
        request: &SelectionRequest,
        candidate: &Candidate,
        kept: u64,
        held: &Holdings,
        is_home: bool,
    ) -> u64 {
        let cheapest = self.cheapest_tokens(held, request, candidate, kept);
        if !is_home {
            return cheapest;
        }
        let shared: u64 = request.parts(candidate.weights).iter().rev().skip(1).map(|(_, tokens)| *tokens).sum();
        let unknown_shared = shared.saturating_sub(held.best_kept().max(kept));
        cheapest.saturating_sub((unknown_shared as f64 * self.settings.home_share) as u64)
    }

    /// Tokens of prompts that the engine has yet to read before it comes to a new one.
    fn unread_ahead(&self, known: &Known, others: &OwnWork) -> u64 {
        let unread = known.unread_tokens.saturating_add(others.unread_tokens);
        (unread as f64 * self.settings.unread_share) as u64
    }

    /// What the other nodes run on an engine: by the engine's own count if it told one lately, or else by what
    /// the other nodes tell.
    fn others(&self, candidate: &Candidate, known: &Known, peer_factor: f64, now: Instant) -> OwnWork {
        let estimated = self.peers.estimate(&candidate.engine, peer_factor);
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

    /// Another node told of all its own work, as it stood at an instant.
    pub fn note_peer(&mut self, peer: NodeId, work: Vec<(EngineName, OwnWork)>, at: Instant) {
        self.peers.note(peer, work, at);
    }

    /// Drops what is too old to be known; there are so many nodes.
    pub fn tend_peers(&mut self, node_count: u64, now: Instant) {
        self.node_count = node_count;
        self.peers.forget_old(now);
    }

    /// This node's own work on the engines, as other nodes are told it.
    pub fn own_work(&self) -> Vec<(EngineName, OwnWork)> {
        let at_work = self.known.iter().filter(|(_, known)| known.own_requests > 0);
        let told = at_work.map(|(engine, known)| {
            let Known { own_requests: requests, own_tokens: tokens, unread_tokens, .. } = *known;
            (engine.clone(), OwnWork { requests, tokens, unread_tokens })
        });
        told.collect()
    }

    /// How fast the engines of a service read prompts.
    pub fn tokens_per_ms(&self, service: &ServiceName) -> f64 {
        let learnt = || self.reading.get(service).cloned().unwrap_or_default().tokens_per_ms();
        self.settings.tokens_per_ms.unwrap_or_else(learnt)
    }

    /// An engine of the service had so much to read, and its first event came after so long.
    pub fn note_read(&mut self, service: &ServiceName, read_tokens: u64, waited: Span) {
        self.reading.entry(service.clone()).or_default().observe(read_tokens, waited);
    }

    /// The order among equals, another on every node, so that nodes do not all choose alike.
    pub(crate) fn spread(&self, request: &SelectionRequest, engine: &EngineName) -> u64 {
        stable_hash(&[&request.tie.to_le_bytes(), &self.node.0.to_le_bytes(), engine.as_str().as_bytes()])
    }

    /// A request goes to the engine; tokens are those of prompt and output.
    pub fn begin(&mut self, engine: &EngineName, tokens: u64) {
        self.average_tokens += (tokens as f64 - self.average_tokens) * AVERAGE_SHARE;
        let known = self.engine(engine);
        known.own_requests = known.own_requests.saturating_add(1);
        known.own_tokens = known.own_tokens.saturating_add(tokens);
    }

    /// It ended there; the tokens are those it began with.
    pub fn end(&mut self, engine: &EngineName, tokens: u64) {
        let Some(known) = self.known.get_mut(engine) else { return };
        known.own_requests = known.own_requests.saturating_sub(1);
        known.own_tokens = known.own_tokens.saturating_sub(tokens);
    }

    /// The engine has so much to read of an own request before its answer begins.
    pub fn begin_reading(&mut self, engine: &EngineName, unread_tokens: u64) {
        self.average_unread += (unread_tokens as f64 - self.average_unread) * AVERAGE_SHARE;
        let known = self.engine(engine);
        known.unread_requests = known.unread_requests.saturating_add(1);
        known.unread_tokens = known.unread_tokens.saturating_add(unread_tokens);
    }

    /// The answer of that request began, or it ended before.
    pub fn end_reading(&mut self, engine: &EngineName, unread_tokens: u64) {
        let Some(known) = self.known.get_mut(engine) else { return };
        known.unread_requests = known.unread_requests.saturating_sub(1);
        known.unread_tokens = known.unread_tokens.saturating_sub(unread_tokens);
    }

    /// Own requests on the engine, and their tokens.
    pub fn in_flight(&self, engine: &EngineName) -> (u64, u64) {
        self.known.get(engine).map_or((0, 0), |known| (known.own_requests, known.own_tokens))
    }

    /// The engine has read the prompt: it keeps the parts now, and an event should soon tell so.
    pub fn note_sent(&mut self, engine: &EngineName, parts: &[(PartName, u64)], now: Instant) {
        let late_after = self.settings.events_late;
        let index = self.engine(engine).index;
        self.sent.record(index, parts);
        let Some((last, size)) = parts.last().copied() else { return };
        let is_kept = self.index.tokens_of(index, last) >= size;
        for (name, tokens) in parts {
            self.index.expect(index, *name, *tokens);
        }
        let known = self.engine(engine);
        if !is_kept && known.position.is_some() {
            known.await_part(last, late_after, now);
        }
    }

    /// A source could not be reached: until it is heard again, what it told counts for nothing.
    pub fn note_unheard(&mut self, source: &EngineName) {
        if let Some(known) = self.known.get_mut(source) {
            known.heard = Instant(0);
        }
    }

    pub fn note_load(&mut self, engine: &EngineName, load: EngineLoad, now: Instant) {
        self.engine(engine).note_load(load, now);
    }

    pub fn note_fault(&mut self, engine: &EngineName, kind: FaultKind, now: Instant) {
        self.engine(engine).note_fault(kind, now);
    }

    pub fn note_success(&mut self, engine: &EngineName, now: Instant) {
        self.engine(engine).note_success(now);
    }

    /// The engine said that it is full: it is passed over for a moment.
    pub fn note_full(&mut self, engine: &EngineName, now: Instant) {
        self.engine(engine).note_full(now);
    }

    /// The stores there are now, by service. Their events are followed under `store_source`.
    pub fn set_stores(&mut self, stores: BTreeMap<ServiceName, StorePlace>) {
        self.stores = stores;
    }

    /// Engines and stores not named are forgotten. Of one that still runs own requests their count stays
    /// until a later call, so that it is right should the engine be listed again.
    pub fn keep_only(&mut self, named: &BTreeSet<EngineName>) {
        for (_, known) in self.known.iter_mut().filter(|(engine, _)| !named.contains(*engine)) {
            self.index.drop_source(known.index);
            self.sent.drop_source(known.index);
            known.position = None;
            known.forget_awaited();
        }
        self.known.retain(|engine, known| named.contains(engine) || known.own_requests > 0);
    }

    /// From where a source's events are to be asked; nothing if its list must be taken.
    pub fn position(&self, source: &EngineName) -> Option<SourcePosition> {
        self.known.get(source).and_then(|known| known.position)
    }

    /// Takes a source's whole list. `heard` is up to when the answer is known to tell all.
    pub fn take_list(
        &mut self,
        source: &EngineName,
        position: SourcePosition,
        list: &[(PartName, u64)],
        heard: Instant,
    ) {
        let known = self.engine(source);
        known.position = Some(position);
        known.heard = heard;
        known.forget_awaited();
        let index = known.index;
        self.index.replace_all(index, list);
    }

    /// Takes a source's events. When they are lost, all that it told is dropped, and after a restart what
    /// was sent there, too.
    pub fn take_events(&mut self, source: &EngineName, batch: &PartBatch, heard: Instant) -> FollowOutcome {
        let late_after = self.settings.events_late;
        let Some(known) = self.known.get_mut(source) else { return FollowOutcome::Lost };
        let Some(position) = known.position.as_mut() else { return FollowOutcome::Lost };
        let has_restarted = position.epoch != batch.epoch;
        let outcome = self.index.follow(known.index, position, batch);
        match outcome {
            FollowOutcome::Followed => {
                known.heard = known.heard.max(heard);
                for event in &batch.events {
                    known.settle_awaited(event.name, late_after);
                }
            }
            FollowOutcome::Lost => {
                known.position = None;
                known.forget_awaited();
                if has_restarted {
                    self.sent.drop_source(known.index);
                }
            }
        }
        outcome
    }

    /// All that a source is known to keep; nothing if it is not followed.
    pub fn kept_at(&self, source: &EngineName) -> Option<Vec<(PartName, u64)>> {
        let known = self.known.get(source).filter(|known| known.position.is_some())?;
        Some(self.index.list(known.index))
    }

    /// Up to when a source's events are known.
    pub fn heard_at(&self, source: &EngineName) -> Instant {
        self.known.get(source).map_or(Instant(0), |known| known.heard)
    }

    /// Takes changes of a source that another node reads.
    pub fn take_changes(&mut self, source: &EngineName, changes: &[(PartName, u64)], heard: Instant) {
        let late_after = self.settings.events_late;
        let Some(known) = self.known.get_mut(source).filter(|known| known.position.is_some()) else { return };
        known.heard = known.heard.max(heard);
        for (name, tokens) in changes {
            known.settle_awaited(*name, late_after);
            self.index.expect(known.index, *name, *tokens);
        }
    }

    /// Parts known to be kept, over all sources.
    pub fn part_count(&self) -> usize {
        self.index.entry_count()
    }
}
