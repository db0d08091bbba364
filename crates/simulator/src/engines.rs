//! Simulated engines: start and crash, conductor orders, and misbehavior.

use crate::prelude::*;

/// How an engine serves the attempts that start while this behavior is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineBehavior {
    Good,
    /// The stream breaks after this many pieces.
    Breaks(u64),
    /// The stream is closed cleanly after this many pieces, without its end mark.
    EndsEarly(u64),
    /// The whole answer belongs to another attempt.
    Foreign,
    /// The piece at this index belongs to another attempt.
    ForeignPiece(u64),
    /// A piece follows the end mark.
    GoesOn,
    /// A whole answer is incomplete; a stream is closed half-way.
    Partial,
    /// The engine answers with an error after it has started the work.
    Refuses,
    /// The engine never answers.
    Silent,
    Late,
    /// Answers name an adapter of another tenant; used only in the mode with foreign adapters.
    NamesForeign,
}

/// An engine machine and the attempts it works on.
pub struct SimEngine {
    pub name: EngineName,
    pub zone: Zone,
    pub role: Role,
    pub weights: WeightsEdition,
    pub listed: Option<Listed>,
    pub up: bool,
    pub accepting: bool,
    pub highest_term: u64,
    pub cache: SimBlockCache,
    pub attempts: BTreeMap<String, EngineAttempt>,
    pub behavior: EngineBehavior,
    pub behavior_until: Instant,
    /// Until then, polls for events return nothing new.
    pub events_hidden_until: Instant,
    /// A fault: it keeps its cached blocks over the next load of weights.
    pub keeps_cache_on_load: bool,
    pub resident: BTreeSet<AdapterId>,
    pub loading: BTreeSet<AdapterId>,
}

impl SimEngine {
    /// An engine that is listed open but not started. In a split pool every third engine, beginning with the first,
    /// prefills.
    pub fn new(number: usize, is_split: bool) -> SimEngine {
        SimEngine {
            name: EngineName(format!("e{number}")),
            zone: Zone(ZONES[number % 4].into()),
            role: match (is_split, number % 3) {
                (false, _) => Role::Whole,
                (true, 0) => Role::Prefill,
                (true, _) => Role::Decode,
            },
            weights: WeightsEdition(1),
            listed: Some(Listed::Open),
            up: false,
            accepting: false,
            highest_term: 0,
            cache: SimBlockCache::default(),
            attempts: BTreeMap::new(),
            behavior: EngineBehavior::Good,
            behavior_until: Instant(0),
            events_hidden_until: Instant(0),
            keeps_cache_on_load: false,
            resident: BTreeSet::new(),
            loading: BTreeSet::new(),
        }
    }
}

/// An attempt that an engine works on.
#[derive(Clone, Debug)]
pub struct EngineAttempt {
    pub to: AttemptAddress,
    pub tokens: u64,
    pub(crate) place: u64,
    pub(crate) streams: bool,
    /// The adapter it runs on; none for the base model.
    pub(crate) adapter: Option<AdapterId>,
    pub(crate) begins_at: Instant,
    pub(crate) limit: Instant,
    pub(crate) behavior: EngineBehavior,
    /// When the last message to the router arrives; later messages arrive no earlier, so that they stay in order.
    pub(crate) last_sent_at: Instant,
    pub(crate) head_sent: bool,
}

impl EngineAttempt {
    /// The adapter it runs on; none for the base model.
    pub fn runs_on(&self) -> Option<&AdapterId> {
        self.adapter.as_ref()
    }

    /// The adapter that its answer names.
    pub(crate) fn named_adapter(&self) -> Option<AdapterId> {
        match self.behavior {
            EngineBehavior::NamesForeign => Some(foreign_to(self.runs_on())),
            _ => self.adapter.clone(),
        }
    }
}

/// The node, router, run and attempt that an engine's messages are addressed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptAddress {
    pub node: usize,
    pub router: NodeId,
    pub run: u64,
    pub attempt: String,
}

