//! The state that a node keeps about its engines and stores, and its updates. `choice` selects the engine.

use crate::prelude::*;

/// The weight of a new request in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.05;
/// The moving averages before the first request.
const INITIAL_AVERAGE_TOKENS: f64 = 512.0;

/// The settings of a node's selection.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectionSettings {
    /// An engine's events are late after this time without any.
    pub events_late: Span,
    /// The limit on the recorded sent parts of each engine.
    pub sent_parts: usize,
    /// A fixed prefill speed, for trials; estimated from the engines' answers if unset.
    pub tokens_per_ms: Option<f64>,
    /// The duration of a fetch besides the transfer of the bytes.
    pub fetch_setup_ms: f64,
    /// The minimum cost of fetching cached tokens, as a share of the cost of their prefill: fetched blocks need not
    /// be computed. 1 counts them like prefill.
    pub fetch_share: f64,
    /// The share of the shared parts without a known cached copy that is expected at the prompt's home engine.
    pub home_affinity_share: f64,
    /// A fetch must gain more tokens than this.
    pub fetch_min_tokens: u64,
    /// A fetch must take less than this share of the prefill time.
    pub fetch_max_time_share: f64,
    /// The share of an engine's pending prefill that counts as prefill blocks of the next request.
    pub pending_prefill_share: f64,
    /// Whether to reject engines whose pending prefill would make the request late.
    pub limits_queue_wait: bool,
    /// The cost that each recent failure adds to an engine.
    pub recent_failure_cost: f64,
    /// An engine is overloaded from this many times the average number of requests plus `overload_base` on, and is
    /// used only if no other engine is below that bound; no bound if unset.
    pub overload_factor: Option<f64>,
    pub overload_base: u64,
    /// How many nodes sample each engine on average, besides the engines that cache the prompt; every node considers
    /// all engines if unset.
    pub samples_per_engine: Option<f64>,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        SelectionSettings {
            events_late: Span::seconds(2),
            sent_parts: 4096,
            tokens_per_ms: None,
            fetch_setup_ms: 2.0,
            fetch_share: 1.0,
            home_affinity_share: 0.0,
            fetch_min_tokens: FETCH_MIN_TOKENS,
            fetch_max_time_share: 0.5,
            pending_prefill_share: 0.0,
            limits_queue_wait: false,
            recent_failure_cost: 0.0,
            overload_factor: None,
            overload_base: 0,
            samples_per_engine: None,
        }
    }
}

