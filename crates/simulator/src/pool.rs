//! Engines and the store in virtual time: what they keep, what they work on, and how they misbehave.

use crate::prelude::*;

const KEPT_BLOCKS: usize = 160;
const KEPT_NEWS: usize = 256;

/// Who made a kept block, and on which weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Made {
    pub weights: WeightsEdition,
    pub tenant: TenantName,
    /// The adapter it was made under; none for the bare model.
    pub adapter: Option<AdapterId>,
}

/// Kept blocks and the numbered news of them.
#[derive(Default)]
pub struct SimMemory {
    pub boot: u64,
    kept: BTreeMap<BlockHash, Made>,
    order: VecDeque<BlockHash>,
    news: VecDeque<KeptEvent>,
    first_number: u64,
}

impl SimMemory {
    pub fn overlap(&self, names: &[BlockHash]) -> usize {
        names.iter().take_while(|name| self.kept.contains_key(name)).count()
    }

    pub fn made(&self, name: &BlockHash) -> Option<&Made> {
        self.kept.get(name)
    }

    pub fn keep(&mut self, blocks: Vec<(BlockHash, Made)>) {
        let mut stored = Vec::new();
        for (name, made) in blocks {
            if self.kept.insert(name, made).is_none() {
                self.order.push_back(name);
                stored.push(name);
            }
        }
        let mut removed = Vec::new();
        while self.kept.len() > KEPT_BLOCKS {
            let Some(oldest) = self.order.pop_front() else { break };
            self.kept.remove(&oldest);
            removed.push(oldest);
        }
        for event in [KeptEvent::Stored(stored), KeptEvent::Removed(removed)] {
            if !matches!(&event, KeptEvent::Stored(names) | KeptEvent::Removed(names) if names.is_empty()) {
                self.tell(event);
            }
        }
    }

    pub fn clear(&mut self) {
        self.kept.clear();
        self.order.clear();
        self.tell(KeptEvent::AllCleared);
    }

    fn tell(&mut self, event: KeptEvent) {
        self.news.push_back(event);
        if self.news.len() > KEPT_NEWS {
            self.news.pop_front();
            self.first_number += 1;
        }
    }

    /// A new life: nothing is kept, and news are numbered from one on.
    pub fn restart(&mut self) {
        *self = SimMemory { boot: self.boot + 1, first_number: 1, ..SimMemory::default() };
    }

    pub fn next_number(&self) -> u64 {
        self.first_number + self.news.len() as u64
    }

    pub fn news_from(&self, number: u64) -> (u64, Vec<KeptEvent>) {
        let first = number.clamp(self.first_number, self.next_number());
        (first, self.news.iter().skip((first - self.first_number) as usize).cloned().collect())
    }

    pub fn names(&self) -> Vec<BlockHash> {
        self.kept.keys().copied().collect()
    }
}

/// How an engine misbehaves for a while; each shot begun then is served so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Good,
    /// The stream breaks after so many pieces.
    Breaks(u64),
    /// The stream ends cleanly after so many pieces, without its end mark.
    EndsEarly(u64),
    /// The whole answer is another shot's.
    Foreign,
    /// A piece of another shot comes in between.
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
    pub memory: SimMemory,
    pub shots: BTreeMap<String, EngineShot>,
    pub manner: Manner,
    pub manner_until: Instant,
    /// Polls for events answer nothing new until then.
    pub hides_until: Instant,
    /// It keeps its blocks over the next load of weights, as it must not.
    pub keeps_on_load: bool,
    pub resident: BTreeSet<AdapterId>,
    pub loading: BTreeSet<AdapterId>,
}

#[derive(Clone, Debug)]
pub struct EngineShot {
    pub to: ShotPlaceName,
    pub tokens: u64,
    place: u64,
    streams: bool,
    adapter: Option<AdapterId>,
    begins_at: Instant,
    limit: Instant,
    manner: Manner,
    /// News to the router come in order.
    told_until: Instant,
    headed: bool,
}

