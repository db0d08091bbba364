//! Which engine of a pool is to hold which adapter. Needs are met round by round, so that every adapter has
//! its first copy before any has its second. A copy goes to a failure domain that has fewest copies of it,
//! and among those stays where it is.

use crate::prelude::*;

/// One copy that is to be warm somewhere.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Need {
    /// Whether it is an adapter's first copy in its region, its second, and so on.
    pub(crate) round: u64,
    /// Nobody asks for the adapter now.
    pub(crate) idle: bool,
    /// A revision that is not in force yet.
    pub(crate) is_next: bool,
    pub(crate) adapter: AdapterId,
    /// Anywhere, if there is none.
    pub(crate) region: Option<Region>,
}

/// Who is to hold what in a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allotment {
    pub(crate) targets: BTreeMap<EngineName, BTreeSet<AdapterId>>,
    /// Needs that no engine has a place for.
    pub(crate) unplaced: Vec<Need>,
}

impl Allotment {
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

/// What placing goes by.
pub(crate) struct Allotter<'a> {
    pub(crate) state: &'a FleetState,
    pub(crate) engines: &'a [PoolEngine],
    /// Engines where loading an adapter came to nothing a while ago.
    pub(crate) cooling: &'a BTreeMap<(EngineName, AdapterId), Instant>,
}

impl Allotter<'_> {
    pub(crate) fn allot(&self, mut needs: Vec<Need>) -> Allotment {
        needs.sort();
        let mut allotment = Allotment::default();
        for need in needs {
            let has_none = allotment.engines_of(&need.adapter).next().is_none();
            let near = self.best(&allotment, &need, need.region.as_ref());
            let chosen = near.or_else(|| has_none.then(|| self.best(&allotment, &need, None)).flatten());
            match chosen {
                Some(engine) => {
                    allotment.targets.entry(engine).or_default().insert(need.adapter);
                }
                None => allotment.unplaced.push(need),
            }
        }
        self.make_room_for_next(&mut allotment);
        allotment
    }

    fn best(&self, allotment: &Allotment, need: &Need, region: Option<&Region>) -> Option<EngineName> {
        let mut copies_in_zone: BTreeMap<&Zone, usize> = BTreeMap::new();
        for engine in self.engines.iter().filter(|engine| allotment.is_target(&engine.name, &need.adapter)) {
            *copies_in_zone.entry(&engine.zone).or_default() += 1;
        }
        let fits = |engine: &&PoolEngine| {
            allotment.count_at(&engine.name) < engine.places && !allotment.is_target(&engine.name, &need.adapter)
        };
        let candidates =
            self.engines.iter().filter(fits).filter(|engine| region.is_none_or(|near| engine.region == *near));
        let best = candidates.min_by_key(|engine| {
            let is_cooling = self.cooling.contains_key(&(engine.name.clone(), need.adapter.clone()));
            let stage = self.state.adapters.copy(&engine.name, &need.adapter).map(|copy| &copy.stage);
            let way_to_go = match stage {
                Some(CopyStage::Warm { .. }) => 0,
                Some(CopyStage::Loading) => 1,
                Some(CopyStage::Leaving) => 2,
                None => 3,
            };
            let in_zone = copies_in_zone.get(&engine.zone).copied().unwrap_or(0);
            let load = (allotment.count_at(&engine.name), self.state.adapters.copies_at(&engine.name).len());
            (is_cooling, engine.is_going, in_zone, way_to_go, load, spread(&need.adapter, &engine.name))
        });
        best.map(|engine| engine.name.clone())
    }

    /// A revision that is to take over needs one copy at the least: if every place is taken, it gets one of
    /// those of the revision it replaces, unless that is the only one.
    fn make_room_for_next(&self, allotment: &mut Allotment) {
        let unplaced: Vec<AdapterId> =
            allotment.unplaced.iter().filter(|need| need.is_next).map(|need| need.adapter.clone()).collect();
        for next in unplaced {
            let is_placed = allotment.engines_of(&next).next().is_some();
            let Some(revision) = self.state.adapters.in_force.get(&next.name).copied().filter(|_| !is_placed) else {
                continue;
            };
            let present = AdapterId { name: next.name.clone(), revision };
            let holders: Vec<EngineName> = allotment.engines_of(&present).cloned().collect();
            let Some(given) = holders.last().filter(|_| holders.len() > 1) else { continue };
            let targets = allotment.targets.entry(given.clone()).or_default();
            targets.remove(&present);
            targets.insert(next);
        }
    }
}

/// The order among engines that are alike, so that adapters do not all choose the same ones.
fn spread(adapter: &AdapterId, engine: &EngineName) -> BlockHash {
    BlockHash::of_parts(&[adapter.name.as_str().as_bytes(), engine.as_str().as_bytes()])
}
