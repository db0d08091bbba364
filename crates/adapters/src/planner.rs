//! The planner: from the fleet state, what engines told and where requests arrive, to what is done next.

use crate::prelude::*;

/// What a planner that has just begun waits for before it moves anything: engines to tell what they hold,
/// routers to tell their requests.
pub const SETTLE_SPAN: Span = Span::millis(3000);
/// From when a copy is to leave until its engine is ordered to unload it: routers hear of it meanwhile.
pub const LEAVE_PAUSE: Span = Span::millis(2500);
/// A load that has come to nothing for so long is given up at that engine.
pub const LOAD_LIMIT: Span = Span::seconds(30);
/// How long such an engine comes last.
pub const COOLING_SPAN: Span = Span::seconds(60);

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WarmingAct {
    /// Put a copy's stage into the fleet state, or take the copy out of it.
    Place {
        engine: EngineName,
        adapter: AdapterId,
        stage: Option<CopyStage>,
    },
    /// Let requests run on this revision from now on.
    UseRevision {
        adapter: AdapterId,
    },
    Load {
        engine: EngineName,
        address: String,
        adapter: AdapterId,
    },
    Unload {
        engine: EngineName,
        address: String,
        adapter: AdapterId,
    },
}

type CopyName = (EngineName, AdapterId);

/// The planner's own memory, which a new conductor begins without.
#[derive(Clone, Debug, Default)]
pub struct WarmingPlanner {
    pub demand: DemandBook,
    pub closings: ClosingGuard,
    began: Option<Instant>,
    /// Since when a copy has stood in its present stage here.
    stages: BTreeMap<CopyName, (CopyStage, Instant)>,
    /// Since when a copy is not wanted.
    unwanted: BTreeMap<CopyName, Instant>,
    /// Until when an engine comes last for an adapter.
    cooling: BTreeMap<CopyName, Instant>,
    /// Needs that found no place in the last round.
    unplaced: usize,
}

/// One round of planning.
struct Round<'a> {
    state: &'a FleetState,
    seen: &'a BTreeMap<EngineName, SeenEngine>,
    now: Instant,
    /// The engines that may serve now, of all pools.
    serving: BTreeSet<EngineName>,
    /// Loads that may still begin.
    room: usize,
    acts: Vec<WarmingAct>,
}

impl Round<'_> {
    fn place(&mut self, engine: &EngineName, adapter: &AdapterId, stage: Option<CopyStage>) {
        self.acts.push(WarmingAct::Place { engine: engine.clone(), adapter: adapter.clone(), stage });
    }

    /// What an engine told lately.
    fn told(&self, engine: &EngineName) -> Option<&SeenEngine> {
        self.seen.get(engine).filter(|told| self.now.since(told.at) < SILENT_AFTER)
    }

    fn address(&self, engine: &EngineName) -> String {
        self.state.listing.engines.get(engine).map(|listed| listed.address.clone()).unwrap_or_default()
    }

    /// Whether an adapter is warm at an engine that was heard lately.
    fn is_warm(&self, engine: &EngineName, adapter: &AdapterId) -> bool {
        self.state.adapters.is_warm(engine, adapter) && self.told(engine).is_some()
    }

    /// Whether no engine that may serve holds an adapter warm: its load goes before all others.
    fn is_urgent(&self, adapter: &AdapterId) -> bool {
        !self.state.adapters.warm_engines(adapter).any(|engine| self.serving.contains(engine))
    }
}

/// An adapter that an engine is to hold and does not.
struct Lacking<'a> {
    engine: &'a PoolEngine,
    adapter: &'a AdapterId,
    allotment: &'a Allotment,
}

/// What an engine is to hold and neither holds nor is being brought.
fn lacking_at<'a>(round: &Round<'_>, engine: &'a PoolEngine, allotment: &'a Allotment) -> Vec<Lacking<'a>> {
    let targets = allotment.targets.get(&engine.name).into_iter().flatten();
    let is_known = |adapter: &AdapterId| {
        let told = round.told(&engine.name);
        round.state.adapters.copy(&engine.name, adapter).is_some() || told.is_none_or(|told| told.holds(adapter))
    };
    let lacking = targets.filter(|adapter| !is_known(adapter));
    lacking.map(|adapter| Lacking { engine, adapter, allotment }).collect()
}

