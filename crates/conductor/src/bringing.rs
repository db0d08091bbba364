//! Bringing engines to new weights where the platform's listing shows what each one holds, and an engine
//! loads by itself once what runs on it has ended. An engine is closed first, in force on every router; then
//! ordered to load; then looked at until it tells the new weights; then opened. A few load at a time, the
//! next as soon as one is done. An engine that holds several models loads them one after the other.
//!
//! Once routers have given up the old weights, an engine left at which requests still wait is ordered out of
//! turn: the order turns away what waits, which would otherwise begin on weights that are too old.

use crate::prelude::*;

/// One engine in so many may load at a time.
const SHARE_AT_ONCE: usize = 5;
/// So many more are closed, so that what runs on them has ended when their turn comes.
const CLOSED_AHEAD: usize = 1;
/// From the closing to the order: routers hear of it meanwhile.
const CLOSE_PAUSE: Span = Span::millis(150);
/// From an order to the first look, and between looks.
const FIRST_LOOK: Span = Span::millis(1200);
const LOOK_EVERY: Span = Span::millis(200);
const BUSY_PAUSE: Span = Span::millis(300);
const REFUSED_PAUSE: Span = Span::millis(1500);
const FAULT_PAUSE: Span = Span::millis(700);
/// Of so many editions of a model it is known since when they are wanted.
const EDITIONS_KEPT: usize = 16;
/// Between two looks at what waits at an engine whose turn has not come.
const WAITING_PAUSE: Span = Span::millis(300);
/// An engine that answered nothing so often holds up no other.
const FAULTS_BORNE: u32 = 2;

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being done.
    Taken,
    /// It held already.
    Holds,
    /// Another order is under way, or this one taken before.
    Busy,
    /// Another holder has given orders since.
    Overtaken,
    /// There is no such order, or not yet.
    Refused,
    /// It was not given: nothing waits at the engine.
    Unneeded,
    /// Nothing came back; it may have been taken.
    Nothing,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bringing {
    Stand {
        engine: EngineName,
        standing: EngineStatus,
    },
    Order {
        engine: EngineName,
        address: String,
        model: ModelName,
        weights: WeightsEdition,
    },
    /// An order out of turn, to be given only if requests wait at the engine.
    OrderIfWaiting {
        engine: EngineName,
        address: String,
        model: ModelName,
        weights: WeightsEdition,
    },
    Look {
        engine: EngineName,
        address: String,
        model: ModelName,
    },
}

/// Weights of a model that an engine is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Load {
    model: ModelName,
    weights: WeightsEdition,
}

/// What is known of an engine on its way to new weights.
#[derive(Clone, Debug, Default)]
struct Way {
    /// An order that was or may have been taken, and is not known to be done.
    ordered: Option<Load>,
    /// Nothing is done about it before this.
    next: Instant,
    faults: u32,
    /// The newest weights it told of each model.
    told: BTreeMap<ModelName, WeightsEdition>,
}

impl Way {
    fn note_told(&mut self, model: &ModelName, weights: WeightsEdition) {
        let told = self.told.entry(model.clone()).or_default();
        *told = weights.max(*told);
    }
}

#[derive(Clone, Debug, Default)]
pub struct Bringer {
    ways: BTreeMap<EngineName, Way>,
    due: Option<Instant>,
    /// How long after new weights were first seen orders are given out of turn; never if there is no span.
    hurry_after: Option<Span>,
    /// Since when each of the latest editions of a model's weights is wanted.
    wanted_since: BTreeMap<ModelName, BTreeMap<WeightsEdition, Instant>>,
    /// When the core was last disturbed: routers count the time of old weights anew from then.
    disturbed: Instant,
}

impl Bringer {
    /// A bringer that gives orders out of turn once new weights have been wanted for so long.
    pub fn hurrying_after(span: Span) -> Bringer {
        Bringer { hurry_after: Some(span), ..Bringer::default() }
    }

    /// Drops what was known of engines under an earlier term.
    pub fn forget(&mut self) {
        self.ways.clear();
    }

    /// The core was disturbed at that instant. Orders out of turn wait as routers do that give up old weights.
    pub fn note_disturbed(&mut self, at: Instant) {
        self.disturbed = self.disturbed.max(at);
    }

    /// Keeps since when the present weights of each model are wanted. Told by holders and others alike, so
    /// that a new holder knows.
    pub fn note_wanted(&mut self, state: &FleetState, now: Instant) {
        self.wanted_since.retain(|model, _| state.desired.models.contains_key(model));
        for (model, wish) in &state.desired.models {
            let editions = self.wanted_since.entry(model.clone()).or_default();
            editions.entry(wish.weights).or_insert(now);
            while editions.len() > EDITIONS_KEPT {
                editions.pop_first();
            }
        }
    }