impl EngineShot {
    /// The adapter it runs on; none for the bare model.
    pub fn runs_on(&self) -> Option<&AdapterId> {
        self.adapter.as_ref()
    }
}

/// Where a shot's news go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShotPlaceName {
    pub node: usize,
    pub router: NodeId,
    pub run: u64,
    pub shot: String,
}

/// A question on its way to an engine.
#[derive(Clone, Debug)]
pub struct EngineAsk {
    pub to: ShotPlaceName,
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
    fn tell_run(&mut self, to: &ShotPlaceName, at: Instant, input: CarriageInput<SimPiece>) {
        self.at(at, Happening::RunInput { to: to.clone(), input });
    }

    pub fn engine_gets(&mut self, number: usize, ask: EngineAsk) {
        let now = self.now;
        let answer_at = now + self.net.delay(&mut self.draw);
        let head = |head, told: &str| CarriageInput::Head { head, told: told.into() };
        let engine = &self.engines[number];
        if !engine.up {
            let input = CarriageInput::SendFault { byte_left: true, reason: "reset".into() };
            return self.tell_run(&ask.to, answer_at, input);
        }
        if !engine.accepting {
            return self.tell_run(&ask.to, answer_at, head(Head::NotStarted, "not_accepting"));
        }
        if engine.weights != ask.weights {
            return self.tell_run(&ask.to, answer_at, head(Head::NotStarted, "other_weights"));
        }
        if !engine.holds(ask.adapter.as_ref()) {
            return self.tell_run(&ask.to, answer_at, head(Head::NotStarted, NOT_RESIDENT));
        }
        let (at, manner) = (self.millis(), if engine.manner_until > now { engine.manner } else { Manner::Good });
        let own_count = engine.memory.overlap(&ask.names);
        let line = start_line(at, engine, &ask, own_count);
        self.record.engines.push(EngineLine::Start(line));
        self.use_memory(number, &ask, own_count);
        let lacking = (ask.names.len() - own_count) as u64;
        let slow_span = if manner == Manner::Late { self.draw.between(2_000, 9_000) } else { 0 };
        let begins_at = now + Span::millis(self.draw.between(1, 20) + lacking * 4 + slow_span);
        let shot = EngineShot {
            to: ask.to.clone(),
            tokens: ask.tokens,
            place: 0,
            begins_at,
            streams: ask.streams,
            adapter: ask.adapter.clone(),
            limit: now + ask.limit,
            manner,
            told_until: begins_at,
            headed: false,
        };
        let looks_at = begins_at.min(shot.limit);
        let engine = &mut self.engines[number];
        let boot = engine.memory.boot;
        engine.shots.insert(ask.to.shot.clone(), shot);
        self.at(looks_at, Happening::EngineWorks { engine: number, boot, shot: ask.to.shot });
    }

    /// In a split pool: prefills and keeps a prompt that another engine is to decode.
    pub fn engine_prefills(&mut self, number: usize, ask: EngineAsk) {
        let delay = self.net.delay(&mut self.draw);
        let at = self.millis();
        let engine = &self.engines[number];
        let told = Happening::Prefilled { to: ask.to.clone() };
        if !engine.up || !engine.accepting || engine.weights != ask.weights || !engine.holds(ask.adapter.as_ref()) {
            return self.later(delay, told);
        }
        let own_count = engine.memory.overlap(&ask.names);
        let line = start_line(at, engine, &ask, own_count);
        self.record.engines.push(EngineLine::Prefill(line));
        self.use_memory(number, &ask, own_count);
        let lacking = (ask.names.len() - own_count) as u64;
        let span = Span::millis(self.draw.between(1, 20) + lacking * 4);
        self.later(span + delay, told);
    }

