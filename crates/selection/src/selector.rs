//! What a node knows of its engines, and how it learns it. The choice itself is made in `choice`.

use crate::prelude::*;

/// How much of an engine's average request counts for each new one.
const AVERAGE_SHARE: f64 = 0.05;
const FIRST_AVERAGE_TOKENS: f64 = 512.0;

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
    pub home_affinity_share: f64,
    /// A fetch that gains fewer tokens, or just as many, is not worth it.
    pub fetch_least_tokens: u64,
    /// A fetch pays if moving takes less than this share of the time that reading takes.
    pub fetch_most_share: f64,
    /// How much of the prompts that wait to be read at an engine counts as prefill blocks of the next one.
    pub pending_prefill_share: f64,
    /// Whether an engine gets no request that the prompts waiting there would make late.
    pub limits_queue_wait: bool,
    /// What each of its latest failures adds to an engine's cost.
    pub recent_failure_cost: f64,
    /// An engine that has so many times the average of requests, and a few more, is taken only if none has
    /// fewer; no such bound if there is no factor.
    pub overload_factor: Option<f64>,
    pub overload_base: u64,
    /// How often all nodes together look at each engine when they choose, besides those that keep the prompt;
    /// every node looks at all if this is not stated.
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
            fetch_least_tokens: FETCH_LEAST_TOKENS,
            fetch_most_share: 0.5,
            pending_prefill_share: 0.0,
            limits_queue_wait: false,
            recent_failure_cost: 0.0,
            overload_factor: None,
            overload_base: 0,
            samples_per_engine: None,
        }
    }
}

#[derive(Debug)]
pub struct Selector {
    pub(crate) node: NodeId,
    pub(crate) zone: Zone,
    pub(crate) settings: SelectionSettings,
    pub(crate) index: PartIndex,
    pub(crate) sent: SentParts,
    pub(crate) known: BTreeMap<EngineName, Known>,
    pub(crate) stores: BTreeMap<ServiceName, StoreLocation>,
    reading: BTreeMap<ServiceName, PrefillSpeed>,
    next_index: u32,
    pub(crate) peers: PeerReports,
    /// All nodes, this one included, as far as is known.
    pub(crate) node_count: u64,
    pub(crate) average_tokens: f64,
    /// What an engine has to read of the average request.
    pub(crate) average_unread: f64,
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

    /// Another node told of all its own work, as it stood at an instant.
    pub fn record_peer_report(&mut self, peer: NodeId, work: Vec<(EngineName, NodeLoad)>, at: Instant) {
        self.peers.note(peer, work, at);
    }

    /// Drops what is too old to be known; there are so many nodes.
    pub fn expire_peer_reports(&mut self, node_count: u64, now: Instant) {
        self.node_count = node_count;
        self.peers.forget_old(now);
    }

    /// This node's own work on the engines, as other nodes are told it.
    pub fn node_load(&self) -> Vec<(EngineName, NodeLoad)> {
        let at_work = self.known.iter().filter(|(_, known)| known.own_requests > 0);
        let told = at_work.map(|(engine, known)| {
            let Known { own_requests: requests, own_tokens: tokens, pending_prefill_tokens, .. } = *known;
            (engine.clone(), NodeLoad { requests, tokens, pending_prefill_tokens })
        });
        told.collect()
    }

    /// How fast the engines of a service read prompts.
    pub fn tokens_per_ms(&self, service: &ServiceName) -> f64 {
        let learnt = || self.reading.get(service).cloned().unwrap_or_default().tokens_per_ms();
        self.settings.tokens_per_ms.unwrap_or_else(learnt)
    }

    /// An engine of the service had so much to read, and its first event came after so long.
    pub fn observe_prefill(&mut self, service: &ServiceName, read_tokens: u64, waited: Span) {
        self.reading.entry(service.clone()).or_default().observe(read_tokens, waited);
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
    pub fn begin_prefill(&mut self, engine: &EngineName, pending_prefill_tokens: u64) {
        self.average_unread += (pending_prefill_tokens as f64 - self.average_unread) * AVERAGE_SHARE;
        let known = self.engine(engine);
        known.unread_requests = known.unread_requests.saturating_add(1);
        known.pending_prefill_tokens = known.pending_prefill_tokens.saturating_add(pending_prefill_tokens);
    }

    /// The answer of that request began, or it ended before.
    pub fn end_prefill(&mut self, engine: &EngineName, pending_prefill_tokens: u64) {
        let Some(known) = self.known.get_mut(engine) else { return };
        known.unread_requests = known.unread_requests.saturating_sub(1);
        known.pending_prefill_tokens = known.pending_prefill_tokens.saturating_sub(pending_prefill_tokens);
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
    pub fn mark_unreachable(&mut self, source: &EngineName) {
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
    pub fn set_stores(&mut self, stores: BTreeMap<ServiceName, StoreLocation>) {
        self.stores = stores;
    }

    /// Engines and stores not named are forgotten. Of one that still runs own requests their count stays
    /// until a later call, so that it is right should the engine be listed again.
    pub fn retain_sources(&mut self, named: &BTreeSet<EngineName>) {
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
    pub fn replace_parts(
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
    pub fn apply_events(&mut self, source: &EngineName, batch: &PartBatch, heard: Instant) -> FollowOutcome {
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
    pub fn kept_parts(&self, source: &EngineName) -> Option<Vec<(PartName, u64)>> {
        let known = self.known.get(source).filter(|known| known.position.is_some())?;
        Some(self.index.list(known.index))
    }

    /// Up to when a source's events are known.
    pub fn events_known_until(&self, source: &EngineName) -> Instant {
        self.known.get(source).map_or(Instant(0), |known| known.heard)
    }

    /// Takes changes of a source that another node reads.
    pub fn apply_changes(&mut self, source: &EngineName, changes: &[(PartName, u64)], heard: Instant) {
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