    /// From when on an engine that holds these weights is ordered out of turn: the first edition above them
    /// counts, whatever was named since.
    fn hurry_from(&self, model: &ModelName, held: WeightsEdition) -> Option<Instant> {
        let editions = self.wanted_since.get(model)?;
        let (_, since) = editions.iter().find(|(edition, _)| **edition > held)?;
        Some((*since).max(self.disturbed) + self.hurry_after?)
    }

    /// What to do now. Whatever is answered is told by `hear_order` and `hear_report`; a standing shows in
    /// the state. While the holder before may still have orders on their way, none is given.
    pub fn direct(&mut self, state: &FleetState, may_order: bool, now: Instant) -> Vec<Bringing> {
        self.ways.retain(|engine, _| state.listing.engines.contains_key(engine));
        self.note_wanted(state, now);
        self.due = None;
        let mut steps = Vec::new();
        let mut rooms = self.rooms(state);
        for (engine, listed) in &state.listing.engines {
            if listed.listed != Listed::Open {
                if may_order {
                    steps.extend(self.turn_away(state, engine, listed, now));
                }
                continue;
            }
            let Some(room) = rooms.get_mut(&listed.model) else { continue };
            room.may_order = may_order;
            steps.extend(self.tend(state, engine, listed, room, now));
        }
        steps
    }

    /// The earliest instant at which anything is due that awaits neither an answer nor its turn.
    pub fn next_due(&self) -> Option<Instant> {
        self.due
    }

    fn note_due(&mut self, due: Instant) {
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
    }

    fn tend(
        &mut self,
        state: &FleetState,
        engine: &EngineName,
        listed: &ListedEngine,
        room: &mut Room,
        now: Instant,
    ) -> Option<Bringing> {
        let standing = state.engine_statuses.get(engine).cloned().unwrap_or_default();
        let Some(load) = self.next_load(state, engine, listed, &standing) else {
            if !standing.closed {
                self.ways.remove(engine);
                return None;
            }
            let opened = self.opened(engine, listed, &standing);
            return Some(Bringing::Stand { engine: engine.clone(), standing: opened });
        };
        let held = self.held(engine, listed, &standing, &load.model);
        let hurry_from = self.hurry_from(&load.model, held);
        let is_hurried = hurry_from.is_some_and(|from| now >= from);
        if !standing.closed {
            if let Some(from) = hurry_from.filter(|_| !is_hurried) {
                self.note_due(from);
            }
            if !room.may_order {
                // It would serve nobody while the time of the holder before runs out.
                return None;
            }
            let has_place = take_place(&mut room.closed).is_some();
            if !has_place && !is_hurried {
                return None;
            }
            let closed = EngineStatus { closed: true, ..standing };
            return Some(Bringing::Stand { engine: engine.clone(), standing: closed });
        }
        let fresh_way = Way { next: now + CLOSE_PAUSE, ..Way::default() };
        let way = self.ways.entry(engine.clone()).or_insert(fresh_way);
        if now < way.next {
            let next = way.next;
            self.note_due(next);
            return None;
        }
        let address = listed.address.clone();
        if let Some(ordered) = &way.ordered {
            let model = ordered.model.clone();
            way.next = now + LOOK_EVERY;
            self.note_due(now + LOOK_EVERY);
            return Some(Bringing::Look { engine: engine.clone(), address, model });
        }
        if !room.may_order {
            return None;
        }
        let bears_nothing = way.faults > FAULTS_BORNE;
        let has_place = bears_nothing || take_place(&mut room.loading).is_some();
        if !has_place && !is_hurried {
            if let Some(from) = hurry_from {
                self.note_due(from);
            }
            return None;
        }
        way.next = now + FIRST_LOOK;
        way.ordered = Some(load.clone());
        self.note_due(now + FIRST_LOOK);
        let (engine, Load { model, weights }) = (engine.clone(), load);
        Some(match has_place {
            true => Bringing::Order { engine, address, model, weights },
            false => Bringing::OrderIfWaiting { engine, address, model, weights },
        })
    }

    /// An order for an engine that leaves, so that nothing which waits there begins on weights that are too
    /// old. Routers send it nothing, so it is not closed; nobody awaits the new weights, so it is not looked at.
    fn turn_away(
        &mut self,
        state: &FleetState,
        engine: &EngineName,
        listed: &ListedEngine,
        now: Instant,
    ) -> Option<Bringing> {
        let standing = state.engine_statuses.get(engine).cloned().unwrap_or_default();
        let load = self.next_load(state, engine, listed, &standing)?;
        let held = self.held(engine, listed, &standing, &load.model);
        let from = self.hurry_from(&load.model, held)?;
        let way = self.ways.entry(engine.clone()).or_default();
        if way.ordered.as_ref() == Some(&load) {
            return None;
        }
        let due = from.max(way.next);
        if now < due {
            self.note_due(due);
            return None;
        }
        way.next = now + FIRST_LOOK;
        way.ordered = Some(load.clone());
        self.note_due(now + FIRST_LOOK);
        let address = listed.address.clone();
        Some(Bringing::OrderIfWaiting { engine: engine.clone(), address, model: load.model, weights: load.weights })
    }

