//! Plans the next changes to warm adapters from the fleet state, the engines' reports and the demand.

use crate::prelude::*;

/// How long a new planner collects the reports of engines and routers before it changes anything.
pub const WARM_UP_SPAN: Span = Span::millis(3000);
/// Time from marking a copy as leaving to ordering its unload, in which routers learn of it.
pub const LEAVE_PAUSE: Span = Span::millis(2500);
/// A load that takes longer than this is given up at that engine.
pub const LOAD_LIMIT: Span = Span::seconds(30);
/// How long an engine is avoided for an adapter that failed to load there.
pub const LOAD_FAILURE_SPAN: Span = Span::seconds(60);

/// An action that the planner requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WarmingAction {
    /// Put a copy's stage into the fleet state, or take the copy out of it.
    Place { engine: EngineName, adapter: AdapterId, stage: Option<CopyStage> },
    /// Put this revision in force: requests run on it from now on.
    UseRevision { adapter: AdapterId },
    /// Order the engine to load the adapter.
    Load { engine: EngineName, address: String, adapter: AdapterId },
    /// Order the engine to unload the adapter.
    Unload { engine: EngineName, address: String, adapter: AdapterId },
}

type CopyKey = (EngineName, AdapterId);

/// Plans which adapters engines load and unload. A new conductor starts without this memory.
#[derive(Clone, Debug, Default)]
pub struct WarmingPlanner {
    pub demand: DemandTracker,
    pub closings: ClosingGuard,
    started: Option<Instant>,
    /// The stage of each copy, and since when it has been seen in it.
    stages: BTreeMap<CopyKey, (CopyStage, Instant)>,
    /// Since when a copy has not been wanted.
    unwanted: BTreeMap<CopyKey, Instant>,
    /// Until when an engine is avoided for an adapter that failed to load there.
    load_failures: BTreeMap<CopyKey, Instant>,
    /// The number of needs without a place in the last round.
    unplaced: usize,
}

/// One round of planning.
struct PlanningRound<'a> {
    state: &'a FleetState,
    seen: &'a BTreeMap<EngineName, AdapterReport>,
    now: Instant,
    /// The engines of all pools that may serve now.
    serving: BTreeSet<EngineName>,
    /// How many more loads may start.
    free_loads: usize,
    actions: Vec<WarmingAction>,
}

impl PlanningRound<'_> {
    fn place(&mut self, engine: &EngineName, adapter: &AdapterId, stage: Option<CopyStage>) {
        self.actions.push(WarmingAction::Place { engine: engine.clone(), adapter: adapter.clone(), stage });
    }

    /// An engine's report, if it is recent.
    fn report(&self, engine: &EngineName) -> Option<&AdapterReport> {
        self.seen.get(engine).filter(|report| self.now.since(report.at) < SILENT_AFTER)
    }

    fn address(&self, engine: &EngineName) -> String {
        self.state.listing.engines.get(engine).map(|listed| listed.address.clone()).unwrap_or_default()
    }

    /// Whether an adapter is warm at an engine that reported recently.
    fn is_warm(&self, engine: &EngineName, adapter: &AdapterId) -> bool {
        self.state.adapters.is_warm(engine, adapter) && self.report(engine).is_some()
    }

    /// Whether no engine that may serve holds the adapter warm; its load then precedes all others.
    fn is_urgent(&self, adapter: &AdapterId) -> bool {
        !self.state.adapters.warm_engines(adapter).any(|engine| self.serving.contains(engine))
    }
}

/// A copy that an engine should hold but does not.
struct MissingCopy<'a> {
    engine: &'a PoolEngine,
    adapter: &'a AdapterId,
    assignment: &'a Assignment,
}

/// The copies that an engine should hold and neither holds nor is loading.
fn missing_copies<'a>(
    round: &PlanningRound<'_>,
    engine: &'a PoolEngine,
    assignment: &'a Assignment,
) -> Vec<MissingCopy<'a>> {
    let targets = assignment.targets.get(&engine.name).into_iter().flatten();
    let is_known = |adapter: &AdapterId| {
        let report = round.report(&engine.name);
        round.state.adapters.copy(&engine.name, adapter).is_some()
            || report.is_none_or(|report| report.holds(adapter))
    };
    let missing = targets.filter(|adapter| !is_known(adapter));
    missing.map(|adapter| MissingCopy { engine, adapter, assignment }).collect()
}