/// Selects engines by what this node knows about them.
#[derive(Debug)]
pub struct Selector {
    pub(crate) node: NodeId,
    pub(crate) zone: Zone,
    pub(crate) settings: SelectionSettings,
    pub(crate) index: PartIndex,
    pub(crate) sent: SentParts,
    pub(crate) sources: BTreeMap<EngineName, SourceState>,
    pub(crate) stores: BTreeMap<ServiceName, StoreLocation>,
    prefill_speeds: BTreeMap<ServiceName, PrefillSpeed>,
    next_index: u32,
    pub(crate) peers: PeerReports,
    /// The known number of nodes, including this one.
    pub(crate) node_count: u64,
    pub(crate) average_tokens: f64,
    /// The average number of tokens that an engine must prefill for a request.
    pub(crate) average_prefill_tokens: f64,
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
            sources: BTreeMap::new(),
            stores: BTreeMap::new(),
            prefill_speeds: BTreeMap::new(),
            next_index: 0,
            peers: PeerReports::default(),
            node_count: 1,
            average_tokens: INITIAL_AVERAGE_TOKENS,
            average_prefill_tokens: INITIAL_AVERAGE_TOKENS,
        }
    }

    fn source_mut(&mut self, source: &EngineName) -> &mut SourceState {
        if !self.sources.contains_key(source) {
            self.next_index += 1;
            self.sources.insert(source.clone(), SourceState::new(self.next_index));
        }
        self.sources.get_mut(source).expect("inserted above")
    }

    /// Records the load of a peer's own requests, as of an instant.
    pub fn record_peer_report(&mut self, peer: NodeId, loads: Vec<(EngineName, NodeLoad)>, at: Instant) {
        self.peers.record(peer, loads, at);
    }

    /// Drops outdated peer reports and sets the number of nodes, including this one.
    pub fn expire_peer_reports(&mut self, node_count: u64, now: Instant) {
        self.node_count = node_count;
        self.peers.expire(now);
    }

    /// The load of this node's own requests, as reported to its peers.
    pub fn node_load(&self) -> Vec<(EngineName, NodeLoad)> {
        let busy = self.sources.iter().filter(|(_, state)| state.own_requests > 0);
        let loads = busy.map(|(engine, state)| {
            let SourceState { own_requests: requests, own_tokens: tokens, pending_prefill_tokens, .. } = *state;
            (engine.clone(), NodeLoad { requests, tokens, pending_prefill_tokens })
        });
        loads.collect()
    }

    /// The prefill speed of the engines of a service.
    pub fn tokens_per_ms(&self, service: &ServiceName) -> f64 {
        let estimated = || self.prefill_speeds.get(service).cloned().unwrap_or_default().tokens_per_ms();
        self.settings.tokens_per_ms.unwrap_or_else(estimated)
    }

    /// Updates the estimated prefill speed: an engine of the service prefilled these tokens and sent the first event
    /// of its answer after this time.
    pub fn observe_prefill(&mut self, service: &ServiceName, prefill_tokens: u64, waited: Span) {
        self.prefill_speeds.entry(service.clone()).or_default().observe(prefill_tokens, waited);
    }

    /// Counts a request sent to the engine, with the tokens of its prompt and output.
    pub fn begin(&mut self, engine: &EngineName, tokens: u64) {
        self.average_tokens += (tokens as f64 - self.average_tokens) * AVERAGE_WEIGHT;
        let state = self.source_mut(engine);
        state.own_requests = state.own_requests.saturating_add(1);
        state.own_tokens = state.own_tokens.saturating_add(tokens);
    }

    /// Stops counting a request that ended; `tokens` is the same as for `begin`.
    pub fn end(&mut self, engine: &EngineName, tokens: u64) {
        let Some(state) = self.sources.get_mut(engine) else { return };
        state.own_requests = state.own_requests.saturating_sub(1);
        state.own_tokens = state.own_tokens.saturating_sub(tokens);
    }

    /// Counts one of this node's requests that waits for prefill, with the tokens that the engine must prefill.
    pub fn begin_prefill(&mut self, engine: &EngineName, tokens: u64) {
        self.average_prefill_tokens += (tokens as f64 - self.average_prefill_tokens) * AVERAGE_WEIGHT;
        let state = self.source_mut(engine);
        state.pending_prefill_requests = state.pending_prefill_requests.saturating_add(1);
        state.pending_prefill_tokens = state.pending_prefill_tokens.saturating_add(tokens);
    }

    /// Stops counting these tokens after the answer began or the request ended.
    pub fn end_prefill(&mut self, engine: &EngineName, tokens: u64) {
        let Some(state) = self.sources.get_mut(engine) else { return };
        state.pending_prefill_requests = state.pending_prefill_requests.saturating_sub(1);
        state.pending_prefill_tokens = state.pending_prefill_tokens.saturating_sub(tokens);
    }

    /// The number of this node's requests on the engine, and their tokens.
    pub fn outstanding(&self, engine: &EngineName) -> (u64, u64) {
        self.sources.get(engine).map_or((0, 0), |state| (state.own_requests, state.own_tokens))
    }

    /// Records that the engine prefilled the prompt. It caches the parts now, and events for them are expected.
    pub fn record_sent(&mut self, engine: &EngineName, parts: &[(PartName, u64)], now: Instant) {
        let late_after = self.settings.events_late;
        let index = self.source_mut(engine).index;
        self.sent.record(index, parts);
        let Some((last, size)) = parts.last().copied() else { return };
        let is_cached = self.index.tokens_of(index, last) >= size;
        for (name, tokens) in parts {
            self.index.expect(index, *name, *tokens);
        }
        let state = self.source_mut(engine);
        if !is_cached && state.position.is_some() {
            state.expect_part(last, late_after, now);
        }
    }

    /// Marks a source as unreachable: its known events are ignored until it answers again.
    pub fn mark_unreachable(&mut self, source: &EngineName) {
        if let Some(state) = self.sources.get_mut(source) {
            state.events_known_until = Instant(0);
        }
    }

    pub fn record_load(&mut self, engine: &EngineName, load: EngineLoad, now: Instant) {
        self.source_mut(engine).record_load(load, now);
    }

    pub fn record_fault(&mut self, engine: &EngineName, kind: FaultKind, now: Instant) {
        self.source_mut(engine).record_fault(kind, now);
    }

    pub fn record_success(&mut self, engine: &EngineName, now: Instant) {
        self.source_mut(engine).record_success(now);
    }

    /// Records that the engine reported itself full: it is skipped for a short time.
    pub fn record_full(&mut self, engine: &EngineName, now: Instant) {
        self.source_mut(engine).record_full(now);
    }

    /// Replaces the stores, by service. Their events are followed under the name given by `store_source`.
    pub fn set_stores(&mut self, stores: BTreeMap<ServiceName, StoreLocation>) {
        self.stores = stores;
    }

    /// Removes all engines and stores except the named ones. A removed engine with own requests in flight keeps their
    /// count until a later call, so that the count is right if the engine is listed again.
    pub fn retain_sources(&mut self, named: &BTreeSet<EngineName>) {
        for (_, state) in self.sources.iter_mut().filter(|(engine, _)| !named.contains(*engine)) {
            self.index.drop_source(state.index);
            self.sent.drop_source(state.index);
            state.position = None;
            state.clear_expected();
        }
        self.sources.retain(|engine, state| named.contains(engine) || state.own_requests > 0);
    }

    /// The position from which to request a source's events; none if its full list is needed.
    pub fn position(&self, source: &EngineName) -> Option<SourcePosition> {
        self.sources.get(source).and_then(|state| state.position)
    }

    /// Replaces all parts of a source by its full list. All events up to `known_until` are known from the list.
    pub fn replace_parts(
        &mut self,
        source: &EngineName,
        position: SourcePosition,
        list: &[(PartName, u64)],
        known_until: Instant,
    ) {
        let state = self.source_mut(source);
        state.position = Some(position);
        state.events_known_until = known_until;
        state.clear_expected();
        let index = state.index;
        self.index.replace_all(index, list);
    }

    /// Applies a source's events. If events were lost, all its parts are dropped; if the source restarted, the record
    /// of sent parts is dropped as well.
    pub fn apply_events(&mut self, source: &EngineName, batch: &PartBatch, known_until: Instant) -> FollowOutcome {
        let late_after = self.settings.events_late;
        let Some(state) = self.sources.get_mut(source) else { return FollowOutcome::Lost };
        let Some(position) = state.position.as_mut() else { return FollowOutcome::Lost };
        let has_restarted = position.epoch != batch.epoch;
        let outcome = self.index.follow(state.index, position, batch);
        match outcome {
            FollowOutcome::Followed => {
                state.events_known_until = state.events_known_until.max(known_until);
                for event in &batch.events {
                    state.settle_expected(event.name, late_after);
                }
            }
            FollowOutcome::Lost => {
                state.position = None;
                state.clear_expected();
                if has_restarted {
                    self.sent.drop_source(state.index);
                }
            }
        }
        outcome
    }

    /// All parts that a source is known to cache; none if it is not followed.
    pub fn cached_parts(&self, source: &EngineName) -> Option<Vec<(PartName, u64)>> {
        let state = self.sources.get(source).filter(|state| state.position.is_some())?;
        Some(self.index.list(state.index))
    }

    /// The instant up to which all events of a source are known.
    pub fn events_known_until(&self, source: &EngineName) -> Instant {
        self.sources.get(source).map_or(Instant(0), |state| state.events_known_until)
    }

    /// Applies changes of a source that another node follows.
    pub fn apply_changes(&mut self, source: &EngineName, changes: &[(PartName, u64)], known_until: Instant) {
        let late_after = self.settings.events_late;
        let Some(state) = self.sources.get_mut(source).filter(|state| state.position.is_some()) else { return };
        state.events_known_until = state.events_known_until.max(known_until);
        for (name, tokens) in changes {
            state.settle_expected(*name, late_after);
            self.index.expect(state.index, *name, *tokens);
        }
    }

    /// The number of parts known to be cached, over all sources.
    pub fn part_count(&self) -> usize {
        self.index.entry_count()
    }
}