/// What places an engine has left in this round.
struct Space {
    free: usize,
    /// Places that become free by themselves.
    leaving: usize,
    /// A copy was told to leave in this round.
    is_displacing: bool,
}

impl Space {
    fn at(round: &Round<'_>, engine: &PoolEngine) -> Space {
        let copies = round.state.adapters.copies_at(&engine.name);
        let is_known = |adapter: &AdapterId| copies.iter().any(|copy| copy.adapter == *adapter);
        let resident = round.told(&engine.name).map(|told| told.resident.as_slice()).unwrap_or_default();
        let strays = resident.iter().filter(|adapter| !is_known(adapter)).count();
        let free = engine.places.saturating_sub(copies.len() + strays);
        let leaving = copies.iter().filter(|copy| copy.stage == CopyStage::Leaving).count() + strays;
        Space { free, leaving, is_displacing: false }
    }
}

impl WarmingPlanner {
    /// Drops what was known under an earlier term, but for when weights gave way.
    pub fn forget(&mut self) {
        let old_weights = std::mem::take(&mut self.closings.old_weights);
        *self = WarmingPlanner::default();
        self.closings.old_weights = old_weights;
    }

    /// Notes which weights have given way; for every keeper, also while another is the conductor.
    pub fn note_weights(&mut self, state: &FleetState, now: Instant) {
        self.closings.old_weights.follow(state, now);
    }

    /// Needs that no engine has a place for, as of the last round.
    pub fn unplaced(&self) -> usize {
        self.unplaced
    }

    /// What to do now. What comes of it shows in the state and in what engines tell.
    pub fn direct(
        &mut self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, SeenEngine>,
        now: Instant,
    ) -> Vec<WarmingAct> {
        let began = *self.began.get_or_insert(now);
        self.note_weights(state, now);
        self.demand.settle(state, now);
        self.note_stages(state, now);
        self.cooling.retain(|_, until| now < *until);
        let loading = self.stages.values().filter(|(stage, _)| *stage == CopyStage::Loading).count();
        let room = (state.desired.warming.loads_at_once as usize).saturating_sub(loading);
        if now.since(began) < SETTLE_SPAN {
            return Vec::new();
        }
        self.unplaced = 0;
        let pools = pools(state, seen, &self.closings.old_weights, now);
        let serving = pools.values().flatten().map(|engine| engine.name.clone()).collect();
        let mut round = Round { state, seen, now, serving, room, acts: Vec::new() };
        let mut allotments = BTreeMap::new();
        for (name, engines) in &pools {
            let needs = self.needs(state, name, engines, now);
            let allotment = Allotter { state, engines, cooling: &self.cooling }.allot(needs);
            self.unplaced += allotment.unplaced.len();
            allotments.insert(name.clone(), allotment);
        }
        let none = Allotment::default();
        for (engine, listed) in &state.listing.engines {
            let allotment = allotments.get(&(listed.model.clone(), listed.role)).unwrap_or(&none);
            self.tend_copies(&mut round, engine, &listed.model, allotment);
        }
        self.tend_targets(&mut round, &pools, &allotments);
        self.take_over(&mut round, &allotments);
        round.acts
    }

    /// Since when each copy stands as it does.
    fn note_stages(&mut self, state: &FleetState, now: Instant) {
        let mut stages = BTreeMap::new();
        for (engine, copies) in &state.adapters.copies {
            for AdapterCopy { adapter, stage } in copies {
                let naming = (engine.clone(), adapter.clone());
                let known = self.stages.get(&naming).filter(|(known, _)| known == stage);
                let since = known.map_or(now, |(_, since)| *since);
                stages.insert(naming, (stage.clone(), since));
            }
        }
        self.unwanted.retain(|naming, _| stages.contains_key(naming));
        self.stages = stages;
    }

