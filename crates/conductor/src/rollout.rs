//! Rolls out new weights where the platform's listing shows what each engine holds and an engine starts an
//! ordered load by itself once its running requests have ended. An engine is closed first, in force on every
//! router; then ordered to load; then queried until it reports the new weights; then opened. A limited number
//! load at a time, the next as soon as one is done. An engine that serves several models loads them one by one.
//!
//! Once routers have stopped using the old weights, an engine where requests still wait is ordered out of turn:
//! the order rejects the waiting requests, which would otherwise start on weights that are too old.

use crate::prelude::*;

/// One in this many engines of a model may load at a time.
const ENGINES_PER_LOAD: usize = 5;
/// How many further engines are closed in advance, so that their requests have ended when their turn comes.
const CLOSED_AHEAD: usize = 1;
/// Time from closing an engine to ordering it, in which routers learn of the closing.
const CLOSE_PAUSE: Span = Span::millis(150);
/// Time from an order to the first query of the engine.
const FIRST_QUERY_PAUSE: Span = Span::millis(1200);
/// Time between queries of a loading engine.
const QUERY_INTERVAL: Span = Span::millis(200);
const BUSY_PAUSE: Span = Span::millis(300);
const REFUSED_PAUSE: Span = Span::millis(1500);
const FAULT_PAUSE: Span = Span::millis(700);
/// For how many of a model's latest weights editions the time they were first wanted is remembered.
const EDITIONS_KEPT: usize = 16;
/// How long after an engine may first be ordered out of turn requests that hold a slot are taken for waiting: most
/// of those sent before routers gave the old weights up have begun or ended by then.
const IN_FLIGHT_PATIENCE: Span = Span::millis(600);
/// Time between checks for waiting requests at an engine that is ordered out of turn.
const NOT_NEEDED_PAUSE: Span = Span::millis(300);
/// After more consecutive unanswered orders or queries than this an engine no longer delays others.
const MAX_FAULTS: u32 = 2;

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carries it out.
    Accepted,
    /// The engine already held the weights.
    AlreadyHeld,
    /// Another order is under way, or this one was accepted before.
    Busy,
    /// A later holder of the conductor duty has given orders since.
    Superseded,
    /// The engine does not know such an order, or not yet.
    Refused,
    /// The order was not sent, as no request waits at the engine.
    NotNeeded,
    /// No answer came; the engine may have accepted the order.
    NoAnswer,
}

/// A step of the rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Put the engine's status into the fleet state.
    SetEngineStatus { engine: EngineName, status: EngineStatus },
    /// Order the engine to load weights.
    Order { engine: EngineName, address: String, model: ModelName, weights: WeightsEdition },
    /// Order the engine out of turn, only if requests wait there. With `counts_in_flight` those that hold a slot
    /// count: the engine may not have begun them.
    OrderIfWaiting {
        engine: EngineName,
        address: String,
        model: ModelName,
        weights: WeightsEdition,
        counts_in_flight: bool,
    },
    /// Ask the engine which weights of a model it holds and whether it is loading.
    QueryWeights { engine: EngineName, address: String, model: ModelName },
}

/// Weights of a model that an engine is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Load {
    model: ModelName,
    weights: WeightsEdition,
}

/// What is known of an engine that is being brought to new weights.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// An order that was or may have been accepted and is not known to be complete.
    ordered: Option<Load>,
    /// No step is taken for the engine before this time.
    not_before: Instant,
    /// Consecutive orders or queries without an answer.
    faults: u32,
    /// The newest weights that it reported of each model.
    reported: BTreeMap<ModelName, WeightsEdition>,
}

impl Progress {
    fn note_reported(&mut self, model: &ModelName, weights: WeightsEdition) {
        let reported = self.reported.entry(model.clone()).or_default();
        *reported = weights.max(*reported);
    }
}

