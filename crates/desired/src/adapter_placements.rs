//! Adapter copies at engines, as decided by the conductor and followed by routers, and the revision of each adapter
//! that requests run on. One revision is active at a time: a newer one becomes active in a single record, once it
//! is warm.

use crate::prelude::*;

/// The stage of an adapter's copy at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyStage {
    /// Waiting to be loaded, or loading.
    Loading,
    /// The engine reported the adapter as loaded under this boot id. Requests may be sent there.
    Warm { boot: String },
    /// No more requests are sent there; it is to be unloaded.
    Leaving,
}

/// A copy of an adapter at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterCopy {
    pub adapter: AdapterId,
    pub stage: CopyStage,
}

impl AdapterCopy {
    /// Whether the copy is loaded and may serve requests.
    pub fn is_warm(&self) -> bool {
        matches!(self.stage, CopyStage::Warm { .. })
    }
}

/// All copies by engine, and the revisions that requests run on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterPlacements {
    pub copies: BTreeMap<EngineName, Vec<AdapterCopy>>,
    /// The revision that requests run on, for each adapter in the document.
    #[serde(rename = "in_force")]
    pub active_revisions: BTreeMap<AdapterName, AdapterRevision>,
    /// The last revision of each adapter that was removed from the document.
    #[serde(rename = "given_up")]
    pub retired_revisions: BTreeMap<AdapterName, AdapterRevision>,
}

impl AdapterPlacements {
    /// The copies at an engine, sorted by adapter.
    pub fn copies_at(&self, engine: &EngineName) -> &[AdapterCopy] {
        self.copies.get(engine).map(Vec::as_slice).unwrap_or_default()
    }

    /// The copy of an adapter at an engine, if there is one.
    pub fn copy(&self, engine: &EngineName, adapter: &AdapterId) -> Option<&AdapterCopy> {
        self.copies_at(engine).iter().find(|copy| copy.adapter == *adapter)
    }

    /// Whether requests that run on this adapter may be sent to the engine.
    pub fn is_warm(&self, engine: &EngineName, adapter: &AdapterId) -> bool {
        self.copy(engine, adapter).is_some_and(AdapterCopy::is_warm)
    }

    /// The engines with a warm copy of an adapter.
    pub fn warm_engines<'a>(&'a self, adapter: &'a AdapterId) -> impl Iterator<Item = &'a EngineName> + 'a {
        self.copies.iter().filter(|(_, copies)| is_warm_in(copies, adapter)).map(|(engine, _)| engine)
    }

    /// The number of copies that are loading, in the whole fleet.
    fn loading_count(&self) -> usize {
        let all = self.copies.values().flatten();
        all.filter(|copy| copy.stage == CopyStage::Loading).count()
    }

    /// Removes all copies at an engine.
    pub(crate) fn forget_engine(&mut self, engine: &EngineName) {
        self.copies.remove(engine);
    }

    /// Sets the stage of a copy, or removes the copy if there is no stage.
    fn set_stage(&mut self, engine: &EngineName, adapter: &AdapterId, stage: Option<CopyStage>) {
        let copies = self.copies.entry(engine.clone()).or_default();
        copies.retain(|copy| copy.adapter != *adapter);
        copies.extend(stage.map(|stage| AdapterCopy { adapter: adapter.clone(), stage }));
        copies.sort_by(|left, right| left.adapter.cmp(&right.adapter));
        if copies.is_empty() {
            self.copies.remove(engine);
        }
    }

    /// Updates the revisions for a new document: the revision of an adapter that is new or changed its model is
    /// active at once, and the last revision of a removed adapter is remembered.
    pub(crate) fn apply_document(&mut self, current: &DesiredState, next: &DesiredState) {
        for (name, spec) in &next.adapters {
            let same_model = current.adapters.get(name).is_some_and(|known| known.model == spec.model);
            if !same_model {
                self.active_revisions.insert(name.clone(), spec.revision);
            }
            self.retired_revisions.remove(name);
        }
        let gone = current.adapters.iter().filter(|(name, _)| !next.adapters.contains_key(*name));
        for (name, spec) in gone {
            self.active_revisions.remove(name);
            self.retired_revisions.insert(name.clone(), spec.revision);
        }
    }
}

fn is_warm_in(copies: &[AdapterCopy], adapter: &AdapterId) -> bool {
    copies.iter().any(|copy| copy.adapter == *adapter && copy.is_warm())
}

fn refused(reason: impl Into<String>) -> CommandOutcome {
    CommandOutcome::refused("adapter", reason)
}

impl FleetState {
    /// The adapter revision that a tenant's requests for a model run on; none if they run on the base model.
    pub fn adapter_for(&self, tenant: &TenantName, model: &ModelName) -> Option<AdapterId> {
        let name = self.desired.adapter_of(tenant, model)?;
        let revision = self.adapters.active_revisions.get(name).copied().unwrap_or_default();
        Some(AdapterId { name: name.clone(), revision })
    }