/// An engine's adapter places in this round.
struct PlaceBudget {
    free: usize,
    /// Places that are being freed.
    leaving: usize,
    /// Whether a copy was evicted in this round.
    is_evicting: bool,
}

impl PlaceBudget {
    fn of(round: &PlanningRound<'_>, engine: &PoolEngine) -> PlaceBudget {
        let copies = round.state.adapters.copies_at(&engine.name);
        let is_known = |adapter: &AdapterId| copies.iter().any(|copy| copy.adapter == *adapter);
        let resident = round.report(&engine.name).map(|report| report.resident.as_slice()).unwrap_or_default();
        let untracked = resident.iter().filter(|adapter| !is_known(adapter)).count();
        let free = engine.places.saturating_sub(copies.len() + untracked);
        let leaving = copies.iter().filter(|copy| copy.stage == CopyStage::Leaving).count() + untracked;
        PlaceBudget { free, leaving, is_evicting: false }
    }
}

impl WarmingPlanner {
    /// Drops what was learned under an earlier term, except when weights were superseded.
    pub fn forget(&mut self) {
        let old_weights = std::mem::take(&mut self.closings.old_weights);
        *self = WarmingPlanner::default();
        self.closings.old_weights = old_weights;
    }

    /// Records which weights were superseded. Called on every keeper, also while another is the conductor.
    pub fn note_weights(&mut self, state: &FleetState, now: Instant) {
        self.closings.old_weights.follow(state, now);
    }

    /// The number of needs for which no engine had a place in the last round.
    pub fn unplaced(&self) -> usize {
        self.unplaced
    }

    /// The actions to take now. Their outcomes show in the fleet state and in the engines' reports.
    pub fn next_actions(
        &mut self,
        state: &FleetState,
        seen: &BTreeMap<EngineName, AdapterReport>,
        now: Instant,
    ) -> Vec<WarmingAction> {
        let started = *self.started.get_or_insert(now);
        self.note_weights(state, now);
        self.demand.recompute_rates(state, now);
        self.note_stages(state, now);
        self.load_failures.retain(|_, until| now < *until);
        let loading = self.stages.values().filter(|(stage, _)| *stage == CopyStage::Loading).count();
        let free_loads = (state.desired.warming.loads_at_once as usize).saturating_sub(loading);
        if now.since(started) < WARM_UP_SPAN {
            return Vec::new();
        }
        self.unplaced = 0;
        let pools = pools(state, seen, &self.closings.old_weights, now);
        let serving = pools.values().flatten().map(|engine| engine.name.clone()).collect();
        let mut round = PlanningRound { state, seen, now, serving, free_loads, actions: Vec::new() };
        let mut assignments = BTreeMap::new();
        for (name, engines) in &pools {
            let needs = self.needs(state, name, engines, now);
            let assignment = Assigner { state, engines, load_failures: &self.load_failures }.assign(needs);
            self.unplaced += assignment.unplaced.len();
            assignments.insert(name.clone(), assignment);
        }
        let none = Assignment::default();
        for (engine, listed) in &state.listing.engines {
            let assignment = assignments.get(&(listed.model.clone(), listed.role)).unwrap_or(&none);
            self.reconcile_copies(&mut round, engine, &listed.model, assignment);
        }
        self.start_loads(&mut round, &pools, &assignments);
        self.put_revisions_in_force(&mut round, &assignments);
        round.actions
    }

    /// Records since when each copy has been in its stage.
    fn note_stages(&mut self, state: &FleetState, now: Instant) {
        let mut stages = BTreeMap::new();
        for (engine, copies) in &state.adapters.copies {
            for AdapterCopy { adapter, stage } in copies {
                let key = (engine.clone(), adapter.clone());
                let known = self.stages.get(&key).filter(|(known, _)| known == stage);
                let since = known.map_or(now, |(_, since)| *since);
                stages.insert(key, (stage.clone(), since));
            }
        }
        self.unwanted.retain(|key, _| stages.contains_key(key));
        self.stages = stages;
    }