/// Plans the rollout of new weights; keeps only what the fleet state does not hold.
#[derive(Clone, Debug, Default)]
pub struct WeightsRollout {
    progress: BTreeMap<EngineName, Progress>,
    /// The earliest instant at which a step becomes due by itself.
    due: Option<Instant>,
    /// How long after new weights were first wanted orders are given out of turn; never if `None`.
    expedite_after: Option<Span>,
    /// When each of the latest editions of a model's weights was first wanted.
    wanted_since: BTreeMap<ModelName, BTreeMap<WeightsEdition, Instant>>,
    /// Until when the coordinator was unsettled; routers restart their time limit for old weights then.
    unsettled_until: Instant,
}

impl WeightsRollout {
    /// A rollout that orders engines out of turn once new weights have been wanted for this long.
    pub fn expediting_after(span: Span) -> WeightsRollout {
        WeightsRollout { expedite_after: Some(span), ..WeightsRollout::default() }
    }

    /// Drops what was learned of engines under an earlier term.
    pub fn forget(&mut self) {
        self.progress.clear();
    }

    /// Records until when the coordinator was unsettled. That delays orders out of turn as it delays the end of old
    /// weights at routers.
    pub fn note_unsettled_until(&mut self, until: Instant) {
        self.unsettled_until = self.unsettled_until.max(until);
    }

    /// Records when the present weights of each model were first wanted. Called on every keeper, so that a new
    /// holder of the duty knows.
    pub fn note_wanted(&mut self, state: &FleetState, now: Instant) {
        self.wanted_since.retain(|model, _| state.desired.models.contains_key(model));
        for (model, spec) in &state.desired.models {
            let editions = self.wanted_since.entry(model.clone()).or_default();
            editions.entry(spec.weights).or_insert(now);
            while editions.len() > EDITIONS_KEPT {
                editions.pop_first();
            }
        }
    }

    /// From when on an engine that holds these weights is ordered out of turn. Counted from the first newer edition,
    /// whichever were named since.
    fn expedite_from(&self, model: &ModelName, held: WeightsEdition) -> Option<Instant> {
        let editions = self.wanted_since.get(model)?;
        let (_, since) = editions.iter().find(|(edition, _)| **edition > held)?;
        let span = self.expedite_after?;
        let from = *since + span;
        if self.unsettled_until < from { Some(from.max(self.unsettled_until + span)) } else { Some(from) }
    }

    /// The steps to take now. Their outcomes come back through `record_answer` and `record_report`, or through the
    /// fleet state for a new engine status. `may_order` is false while orders of the previous holder may still be in
    /// flight; no order is given then.
    pub fn next_steps(&mut self, state: &FleetState, may_order: bool, now: Instant) -> Vec<RolloutStep> {
        self.progress.retain(|engine, _| state.listing.engines.contains_key(engine));
        self.note_wanted(state, now);
        self.due = None;
        let mut steps = Vec::new();
        let mut slots = self.slots(state);
        for (engine, listed) in &state.listing.engines {
            if listed.listed != Listed::Open {
                if may_order {
                    steps.extend(self.reject_waiting(state, engine, listed, now));
                }
                continue;
            }
            let Some(slots) = slots.get_mut(&listed.model) else { continue };
            slots.may_order = may_order;
            steps.extend(self.advance(state, engine, listed, slots, now));
        }
        steps
    }

    /// The earliest instant at which a step becomes due that awaits neither an answer nor its turn.
    pub fn next_due(&self) -> Option<Instant> {
        self.due
    }

    fn note_due(&mut self, due: Instant) {
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
    }