/// An attempt's request on its way to an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    pub to: AttemptAddress,
    pub tenant: TenantName,
    pub weights: WeightsEdition,
    pub adapter: Option<AdapterId>,
    pub salt: Salt,
    pub names: Vec<BlockHash>,
    pub fetches: Vec<FetchRun>,
    pub tokens: u64,
    pub streams: bool,
    pub limit: Span,
}

impl World {
    /// Starts an engine with an empty cache, unless it is up.
    pub fn start_engine(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if !engine.up {
            engine.up = true;
            engine.accepting = true;
            engine.highest_term = 0;
            engine.cache.restart();
            engine.resident.clear();
            engine.loading.clear();
        }
    }

    /// Crashes an engine. Its streams break at once, or go silent if the whole machine is lost.
    pub fn crash_engine(&mut self, number: usize, with_machine: bool) {
        let engine = &mut self.engines[number];
        if !engine.up {
            return;
        }
        engine.up = false;
        let attempts = std::mem::take(&mut engine.attempts);
        for attempt in attempts.into_values().filter(|_| !with_machine) {
            let at = attempt.last_sent_at.max(self.now + Span::millis(2));
            self.send_to_run(&attempt.to, at, AttemptInput::Broken("reset".into()));
        }
    }

    /// Carries out a conductor's order, unless its term is older than one already seen.
    pub fn handle_order(&mut self, number: usize, order: SimOrder) {
        let at = self.millis();
        let engine = &mut self.engines[number];
        if !engine.up {
            return;
        }
        engine.highest_term = engine.highest_term.max(order.term.0);
        let taken = order.term.0 >= engine.highest_term;
        let named = order.kind.name();
        self.record.engines.push(EngineLogLine::Order {
            at,
            engine: engine.name.0.clone(),
            holder: order.holder,
            term: order.term.0,
            taken,
            order: named.into(),
        });
        self.note(format!("e{number} ordered by {} term {}: {named}", self.record_holder(), order.term));
        let engine = &mut self.engines[number];
        match order.kind {
            _ if !taken => {}
            SimOrderKind::LoadAdapter(adapter) => self.begin_adapter_load(number, adapter),
            SimOrderKind::UnloadAdapter(adapter) => engine.unload_adapter(&adapter),
            SimOrderKind::LoadWeights(weights) => {
                engine.accepting = false;
                let boot = engine.cache.boot;
                let span = Span::millis(self.rng.between(100, 600));
                self.schedule_after(span, SimEvent::WeightsLoaded { engine: number, boot, weights });
            }
            SimOrderKind::Open => engine.accepting = true,
        }
    }

    /// The holder that gave the last recorded order.
    fn record_holder(&self) -> &str {
        match self.record.engines.last() {
            Some(EngineLogLine::Order { holder, .. }) => holder,
            _ => "",
        }
    }

    /// Completes a load of weights, unless the engine restarted or still has running attempts.
    pub fn finish_weights_load(&mut self, number: usize, boot: u64, weights: WeightsEdition) {
        let engine = &mut self.engines[number];
        if engine.cache.boot != boot || !engine.up || !engine.attempts.is_empty() {
            return;
        }
        engine.weights = weights;
        engine.accepting = true;
        engine.resident.clear();
        engine.loading.clear();
        if !std::mem::take(&mut engine.keeps_cache_on_load) {
            engine.cache.clear();
        }
    }

    /// Extends the time limit of an attempt; it is never shortened.
    pub fn extend_attempt_limit(&mut self, number: usize, attempt_name: &str, span: Span) {
        let until = self.now + span;
        if let Some(attempt) = self.engines[number].attempts.get_mut(attempt_name) {
            attempt.limit = attempt.limit.max(until);
        }
    }

    /// The router has closed its end of an attempt's stream.
    pub fn handle_attempt_closed(&mut self, number: usize, attempt_name: &str) {
        if let Some(attempt) = self.engines[number].attempts.remove(attempt_name) {
            self.end_engine_attempt(number, &attempt, false);
        }
    }
}
