//! Assigns the adapters of a pool to its engines. Every adapter gets its first copy before any gets its second. A
//! copy goes to the zone with the fewest copies of the adapter and, within it, preferably stays where it is.

use crate::prelude::*;

/// One copy that must be warm somewhere.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CopyNeed {
    /// 1 for an adapter's first copy in its region, 2 for its second, and so on.
    pub(crate) round: u64,
    /// No requests for the adapter arrive now.
    pub(crate) idle: bool,
    /// Whether the revision is not in force yet.
    pub(crate) is_next: bool,
    pub(crate) adapter: AdapterId,
    /// The region to place it in; anywhere if `None`.
    pub(crate) region: Option<Region>,
}

/// The adapters that each engine of a pool must hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assignment {
    pub(crate) targets: BTreeMap<EngineName, BTreeSet<AdapterId>>,
    /// Needs for which no engine has a free place.
    pub(crate) unplaced: Vec<CopyNeed>,
}

impl Assignment {
    pub(crate) fn is_target(&self, engine: &EngineName, adapter: &AdapterId) -> bool {
        self.targets.get(engine).is_some_and(|targets| targets.contains(adapter))
    }

    pub(crate) fn engines_of<'a>(&'a self, adapter: &'a AdapterId) -> impl Iterator<Item = &'a EngineName> + 'a {
        self.targets.iter().filter(|(_, targets)| targets.contains(adapter)).map(|(engine, _)| engine)
    }

    fn count_at(&self, engine: &EngineName) -> usize {
        self.targets.get(engine).map_or(0, BTreeSet::len)
    }
}

/// The inputs of an assignment.
pub(crate) struct Assigner<'a> {
    pub(crate) state: &'a FleetState,
    pub(crate) engines: &'a [PoolEngine],
    /// Until when engines are avoided for adapters that failed to load there.
    pub(crate) load_failures: &'a BTreeMap<(EngineName, AdapterId), Instant>,
}

impl Assigner<'_> {
    pub(crate) fn assign(&self, mut needs: Vec<CopyNeed>) -> Assignment {
        needs.sort();
        let mut assignment = Assignment::default();
        for need in needs {
            let has_none = assignment.engines_of(&need.adapter).next().is_none();
            let near = self.best(&assignment, &need, need.region.as_ref());
            let chosen = near.or_else(|| has_none.then(|| self.best(&assignment, &need, None)).flatten());
            match chosen {
                Some(engine) => {
                    assignment.targets.entry(engine).or_default().insert(need.adapter);
                }
                None => assignment.unplaced.push(need),
            }
        }
        self.make_room_for_next(&mut assignment);
        assignment
    }

    fn best(&self, assignment: &Assignment, need: &CopyNeed, region: Option<&Region>) -> Option<EngineName> {
        let mut copies_in_zone: BTreeMap<&Zone, usize> = BTreeMap::new();
        for engine in self.engines.iter().filter(|engine| assignment.is_target(&engine.name, &need.adapter)) {
            *copies_in_zone.entry(&engine.zone).or_default() += 1;
        }
        let fits = |engine: &&PoolEngine| {
            assignment.count_at(&engine.name) < engine.places && !assignment.is_target(&engine.name, &need.adapter)
        };
        let candidates =
            self.engines.iter().filter(fits).filter(|engine| region.is_none_or(|near| engine.region == *near));
        let best = candidates.min_by_key(|engine| {
            let has_failed = self.load_failures.contains_key(&(engine.name.clone(), need.adapter.clone()));
            let stage = self.state.adapters.copy(&engine.name, &need.adapter).map(|copy| &copy.stage);
            let load_distance = match stage {
                Some(CopyStage::Warm { .. }) => 0,
                Some(CopyStage::Loading) => 1,
                Some(CopyStage::Leaving) => 2,
                None => 3,
            };
            let in_zone = copies_in_zone.get(&engine.zone).copied().unwrap_or(0);
            let load = (assignment.count_at(&engine.name), self.state.adapters.copies_at(&engine.name).len());
            (has_failed, engine.is_retiring, in_zone, load_distance, load, tie_breaker(&need.adapter, &engine.name))
        });
        best.map(|engine| engine.name.clone())
    }

    /// Ensures that a revision due to take over has at least one copy: if every place is taken, it gets a place of
    /// the revision that it replaces, unless that has only one copy.
    fn make_room_for_next(&self, assignment: &mut Assignment) {
        let unplaced: Vec<AdapterId> =
            assignment.unplaced.iter().filter(|need| need.is_next).map(|need| need.adapter.clone()).collect();
        for next in unplaced {
            let is_placed = assignment.engines_of(&next).next().is_some();
            let Some(revision) = self.state.adapters.active_revisions.get(&next.name).copied().filter(|_| !is_placed)
            else {
                continue;
            };
            let present = AdapterId { name: next.name.clone(), revision };
            let holders: Vec<EngineName> = assignment.engines_of(&present).cloned().collect();
            let Some(engine) = holders.last().filter(|_| holders.len() > 1) else { continue };
            let targets = assignment.targets.entry(engine.clone()).or_default();
            targets.remove(&present);
            targets.insert(next);
        }
    }
}

/// Breaks ties between engines by a hash, so that adapters do not all choose the same engines.
fn tie_breaker(adapter: &AdapterId, engine: &EngineName) -> BlockHash {
    BlockHash::of_parts(&[adapter.name.as_str().as_bytes(), engine.as_str().as_bytes()])
}