    fn advance(
        &mut self,
        state: &FleetState,
        engine: &EngineName,
        listed: &ListedEngine,
        slots: &mut Slots,
        now: Instant,
    ) -> Option<RolloutStep> {
        let status = state.engine_statuses.get(engine).cloned().unwrap_or_default();
        let Some(load) = self.next_load(state, engine, listed, &status) else {
            if !status.closed {
                self.progress.remove(engine);
                return None;
            }
            let opened = self.opened(engine, listed, &status);
            return Some(RolloutStep::SetEngineStatus { engine: engine.clone(), status: opened });
        };
        let held = self.held(engine, listed, &status, &load.model);
        let expedite_from = self.expedite_from(&load.model, held);
        let is_expedited = expedite_from.is_some_and(|from| now >= from);
        if !status.closed {
            if let Some(from) = expedite_from.filter(|_| !is_expedited) {
                self.note_due(from);
            }
            if !slots.may_order {
                // It would be idle until the previous holder's orders have expired.
                return None;
            }
            let has_slot = take_slot(&mut slots.closed).is_some();
            if !has_slot && !is_expedited {
                return None;
            }
            let closed = EngineStatus { closed: true, ..status };
            return Some(RolloutStep::SetEngineStatus { engine: engine.clone(), status: closed });
        }
        let fresh_progress = Progress { not_before: now + CLOSE_PAUSE, ..Progress::default() };
        let progress = self.progress.entry(engine.clone()).or_insert(fresh_progress);
        if now < progress.not_before {
            let next = progress.not_before;
            self.note_due(next);
            return None;
        }
        let address = listed.address.clone();
        if let Some(ordered) = &progress.ordered {
            let model = ordered.model.clone();
            progress.not_before = now + QUERY_INTERVAL;
            self.note_due(now + QUERY_INTERVAL);
            return Some(RolloutStep::QueryWeights { engine: engine.clone(), address, model });
        }
        if !slots.may_order {
            return None;
        }
        let is_unresponsive = progress.faults > MAX_FAULTS;
        let has_slot = is_unresponsive || take_slot(&mut slots.loading).is_some();
        if !has_slot && !is_expedited {
            if let Some(from) = expedite_from {
                self.note_due(from);
            }
            return None;
        }
        progress.not_before = now + FIRST_QUERY_PAUSE;
        progress.ordered = Some(load.clone());
        self.note_due(now + FIRST_QUERY_PAUSE);
        let counts_in_flight = expedite_from.is_some_and(|from| now >= from + IN_FLIGHT_PATIENCE);
        let (engine, Load { model, weights }) = (engine.clone(), load);
        Some(match has_slot {
            true => RolloutStep::Order { engine, address, model, weights },
            false => RolloutStep::OrderIfWaiting { engine, address, model, weights, counts_in_flight },
        })
    }

    /// An order for a leaving engine, so that no request waiting there starts on weights that are too old. Routers
    /// send it no requests, so it is not closed; the new weights will not be used, so it is not queried.
    fn reject_waiting(
        &mut self,
        state: &FleetState,
        engine: &EngineName,
        listed: &ListedEngine,
        now: Instant,
    ) -> Option<RolloutStep> {
        let status = state.engine_statuses.get(engine).cloned().unwrap_or_default();
        let load = self.next_load(state, engine, listed, &status)?;
        let held = self.held(engine, listed, &status, &load.model);
        let from = self.expedite_from(&load.model, held)?;
        let progress = self.progress.entry(engine.clone()).or_default();
        if progress.ordered.as_ref() == Some(&load) {
            return None;
        }
        let due = from.max(progress.not_before);
        if now < due {
            self.note_due(due);
            return None;
        }
        progress.not_before = now + FIRST_QUERY_PAUSE;
        progress.ordered = Some(load.clone());
        self.note_due(now + FIRST_QUERY_PAUSE);
        let address = listed.address.clone();
        Some(RolloutStep::OrderIfWaiting {
            engine: engine.clone(),
            address,
            model: load.model,
            weights: load.weights,
            counts_in_flight: now >= from + IN_FLIGHT_PATIENCE,
        })
    }

    /// The first of an engine's models whose wanted weights it is not known to hold, with those weights.
    fn next_load(
        &self,
        state: &FleetState,
        engine: &EngineName,
        listed: &ListedEngine,
        status: &EngineStatus,
    ) -> Option<Load> {
        listed.models().find_map(|model| {
            let wanted = state.desired.models.get(model)?.weights;
            let is_behind = self.held(engine, listed, status, model) < wanted;
            is_behind.then(|| Load { model: model.clone(), weights: wanted })
        })
    }

    /// The newest weights of a model that the engine holds according to the listing, an earlier confirmation or its
    /// reports since.
    fn held(
        &self,
        engine: &EngineName,
        listed: &ListedEngine,
        status: &EngineStatus,
        model: &ModelName,
    ) -> WeightsEdition {
        let reported = self.progress.get(engine).and_then(|progress| progress.reported.get(model)).copied();
        status.held_weights(listed, model).max(reported).unwrap_or_default()
    }

