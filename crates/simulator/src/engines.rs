//! Engines in virtual time: their lives, the orders they take, and how they misbehave.

use crate::prelude::*;

/// How an engine misbehaves for a while; each attempt begun then is served so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineBehavior {
    Good,
    /// The stream breaks after so many pieces.
    Breaks(u64),
    /// The stream ends cleanly after so many pieces, without its end mark.
    EndsEarly(u64),
    /// The whole answer is another attempt's.
    Foreign,
    /// A piece of another attempt comes in between.
    ForeignPiece(u64),
    /// A piece comes after the end mark.
    GoesOn,
    /// A whole answer that is not finished, a stream that stops half-way.
    Partial,
    /// An error after the work was begun.
    Refuses,
    /// Nothing ever comes.
    Silent,
    Late,
    /// Answers name an adapter of another tenant, drawn in the play of foreign adapters alone.
    NamesForeign,
}

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
    /// Polls for events answer nothing new until then.
    pub events_hidden_until: Instant,
    /// It keeps its blocks over the next load of weights, as it must not.
    pub keeps_cache_on_load: bool,
    pub resident: BTreeSet<AdapterId>,
    pub loading: BTreeSet<AdapterId>,
}

impl SimEngine {
    /// An engine listed open that has not started. In a split pool the first of every three prefills.
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

#[derive(Clone, Debug)]
pub struct EngineAttempt {
    pub to: AttemptAddress,
    pub tokens: u64,
    pub(crate) place: u64,
    pub(crate) streams: bool,
    /// The adapter it runs on; none for the bare model.
    pub(crate) adapter: Option<AdapterId>,
    pub(crate) begins_at: Instant,
    pub(crate) limit: Instant,
    pub(crate) behavior: EngineBehavior,
    /// News to the router come in order.
    pub(crate) last_sent_at: Instant,
    pub(crate) head_sent: bool,
}

impl EngineAttempt {
    /// The adapter it runs on; none for the bare model.
    pub fn runs_on(&self) -> Option<&AdapterId> {
        self.adapter.as_ref()
    }

    /// The adapter that its answer names.
    pub(crate) fn names(&self) -> Option<AdapterId> {
        match self.behavior {
            EngineBehavior::NamesForeign => Some(foreign_to(self.runs_on())),
            _ => self.adapter.clone(),
        }
    }
}

/// Where an attempt's news go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptAddress {
    pub node: usize,
    pub router: NodeId,
    pub run: u64,
    pub attempt: String,
}

/// A question on its way to an engine.
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

    /// The engine ends; streams break at once, or with its machine stay silent.
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

    /// An order that has reached an engine.
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

    /// Who gave the latest order.
    fn record_holder(&self) -> &str {
        match self.record.engines.last() {
            Some(EngineLogLine::Order { holder, .. }) => holder,
            _ => "",
        }
    }

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

    pub fn extend_attempt_limit(&mut self, number: usize, attempt_name: &str, span: Span) {
        let until = self.now + span;
        if let Some(attempt) = self.engines[number].attempts.get_mut(attempt_name) {
            attempt.limit = attempt.limit.max(until);
        }
    }

    /// The router's end of an attempt's stream is closed.
    pub fn handle_attempt_closed(&mut self, number: usize, attempt_name: &str) {
        if let Some(attempt) = self.engines[number].attempts.remove(attempt_name) {
            self.end_engine_attempt(number, &attempt, false);
        }
    }
}