    /// How many copies of each adapter of a pool's model are to be warm, and where.
    fn needs(&mut self, state: &FleetState, pool: &PoolName, engines: &[PoolEngine], now: Instant) -> Vec<Need> {
        let warming = state.desired.warming;
        let mut needs = Vec::new();
        for (name, wish) in state.desired.adapters.iter().filter(|(_, wish)| wish.model == pool.0) {
            let regions = self.demand.regions_of(name, warming, now);
            let idle = regions.is_empty();
            let mut places: Vec<(u64, Option<Region>)> = Vec::new();
            for region in regions {
                let engine_count = engines.iter().filter(|engine| engine.region == region).count() as u64;
                let copies = self.demand.copies_for(name, wish, &region).min(engine_count);
                places.extend((1..=copies).map(|round| (round, Some(region.clone()))));
            }
            let placed = places.len() as u64;
            places.extend((placed + 1..=wish.warm).map(|round| (round, None)));
            let present = state.adapters.active_revisions.get(name).copied().unwrap_or(wish.revision);
            for revision in BTreeSet::from([present, wish.revision]) {
                let adapter = AdapterId { name: name.clone(), revision };
                let is_next = revision != present;
                needs.extend(places.iter().map(|(round, region)| {
                    let (round, region, adapter) = (*round, region.clone(), adapter.clone());
                    Need { round, idle, is_next, adapter, region }
                }));
            }
        }
        needs
    }

    /// Moves on what the state says an engine holds or is to hold, by what it told.
    fn tend_copies(&mut self, round: &mut Round<'_>, engine: &EngineName, model: &ModelName, allotment: &Allotment) {
        let Some(told) = round.told(engine).cloned() else { return };
        let address = round.address(engine);
        for AdapterCopy { adapter, stage } in round.state.adapters.copies_at(engine) {
            let naming = (engine.clone(), adapter.clone());
            let is_target = allotment.is_target(engine, adapter);
            let is_wanted = round.state.is_desired_revision(adapter, model);
            let waited = self.stages.get(&naming).map_or(Span(0), |(_, since)| round.now.since(*since));
            self.note_wanted(&naming, is_target, round.now);
            let warm = || Some(CopyStage::Warm { boot: told.boot.clone() });
            match stage {
                CopyStage::Loading if told.holds(adapter) && is_wanted => round.place(engine, adapter, warm()),
                CopyStage::Loading if !is_target => round.place(engine, adapter, None),
                CopyStage::Loading if waited >= LOAD_LIMIT => {
                    self.cooling.insert(naming, round.now + COOLING_SPAN);
                    round.place(engine, adapter, None);
                }
                CopyStage::Loading => {
                    let (engine, adapter, address) = (engine.clone(), adapter.clone(), address.clone());
                    round.acts.push(WarmingAct::Load { engine, address, adapter });
                }
                CopyStage::Warm { boot } if *boot != told.boot || !told.holds(adapter) => {
                    round.place(engine, adapter, None);
                }
                CopyStage::Warm { .. } if !is_wanted => round.place(engine, adapter, Some(CopyStage::Leaving)),
                CopyStage::Warm { .. } => {}
                CopyStage::Leaving if !told.holds(adapter) => round.place(engine, adapter, None),
                CopyStage::Leaving if is_target && is_wanted => round.place(engine, adapter, warm()),
                CopyStage::Leaving if waited >= LEAVE_PAUSE => {
                    let (engine, adapter, address) = (engine.clone(), adapter.clone(), address.clone());
                    round.acts.push(WarmingAct::Unload { engine, address, adapter });
                }
                CopyStage::Leaving => {}
            }
        }
        self.tend_strays(round, engine, model, allotment, &told);
    }

    /// What an engine holds and the state does not know is taken up if it is wanted there, else unloaded:
    /// no request can go to it.
    fn tend_strays(
        &self,
        round: &mut Round<'_>,
        engine: &EngineName,
        model: &ModelName,
        allotment: &Allotment,
        told: &SeenEngine,
    ) {
        for adapter in &told.resident {
            if round.state.adapters.copy(engine, adapter).is_some() {
                continue;
            }
            if allotment.is_target(engine, adapter) && round.state.is_desired_revision(adapter, model) {
                round.place(engine, adapter, Some(CopyStage::Warm { boot: told.boot.clone() }));
                continue;
            }
            let (address, adapter) = (round.address(engine), adapter.clone());
            round.acts.push(WarmingAct::Unload { engine: engine.clone(), address, adapter });
        }
    }