    /// The blocks a shot is served from, its own and the fetched, are judged; then all are kept.
    fn use_memory(&mut self, number: usize, ask: &EngineAsk, own_count: usize) {
        let mut used: Vec<(BlockHash, Made)> = Vec::new();
        let engine = &self.engines[number];
        used.extend(
            ask.names[..own_count].iter().filter_map(|name| Some((*name, engine.memory.made(name)?.clone()))),
        );
        for run in &ask.fetches {
            let source = match &run.from {
                FetchFrom::Store => Some(&self.store),
                FetchFrom::Peer(peer) => {
                    self.engines.iter().find(|known| known.name == *peer && known.up).map(|known| &known.memory)
                }
            };
            let Some(source) = source else { break };
            let wanted = &ask.names[used.len()..];
            if !wanted.starts_with(&run.names) {
                break;
            }
            if let FetchFrom::Peer(peer) = &run.from {
                let (at, engine) = (self.now.0 / 1_000_000, peer.0.clone());
                self.record.engines.push(EngineLine::Asked { at, engine });
            }
            let fetched: Vec<(BlockHash, Made)> =
                run.names.iter().map_while(|name| Some((*name, source.made(name)?.clone()))).collect();
            let is_short = fetched.len() < run.names.len();
            used.extend(fetched);
            if is_short {
                break;
            }
        }
        let at = self.millis();
        let weights = engine.weights;
        for (_, made) in &used {
            if made.weights != weights || made.tenant != ask.tenant {
                self.record.world.push(WorldLine::MemoryUsed {
                    at,
                    shot: ask.to.shot.clone(),
                    weights: weights.0,
                    made_on: made.weights.0,
                    tenant: ask.tenant.0.clone(),
                    made_for: made.tenant.0.clone(),
                });
            }
            if made.adapter != ask.adapter {
                self.record.world.push(WorldLine::AdapterMemoryUsed {
                    at,
                    shot: ask.to.shot.clone(),
                    adapter: written(ask.adapter.as_ref()),
                    made_under: written(made.adapter.as_ref()),
                });
            }
        }
        let made = || Made { weights, tenant: ask.tenant.clone(), adapter: ask.adapter.clone() };
        let fresh = ask.names[used.len()..].iter().map(|name| (*name, made()));
        let kept: Vec<(BlockHash, Made)> = used.iter().cloned().chain(fresh).collect();
        self.store.keep(kept.clone());
        self.engines[number].memory.keep(kept);
    }