    /// The status of an engine that holds the wanted weights of all its models.
    fn opened(&self, engine: &EngineName, listed: &ListedEngine, status: &EngineStatus) -> EngineStatus {
        let held = |model| self.held(engine, listed, status, model);
        let further = listed.further_models.keys().map(|model| (model.clone(), held(model)));
        EngineStatus {
            confirmed: Some((held(&listed.model), engine.0.clone())),
            closed: false,
            further_confirmed: further.collect(),
        }
    }

    /// Records an engine's answer to an order.
    pub fn record_answer(&mut self, engine: &EngineName, answer: OrderAnswer, now: Instant) {
        let Some(progress) = self.progress.get_mut(engine) else { return };
        let (pause, stays_ordered) = match answer {
            OrderAnswer::Accepted => (FIRST_QUERY_PAUSE, true),
            OrderAnswer::AlreadyHeld => {
                if let Some(load) = progress.ordered.clone() {
                    progress.note_reported(&load.model, load.weights);
                }
                (QUERY_INTERVAL, false)
            }
            OrderAnswer::Busy => (BUSY_PAUSE, true),
            OrderAnswer::Superseded | OrderAnswer::Refused => (REFUSED_PAUSE, false),
            OrderAnswer::NotNeeded => (NOT_NEEDED_PAUSE, false),
            OrderAnswer::NoAnswer => (FAULT_PAUSE, true),
        };
        progress.faults = if answer == OrderAnswer::NoAnswer { progress.faults + 1 } else { 0 };
        progress.not_before = now + pause;
        if !stays_ordered {
            progress.ordered = None;
        }
    }

    /// Records an engine's reply to a query: the model's weights, and whether it is loading. `None` if it did not
    /// answer.
    pub fn record_report(&mut self, engine: &EngineName, report: Option<(WeightsEdition, bool)>, now: Instant) {
        let Some(progress) = self.progress.get_mut(engine) else { return };
        match report {
            Some((weights, is_loading)) => {
                progress.faults = 0;
                if let Some(load) = progress.ordered.clone() {
                    progress.note_reported(&load.model, weights);
                    let is_done = weights >= load.weights;
                    progress.ordered = Some(load).filter(|_| is_loading && !is_done);
                }
                progress.not_before = now + if is_loading { QUERY_INTERVAL } else { Span(0) };
            }
            None => {
                progress.faults += 1;
                progress.not_before = now + FAULT_PAUSE;
            }
        }
    }

    /// The free slots of each model's engines.
    fn slots(&self, state: &FleetState) -> BTreeMap<ModelName, Slots> {
        let mut counts: BTreeMap<ModelName, (usize, usize, usize)> = BTreeMap::new();
        for (engine, listed) in &state.listing.engines {
            if listed.listed != Listed::Open {
                continue;
            }
            let (all, closed, loading) = counts.entry(listed.model.clone()).or_default();
            let progress = self.progress.get(engine);
            let is_unresponsive = progress.is_some_and(|progress| progress.faults > MAX_FAULTS);
            *all += 1;
            if !is_unresponsive {
                *closed += usize::from(state.engine_statuses.get(engine).is_some_and(|status| status.closed));
                *loading += usize::from(progress.is_some_and(|progress| progress.ordered.is_some()));
            }
        }
        let slots = counts.into_iter().map(|(model, (all, closed, loading))| {
            let at_once = (all / ENGINES_PER_LOAD).max(1);
            let ahead = if all > 2 * at_once { CLOSED_AHEAD } else { 0 };
            let closed = (at_once + ahead).saturating_sub(closed);
            (model, Slots { closed, loading: at_once.saturating_sub(loading), may_order: true })
        });
        slots.collect()
    }
}

/// How many more engines of a model may be closed, and how many more ordered to load.
struct Slots {
    closed: usize,
    loading: usize,
    may_order: bool,
}

/// Takes one of the remaining slots, if there is any.
fn take_slot(remaining: &mut usize) -> Option<()> {
    *remaining = remaining.checked_sub(1)?;
    Some(())
}