    /// The copies that must be warm for each adapter of a pool's model.
    fn needs(&mut self, state: &FleetState, pool: &PoolKey, engines: &[PoolEngine], now: Instant) -> Vec<CopyNeed> {
        let warming = state.desired.warming;
        let mut needs = Vec::new();
        for (name, spec) in state.desired.adapters.iter().filter(|(_, spec)| spec.model == pool.0) {
            let regions = self.demand.regions_of(name, warming, now);
            let idle = regions.is_empty();
            let mut places: Vec<(u64, Option<Region>)> = Vec::new();
            for region in regions {
                let engine_count = engines.iter().filter(|engine| engine.region == region).count() as u64;
                let copies = self.demand.copies_for(name, spec, &region).min(engine_count);
                places.extend((1..=copies).map(|round| (round, Some(region.clone()))));
            }
            let placed = places.len() as u64;
            places.extend((placed + 1..=spec.warm).map(|round| (round, None)));
            let present = state.adapters.active_revisions.get(name).copied().unwrap_or(spec.revision);
            for revision in BTreeSet::from([present, spec.revision]) {
                let adapter = AdapterId { name: name.clone(), revision };
                let is_next = revision != present;
                needs.extend(places.iter().map(|(round, region)| {
                    let (round, region, adapter) = (*round, region.clone(), adapter.clone());
                    CopyNeed { round, idle, is_next, adapter, region }
                }));
            }
        }
        needs
    }

    /// Advances the stages of an engine's copies in the fleet state according to its report.
    fn reconcile_copies(
        &mut self,
        round: &mut PlanningRound<'_>,
        engine: &EngineName,
        model: &ModelName,
        assignment: &Assignment,
    ) {
        let Some(report) = round.report(engine).cloned() else { return };
        let address = round.address(engine);
        for AdapterCopy { adapter, stage } in round.state.adapters.copies_at(engine) {
            let key = (engine.clone(), adapter.clone());
            let is_target = assignment.is_target(engine, adapter);
            let is_wanted = round.state.is_desired_revision(adapter, model);
            let waited = self.stages.get(&key).map_or(Span(0), |(_, since)| round.now.since(*since));
            self.note_wanted(&key, is_target, round.now);
            let warm = || Some(CopyStage::Warm { boot: report.boot.clone() });
            match stage {
                CopyStage::Loading if report.holds(adapter) && is_wanted => round.place(engine, adapter, warm()),
                CopyStage::Loading if !is_target => round.place(engine, adapter, None),
                CopyStage::Loading if waited >= LOAD_LIMIT => {
                    self.load_failures.insert(key, round.now + LOAD_FAILURE_SPAN);
                    round.place(engine, adapter, None);
                }
                CopyStage::Loading => {
                    let (engine, adapter, address) = (engine.clone(), adapter.clone(), address.clone());
                    round.actions.push(WarmingAction::Load { engine, address, adapter });
                }
                CopyStage::Warm { boot } if *boot != report.boot || !report.holds(adapter) => {
                    round.place(engine, adapter, None);
                }
                CopyStage::Warm { .. } if !is_wanted => round.place(engine, adapter, Some(CopyStage::Leaving)),
                CopyStage::Warm { .. } => {}
                CopyStage::Leaving if !report.holds(adapter) => round.place(engine, adapter, None),
                CopyStage::Leaving if is_target && is_wanted => round.place(engine, adapter, warm()),
                CopyStage::Leaving if waited >= LEAVE_PAUSE => {
                    let (engine, adapter, address) = (engine.clone(), adapter.clone(), address.clone());
                    round.actions.push(WarmingAction::Unload { engine, address, adapter });
                }
                CopyStage::Leaving => {}
            }
        }
        self.reconcile_untracked(round, engine, model, assignment, &report);
    }

    /// Handles adapters that an engine holds and the fleet state does not list: adds them to the state if they are
    /// wanted there, otherwise unloads them, as no request can use them.
    fn reconcile_untracked(
        &self,
        round: &mut PlanningRound<'_>,
        engine: &EngineName,
        model: &ModelName,
        assignment: &Assignment,
        report: &AdapterReport,
    ) {
        for adapter in &report.resident {
            if round.state.adapters.copy(engine, adapter).is_some() {
                continue;
            }
            if assignment.is_target(engine, adapter) && round.state.is_desired_revision(adapter, model) {
                round.place(engine, adapter, Some(CopyStage::Warm { boot: report.boot.clone() }));
                continue;
            }
            let (address, adapter) = (round.address(engine), adapter.clone());
            round.actions.push(WarmingAction::Unload { engine: engine.clone(), address, adapter });
        }
    }