    /// Whether engines of a model may hold this revision of an adapter: it is active, or it is the one in the
    /// document.
    pub fn is_desired_revision(&self, adapter: &AdapterId, model: &ModelName) -> bool {
        let spec = self.desired.adapters.get(&adapter.name).filter(|spec| spec.model == *model);
        spec.is_some_and(|spec| spec.revision == adapter.revision || self.is_active_revision(adapter))
    }

    /// Whether requests run on this revision of the adapter.
    pub fn is_active_revision(&self, adapter: &AdapterId) -> bool {
        self.adapters.active_revisions.get(&adapter.name) == Some(&adapter.revision)
    }

    /// Applies `Command::PlaceCopy`. The bounds on concurrent loads and on adapters per engine are enforced here, as
    /// the conductor may act on an older state, and so is the rule that the last warm copy of an active revision is
    /// not unloaded.
    pub(crate) fn place_copy(
        &mut self,
        number: Edition,
        engine: &EngineName,
        adapter: &AdapterId,
        stage: &Option<CopyStage>,
    ) -> CommandOutcome {
        let Some(listed) = self.listing.engines.get(engine) else { return refused("the engine is not listed") };
        match stage {
            Some(CopyStage::Loading | CopyStage::Warm { .. })
                if !self.is_desired_revision(adapter, &listed.model) =>
            {
                return refused(format!("{adapter} is not wanted on engines of {}", listed.model));
            }
            Some(CopyStage::Loading) => {
                if let Some(reason) = self.loading_refusal(engine, adapter, &listed.model) {
                    return refused(reason);
                }
            }
            Some(CopyStage::Leaving) if self.is_last_copy(engine, adapter) => {
                return refused("the last warm copy of an active revision must stay");
            }
            _ => {}
        }
        self.adapters.set_stage(engine, adapter, stage.clone());
        CommandOutcome::Applied(number)
    }

    /// The reason a copy may not be loaded at an engine now, if there is one.
    fn loading_refusal(&self, engine: &EngineName, adapter: &AdapterId, model: &ModelName) -> Option<String> {
        let known = self.adapters.copy(engine, adapter);
        if known.is_some_and(|copy| copy.stage == CopyStage::Loading) {
            return None;
        }
        let at_once = self.desired.warming.loads_at_once as usize;
        if self.adapters.loading_count() >= at_once {
            return Some(format!("{at_once} copies are already loading"));
        }
        let places = self.desired.models.get(model).map_or(0, |spec| spec.adapter_places) as usize;
        let is_full = known.is_none() && self.adapters.copies_at(engine).len() >= places;
        is_full.then(|| format!("the engine already holds {places} adapters"))
    }

    /// Whether the engine has the only usable warm copy of an active revision.
    fn is_last_copy(&self, engine: &EngineName, adapter: &AdapterId) -> bool {
        let is_warm_elsewhere = self.adapters.warm_engines(adapter).any(|warm| {
            let listed = self.listing.engines.get(warm);
            warm != engine && listed.is_some_and(|listed| listed.listed == Listed::Open)
        });
        let is_in_use = self.is_active_revision(adapter) && self.desired.adapters.contains_key(&adapter.name);
        is_in_use && self.adapters.is_warm(engine, adapter) && !is_warm_elsewhere
    }