    /// One step of an engine's work on a shot.
    pub fn engine_works(&mut self, number: usize, boot: u64, shot_name: String) {
        let now = self.now;
        let delay = self.net.delay(&mut self.draw);
        let pause = Span::millis(self.draw.between(20, 90));
        let engine = &mut self.engines[number];
        if engine.memory.boot != boot || !engine.up {
            return;
        }
        let Some(mut shot) = engine.shots.remove(&shot_name) else { return };
        if now >= shot.limit {
            let told = String::from("limit_passed");
            let input = match shot.headed {
                true => CarriageInput::Broken(told),
                false => CarriageInput::Head { head: Head::OutOfTime, told },
            };
            let told_at = shot.told_until.max(now + delay);
            self.tell_run(&shot.to, told_at, input);
            return self.end_engine_shot(number, &shot, false);
        }
        if matches!(shot.manner, Manner::Silent) || now < shot.begins_at {
            let begins_at = if now < shot.begins_at { shot.begins_at } else { shot.limit };
            let looks_at = begins_at.min(shot.limit);
            engine.shots.insert(shot_name.clone(), shot);
            return self.at(looks_at, Happening::EngineWorks { engine: number, boot, shot: shot_name });
        }
        let told_at = shot.told_until.max(now + delay);
        shot.told_until = told_at;
        let to = shot.to.clone();
        if shot.manner == Manner::Refuses {
            let told = "engine answered 500".into();
            self.tell_run(&to, told_at, CarriageInput::Head { head: Head::Refused, told });
            return self.end_engine_shot(number, &shot, false);
        }
        if !shot.headed && (shot.streams || shot.place == shot.tokens) {
            shot.headed = true;
            let input = CarriageInput::Head { head: Head::Good, told: String::new() };
            self.tell_run(&to, told_at, input);
        }
        let adapter = shot.adapter.clone();
        let piece = |place, shot: &str| SimPiece { shot: shot.into(), place, adapter: adapter.clone() };
        let half = shot.tokens / 2;
        let cut = match shot.manner {
            Manner::Breaks(after) => (shot.place >= after).then(|| CarriageInput::Broken("reset".into())),
            Manner::EndsEarly(after) => (shot.place >= after).then_some(CarriageInput::Closed),
            Manner::Partial if shot.streams => (shot.place >= half).then_some(CarriageInput::Closed),
            _ => None,
        };
        if let Some(input) = cut {
            self.tell_run(&to, told_at, input);
            return self.end_engine_shot(number, &shot, false);
        }
        if shot.place == shot.tokens {
            if shot.streams {
                self.tell_run(&to, told_at, CarriageInput::EndMark);
                if shot.manner == Manner::GoesOn {
                    let piece = piece(shot.place, &shot_name);
                    let input = CarriageInput::Piece { shot: shot_name.clone(), finished: true, piece };
                    self.tell_run(&to, told_at, input);
                }
                self.tell_run(&to, told_at, CarriageInput::Closed);
            } else {
                let finished = shot.manner != Manner::Partial;
                let foreign = matches!(shot.manner, Manner::Foreign | Manner::ForeignPiece(_));
                let named = if foreign { "other.1.1" } else { &shot_name };
                let piece = piece(if finished { shot.tokens } else { half }, named);
                let input = CarriageInput::Piece { shot: named.into(), finished, piece };
                self.tell_run(&to, told_at, input);
            }
            let is_whole = shot.manner != Manner::Partial;
            return self.end_engine_shot(number, &shot, is_whole);
        }
        if shot.streams {
            let foreign = matches!(shot.manner, Manner::Foreign) || shot.manner == Manner::ForeignPiece(shot.place);
            let named = if foreign { "other.1.1".to_owned() } else { shot_name.clone() };
            let input =
                CarriageInput::Piece { shot: named.clone(), finished: false, piece: piece(shot.place, &named) };
            self.tell_run(&to, told_at, input);
        }
        shot.place += 1;
        self.engines[number].shots.insert(shot_name.clone(), shot);
        self.later(pause, Happening::EngineWorks { engine: number, boot, shot: shot_name });
    }

    fn end_engine_shot(&mut self, number: usize, shot: &EngineShot, whole: bool) {
        let at = self.millis();
        let (engine, shot_name) = (self.engines[number].name.0.clone(), shot.to.shot.clone());
        self.record.engines.push(EngineLine::End { at, engine, shot: shot_name, pieces: shot.place, whole });
    }

    pub fn engine_allows(&mut self, number: usize, shot_name: &str, span: Span) {
        let until = self.now + span;
        if let Some(shot) = self.engines[number].shots.get_mut(shot_name) {
            shot.limit = shot.limit.max(until);
        }
    }

    /// The router's end of a shot's stream is closed.
    pub fn engine_loses_caller(&mut self, number: usize, shot_name: &str) {
        if let Some(shot) = self.engines[number].shots.remove(shot_name) {
            self.end_engine_shot(number, &shot, false);
        }
    }

    /// The engine ends; streams break at once, or with its machine stay silent.
    pub fn crash_engine(&mut self, number: usize, with_machine: bool) {
        let engine = &mut self.engines[number];
        if !engine.up {
            return;
        }
        engine.up = false;
        let shots = std::mem::take(&mut engine.shots);
        for shot in shots.into_values().filter(|_| !with_machine) {
            let at = shot.told_until.max(self.now + Span::millis(2));
            self.tell_run(&shot.to, at, CarriageInput::Broken("reset".into()));
        }
    }

    pub fn start_engine(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if !engine.up {
            engine.up = true;
            engine.accepting = true;
            engine.highest_term = 0;
            engine.memory.restart();
            engine.resident.clear();
            engine.loading.clear();
        }
    }