    fn note_wanted(&mut self, key: &CopyKey, is_target: bool, now: Instant) {
        if is_target {
            self.unwanted.remove(key);
        } else {
            self.unwanted.entry(key.clone()).or_insert(now);
        }
    }

    /// Starts loads of missing copies and evicts others to make room, first for adapters that no engine serves.
    fn start_loads(
        &self,
        round: &mut PlanningRound<'_>,
        pools: &BTreeMap<PoolKey, Vec<PoolEngine>>,
        assignments: &BTreeMap<PoolKey, Assignment>,
    ) {
        let mut missing: Vec<MissingCopy<'_>> = Vec::new();
        for (name, engines) in pools {
            let assignment = &assignments[name];
            missing.extend(engines.iter().flat_map(|engine| missing_copies(round, engine, assignment)));
        }
        missing.sort_by_key(|missing| !round.is_urgent(missing.adapter));
        let mut budgets: BTreeMap<&EngineName, PlaceBudget> = BTreeMap::new();
        for MissingCopy { engine, adapter, assignment } in missing {
            let budget = budgets.entry(&engine.name).or_insert_with(|| PlaceBudget::of(round, engine));
            if budget.free > 0 && round.free_loads > 0 {
                budget.free -= 1;
                round.free_loads -= 1;
                round.place(&engine.name, adapter, Some(CopyStage::Loading));
            } else if budget.free > 0 || budget.is_evicting {
                continue;
            } else if budget.leaving > 0 {
                budget.leaving -= 1;
            } else if let Some(evicted) = self.eviction_candidate(round, engine, adapter, assignment) {
                round.place(&engine.name, &evicted, Some(CopyStage::Leaving));
                budget.is_evicting = true;
            }
        }
    }

    /// The copy to evict for another at an engine: of those not wanted there, the one least recently used. One that
    /// was wanted within the hold span stays, unless the other has no warm copy yet.
    fn eviction_candidate(
        &self,
        round: &PlanningRound<'_>,
        engine: &PoolEngine,
        wanted: &AdapterId,
        assignment: &Assignment,
    ) -> Option<AdapterId> {
        let is_urgent = round.is_urgent(wanted);
        let hold_time = round.state.desired.warming.hold_time;
        let may_go = |adapter: &AdapterId| {
            let since = self.unwanted.get(&(engine.name.clone(), adapter.clone()));
            let is_held = since.is_none_or(|since| round.now.since(*since) < hold_time);
            (is_urgent || !is_held) && self.is_replaced(round, &engine.name, adapter, assignment)
        };
        let copies = round.state.adapters.copies_at(&engine.name).iter();
        let unwanted = copies.filter(|copy| copy.is_warm() && !assignment.is_target(&engine.name, &copy.adapter));
        let leaving = unwanted.map(|copy| &copy.adapter).filter(|adapter| may_go(adapter));
        leaving.min_by_key(|adapter| (self.demand.last_use(&adapter.name, &engine.region), *adapter)).cloned()
    }

    /// Whether all wanted copies of the adapter are warm, so that an unwanted one may be evicted.
    fn is_replaced(
        &self,
        round: &PlanningRound<'_>,
        engine: &EngineName,
        adapter: &AdapterId,
        assignment: &Assignment,
    ) -> bool {
        let mut holders = assignment.engines_of(adapter).filter(|holder| *holder != engine).peekable();
        let is_unused = !round.state.is_active_revision(adapter);
        let has_holder = holders.peek().is_some();
        is_unused || (has_holder && holders.all(|holder| round.is_warm(holder, adapter)))
    }

    /// Puts a newer revision in force once all its copies are warm.
    fn put_revisions_in_force(&self, round: &mut PlanningRound<'_>, assignments: &BTreeMap<PoolKey, Assignment>) {
        for (name, spec) in &round.state.desired.adapters {
            let next = AdapterId { name: name.clone(), revision: spec.revision };
            if round.state.is_active_revision(&next) {
                continue;
            }
            let own = assignments.iter().filter(|((model, _), _)| *model == spec.model);
            let holders: Vec<&EngineName> = own.flat_map(|(_, assignment)| assignment.engines_of(&next)).collect();
            let is_warm = !holders.is_empty() && holders.iter().all(|holder| round.is_warm(holder, &next));
            if is_warm {
                round.actions.push(WarmingAction::UseRevision { adapter: next });
            }
        }
    }
}