    fn note_wanted(&mut self, naming: &CopyName, is_target: bool, now: Instant) {
        if is_target {
            self.unwanted.remove(naming);
        } else {
            self.unwanted.entry(naming.clone()).or_insert(now);
        }
    }

    /// Begins loads for what engines are to hold and do not, and makes room for them; first for adapters that
    /// no engine serves.
    fn tend_targets(
        &self,
        round: &mut Round<'_>,
        pools: &BTreeMap<PoolName, Vec<PoolEngine>>,
        allotments: &BTreeMap<PoolName, Allotment>,
    ) {
        let mut lacking: Vec<Lacking<'_>> = Vec::new();
        for (name, engines) in pools {
            let allotment = &allotments[name];
            lacking.extend(engines.iter().flat_map(|engine| lacking_at(round, engine, allotment)));
        }
        lacking.sort_by_key(|lacking| !round.is_urgent(lacking.adapter));
        let mut spaces: BTreeMap<&EngineName, Space> = BTreeMap::new();
        for Lacking { engine, adapter, allotment } in lacking {
            let space = spaces.entry(&engine.name).or_insert_with(|| Space::at(round, engine));
            if space.free > 0 && round.room > 0 {
                space.free -= 1;
                round.room -= 1;
                round.place(&engine.name, adapter, Some(CopyStage::Loading));
            } else if space.free > 0 || space.is_displacing {
                continue;
            } else if space.leaving > 0 {
                space.leaving -= 1;
            } else if let Some(displaced) = self.displaced(round, engine, adapter, allotment) {
                round.place(&engine.name, &displaced, Some(CopyStage::Leaving));
                space.is_displacing = true;
            }
        }
    }

    /// The copy that makes room for another at an engine: of those not wanted there, the one whose requests
    /// are longest ago. One that was wanted a short while ago stays, unless the other has no warm copy yet.
    fn displaced(
        &self,
        round: &Round<'_>,
        engine: &PoolEngine,
        wanted: &AdapterId,
        allotment: &Allotment,
    ) -> Option<AdapterId> {
        let is_urgent = round.is_urgent(wanted);
        let hold_time = round.state.desired.warming.hold_time;
        let may_go = |adapter: &AdapterId| {
            let since = self.unwanted.get(&(engine.name.clone(), adapter.clone()));
            let is_held = since.is_none_or(|since| round.now.since(*since) < hold_time);
            (is_urgent || !is_held) && self.is_replaced(round, &engine.name, adapter, allotment)
        };
        let copies = round.state.adapters.copies_at(&engine.name).iter();
        let unwanted = copies.filter(|copy| copy.is_warm() && !allotment.is_target(&engine.name, &copy.adapter));
        let leaving = unwanted.map(|copy| &copy.adapter).filter(|adapter| may_go(adapter));
        leaving.min_by_key(|adapter| (self.demand.last_use(&adapter.name, &engine.region), *adapter)).cloned()
    }

    /// Whether every copy that is to be warm is, so that one that is not wanted may go.
    fn is_replaced(
        &self,
        round: &Round<'_>,
        engine: &EngineName,
        adapter: &AdapterId,
        allotment: &Allotment,
    ) -> bool {
        let mut holders = allotment.engines_of(adapter).filter(|holder| *holder != engine).peekable();
        let is_unused = !round.state.is_active_revision(adapter);
        let has_holder = holders.peek().is_some();
        is_unused || (has_holder && holders.all(|holder| round.is_warm(holder, adapter)))
    }

    /// Lets requests run on a newer revision once all its copies are warm.
    fn take_over(&self, round: &mut Round<'_>, allotments: &BTreeMap<PoolName, Allotment>) {
        for (name, wish) in &round.state.desired.adapters {
            let next = AdapterId { name: name.clone(), revision: wish.revision };
            if round.state.is_active_revision(&next) {
                continue;
            }
            let own = allotments.iter().filter(|((model, _), _)| *model == wish.model);
            let holders: Vec<&EngineName> = own.flat_map(|(_, allotment)| allotment.engines_of(&next)).collect();
            let is_warm = !holders.is_empty() && holders.iter().all(|holder| round.is_warm(holder, &next));
            if is_warm {
                round.acts.push(WarmingAct::UseRevision { adapter: next });
            }
        }
    }
}