    /// The first of an engine's models whose wanted weights it is not known to hold.
    fn next_load(
        &self,
        state: &FleetState,
        engine: &EngineName,
        listed: &ListedEngine,
        standing: &EngineStatus,
    ) -> Option<Load> {
        listed.models().find_map(|model| {
            let wanted = state.desired.models.get(model)?.weights;
            let is_behind = self.held(engine, listed, standing, model) < wanted;
            is_behind.then(|| Load { model: model.clone(), weights: wanted })
        })
    }

    /// The newest weights of a model that the engine holds by the list, by an earlier confirmation or by what
    /// it told since.
    fn held(
        &self,
        engine: &EngineName,
        listed: &ListedEngine,
        standing: &EngineStatus,
        model: &ModelName,
    ) -> WeightsEdition {
        let told = self.ways.get(engine).and_then(|way| way.told.get(model)).copied();
        standing.held_weights(listed, model).max(told).unwrap_or_default()
    }

    /// The standing of an engine that holds all that is wanted of it.
    fn opened(&self, engine: &EngineName, listed: &ListedEngine, standing: &EngineStatus) -> EngineStatus {
        let held = |model| self.held(engine, listed, standing, model);
        let further = listed.further_models.keys().map(|model| (model.clone(), held(model)));
        EngineStatus {
            confirmed: Some((held(&listed.model), engine.0.clone())),
            closed: false,
            further_confirmed: further.collect(),
        }
    }

    pub fn hear_order(&mut self, engine: &EngineName, answer: OrderAnswer, now: Instant) {
        let Some(way) = self.ways.get_mut(engine) else { return };
        let (pause, stays_ordered) = match answer {
            OrderAnswer::Taken => (FIRST_LOOK, true),
            OrderAnswer::Holds => {
                if let Some(load) = way.ordered.clone() {
                    way.note_told(&load.model, load.weights);
                }
                (LOOK_EVERY, false)
            }
            OrderAnswer::Busy => (BUSY_PAUSE, true),
            OrderAnswer::Overtaken | OrderAnswer::Refused => (REFUSED_PAUSE, false),
            OrderAnswer::Unneeded => (WAITING_PAUSE, false),
            OrderAnswer::Nothing => (FAULT_PAUSE, true),
        };
        way.faults = if answer == OrderAnswer::Nothing { way.faults + 1 } else { 0 };
        way.next = now + pause;
        if !stays_ordered {
            way.ordered = None;
        }
    }

    /// What an engine told of the model it was looked at for: its weights, and whether it loads. Nothing if
    /// it did not answer.
    pub fn hear_report(&mut self, engine: &EngineName, report: Option<(WeightsEdition, bool)>, now: Instant) {
        let Some(way) = self.ways.get_mut(engine) else { return };
        match report {
            Some((weights, is_loading)) => {
                way.faults = 0;
                if let Some(load) = way.ordered.clone() {
                    way.note_told(&load.model, weights);
                    let is_done = weights >= load.weights;
                    way.ordered = Some(load).filter(|_| is_loading && !is_done);
                }
                way.next = now + if is_loading { LOOK_EVERY } else { Span(0) };
            }
            None => {
                way.faults += 1;
                way.next = now + FAULT_PAUSE;
            }
        }
    }

    /// How many more engines of each model may be closed, and how many more ordered to load.
    fn rooms(&self, state: &FleetState) -> BTreeMap<ModelName, Room> {
        let mut counts: BTreeMap<ModelName, (usize, usize, usize)> = BTreeMap::new();
        for (engine, listed) in &state.listing.engines {
            if listed.listed != Listed::Open {
                continue;
            }
            let (all, closed, loading) = counts.entry(listed.model.clone()).or_default();
            let way = self.ways.get(engine);
            let bears_nothing = way.is_some_and(|way| way.faults > FAULTS_BORNE);
            *all += 1;
            if !bears_nothing {
                *closed += usize::from(state.engine_statuses.get(engine).is_some_and(|standing| standing.closed));
                *loading += usize::from(way.is_some_and(|way| way.ordered.is_some()));
            }
        }
        let rooms = counts.into_iter().map(|(model, (all, closed, loading))| {
            let at_once = (all / SHARE_AT_ONCE).max(1);
            let ahead = if all > 2 * at_once { CLOSED_AHEAD } else { 0 };
            let closed = (at_once + ahead).saturating_sub(closed);
            (model, Room { closed, loading: at_once.saturating_sub(loading), may_order: true })
        });
        rooms.collect()
    }
}

/// How many more engines of a kind may be closed, and ordered to load.
struct Room {
    closed: usize,
    loading: usize,
    may_order: bool,
}

/// Takes one of the places left, if there is any.
fn take_place(places: &mut usize) -> Option<()> {
    *places = places.checked_sub(1)?;
    Some(())
}