    /// Applies `Command::ActivateRevision`; refused unless the document names the revision and a copy of it is warm.
    pub(crate) fn activate_revision(&mut self, number: Edition, adapter: &AdapterId) -> CommandOutcome {
        let is_desired =
            self.desired.adapters.get(&adapter.name).is_some_and(|spec| spec.revision == adapter.revision);
        if !is_desired {
            return refused("not the revision in the document");
        }
        if self.adapters.warm_engines(adapter).next().is_none() {
            return refused("no engine has a warm copy");
        }
        self.adapters.active_revisions.insert(adapter.name.clone(), adapter.revision);
        CommandOutcome::Applied(number)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn submit(state: &mut FleetState, command: Command) -> CommandOutcome {
        state.apply(&Submission { request: RequestId::random(), command })
    }

    fn merge_in(state: &mut FleetState, patch: &str) -> CommandOutcome {
        submit(state, Command::Merge { base: None, patch: patch.into() })
    }

    fn place(state: &mut FleetState, engine: &str, adapter: &AdapterId, stage: Option<CopyStage>) -> CommandOutcome {
        submit(state, Command::PlaceCopy { term: Term(1), engine: engine.into(), adapter: adapter.clone(), stage })
    }

    fn is_applied(outcome: CommandOutcome) -> bool {
        matches!(outcome, CommandOutcome::Applied(_))
    }

    fn warm() -> Option<CopyStage> {
        Some(CopyStage::Warm { boot: "b".into() })
    }

    /// Three engines of one model that hold one adapter each, and one adapter.
    fn fleet() -> FleetState {
        let mut state = FleetState::default();
        let document = r#"{"models":{"m":{"adapter_places":1}},"tenants":{"a":{"adapters":["x"]},"b":{}},
            "adapters":{"x":{"model":"m","owners":["a"],"revision":3}},"warming":{"loads_at_once":2}}"#;
        assert!(is_applied(merge_in(&mut state, document)));
        submit(&mut state, Command::Appoint { kind: DutyKind::Conductor, from_term: Term(0), holder: NodeId(1) });
        let listed = ListedEngine { model: "m".into(), ..ListedEngine::default() };
        let engines = ["e0", "e1", "e2"].map(|name| (EngineName::from(name), listed.clone())).into();
        submit(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines }));
        state
    }

    #[test]
    fn concurrent_loads_and_adapters_per_engine_are_bounded() {
        let (mut state, x) = (fleet(), AdapterId::new("x", 3));
        let loading = || Some(CopyStage::Loading);
        assert!(is_applied(place(&mut state, "e0", &x, loading())));
        assert!(is_applied(place(&mut state, "e1", &x, loading())));
        assert!(!is_applied(place(&mut state, "e2", &x, loading())), "two loads at once");
        assert!(is_applied(place(&mut state, "e0", &x, warm())));
        assert!(is_applied(place(&mut state, "e2", &x, loading())));
        assert!(!is_applied(place(&mut state, "e9", &x, warm())), "no such engine");
        assert!(!is_applied(place(&mut state, "e0", &AdapterId::new("x", 2), loading())), "not wanted");
        merge_in(&mut state, r#"{"adapters":{"y":{"model":"m","owners":["b"]}},"warming":{"loads_at_once":9}}"#);
        assert!(
            !is_applied(place(&mut state, "e0", &AdapterId::new("y", 1), loading())),
            "the engine holds another adapter"
        );
        let stale = Command::PlaceCopy { term: Term(2), engine: "e0".into(), adapter: x, stage: None };
        assert!(!is_applied(submit(&mut state, stale)), "another term");
    }

    #[test]
    fn the_last_warm_copy_stays_until_another_is_warm() {
        let (mut state, x) = (fleet(), AdapterId::new("x", 3));
        place(&mut state, "e0", &x, warm());
        assert!(!is_applied(place(&mut state, "e0", &x, Some(CopyStage::Leaving))));
        place(&mut state, "e1", &x, warm());
        assert!(is_applied(place(&mut state, "e0", &x, Some(CopyStage::Leaving))));
        assert!(!state.adapters.is_warm(&"e0".into(), &x));
    }

    #[test]
    fn a_newer_revision_is_activated_only_once_it_is_warm() {
        let (mut state, old, new) = (fleet(), AdapterId::new("x", 3), AdapterId::new("x", 4));
        let active_adapter = |state: &FleetState| state.adapter_for(&"a".into(), &"m".into());
        assert_eq!(active_adapter(&state), Some(old.clone()));
        assert_eq!(state.adapter_for(&"b".into(), &"m".into()), None);
        place(&mut state, "e0", &old, warm());
        assert!(is_applied(merge_in(&mut state, r#"{"adapters":{"x":{"revision":4}}}"#)));
        assert_eq!(active_adapter(&state), Some(old.clone()), "the new one is not warm yet");
        let activate = || Command::ActivateRevision { term: Term(1), adapter: new.clone() };
        assert!(!is_applied(submit(&mut state, activate())));
        place(&mut state, "e1", &new, warm());
        assert!(is_applied(submit(&mut state, activate())));
        assert_eq!(active_adapter(&state), Some(new.clone()));
        assert!(is_applied(place(&mut state, "e0", &old, Some(CopyStage::Leaving))), "no requests run on it");
        assert!(!is_applied(merge_in(&mut state, r#"{"adapters":{"x":{"revision":3}}}"#)), "revisions only grow");
    }

    #[test]
    fn a_removed_name_is_reused_only_above_its_last_revision() {
        let mut state = fleet();
        place(&mut state, "e0", &AdapterId::new("x", 3), warm());
        assert!(is_applied(merge_in(&mut state, r#"{"tenants":{"a":{"adapters":[]}},"adapters":{"x":null}}"#)));
        let add_again = |revision: u64| {
            format!(
                r#"{{"adapters":{{"x":{{"model":"m","owners":["b"],"revision":{revision}}}}},"tenants":{{"b":{{"adapters":["x"]}}}}}}"#
            )
        };
        assert!(!is_applied(merge_in(&mut state, &add_again(3))), "engines may still hold the other owner's");
        assert!(is_applied(merge_in(&mut state, &add_again(4))));
        assert_eq!(state.adapter_for(&"b".into(), &"m".into()), Some(AdapterId::new("x", 4)));
    }

    #[test]
    fn copies_are_removed_when_their_engine_moves_or_leaves() {
        let (mut state, x) = (fleet(), AdapterId::new("x", 3));
        place(&mut state, "e0", &x, warm());
        place(&mut state, "e1", &x, warm());
        let moved = ListedEngine { address: "127.0.0.1:2".into(), model: "m".into(), ..ListedEngine::default() };
        let engines = [(EngineName::from("e1"), moved)].into();
        submit(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(2), engines }));
        assert!(state.adapters.copies.is_empty());
    }
}