    /// An order that has reached an engine.
    pub fn engine_ordered(&mut self, number: usize, order: SimOrder) {
        let at = self.millis();
        let engine = &mut self.engines[number];
        if !engine.up {
            return;
        }
        engine.highest_term = engine.highest_term.max(order.term.0);
        let taken = order.term.0 >= engine.highest_term;
        let named = order.wish.name();
        self.record.engines.push(EngineLine::Order {
            at,
            engine: engine.name.0.clone(),
            holder: order.holder,
            term: order.term.0,
            taken,
            order: named.into(),
        });
        self.note(format!("e{number} ordered by {} term {}: {named}", self.record_holder(), order.term));
        let engine = &mut self.engines[number];
        match order.wish {
            _ if !taken => {}
            SimWish::LoadAdapter(adapter) => self.begin_adapter_load(number, adapter),
            SimWish::UnloadAdapter(adapter) => engine.unload(&adapter),
            SimWish::LoadWeights(weights) => {
                engine.accepting = false;
                let boot = engine.memory.boot;
                let span = Span::millis(self.draw.between(100, 600));
                self.later(span, Happening::EngineLoads { engine: number, boot, weights });
            }
            SimWish::Open => engine.accepting = true,
        }
    }

    /// Who gave the latest order.
    fn record_holder(&self) -> &str {
        match self.record.engines.last() {
            Some(EngineLine::Order { holder, .. }) => holder,
            _ => "",
        }
    }

    pub fn engine_loads(&mut self, number: usize, boot: u64, weights: WeightsEdition) {
        let engine = &mut self.engines[number];
        if engine.memory.boot != boot || !engine.up || !engine.shots.is_empty() {
            return;
        }
        engine.weights = weights;
        engine.accepting = true;
        engine.resident.clear();
        engine.loading.clear();
        if !std::mem::take(&mut engine.keeps_on_load) {
            engine.memory.clear();
        }
    }

    /// A router's followers ask every source for its news, and now and then for its count.
    pub fn poll_sources(&mut self, node: usize, life: u64) {
        let now = self.now;
        let polled_node = &mut self.nodes[node];
        if polled_node.life != life {
            return;
        }
        if polled_node.frozen_until <= now
            && let Some(router) = polled_node.router.as_mut()
        {
            let local_now = polled_node.clock.read(now);
            for engine in self.engines.iter().filter(|engine| engine.up && engine.listed.is_some()) {
                let hides = engine.hides_until > now;
                follow(&mut router.picker, &engine.name, &engine.memory, hides, local_now);
                router.picker.take_count(&engine.name, engine.shots.len() as u64, local_now);
            }
            if self.store_up {
                follow(&mut router.picker, &EngineName::from(STORE_SOURCE), &self.store, false, local_now);
            }
        }
        let pause = Span::millis(self.draw.between(300, 600));
        self.later(pause, Happening::Polls { node, life });
    }
}

fn start_line(at: u64, engine: &SimEngine, ask: &EngineAsk, own_count: usize) -> StartLine {
    StartLine {
        at,
        engine: engine.name.0.clone(),
        shot: ask.to.shot.clone(),
        salt: ask.salt.0.clone(),
        weights: engine.weights.0,
        adapter: written(ask.adapter.as_ref()),
        prompt_blocks: ask.names.len() as u64,
        cached_blocks: own_count as u64,
    }
}

fn follow(picker: &mut Picker, source: &EngineName, memory: &SimMemory, hides: bool, local_now: Instant) {
    let boot = memory.boot.to_string();
    match picker.place_of(source) {
        None => picker.take_snapshot(source, &boot, memory.next_number(), memory.names(), local_now),
        Some(place) => {
            let (first, events) = memory.news_from(place.next_number);
            let events = if hides { Vec::new() } else { events };
            let first = if hides { place.next_number } else { first };
            picker.take_events(source, &boot, first, &events, local_now);
        }
    }
}
