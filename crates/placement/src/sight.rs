//! The fleet as this router knows it: the state in force here, with what is derived from it once at
//! each change: the tables compiled, the keys by hash, and until when old weights may still be used.

use crate::prelude::*;

/// How long weights may be used after newer ones were committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldWeightsSpan(pub Span);

impl Default for OldWeightsSpan {
    fn default() -> OldWeightsSpan {
        OldWeightsSpan(Span::seconds(15))
    }
}

/// What stands for the weights of an engine that holds no model.
pub const NO_WEIGHTS: WeightsEdition = WeightsEdition(0);

/// The policy of every tenant that is not on trial.
pub const DEFAULT_POLICY: &str = "default";

/// The fleet as a router knows it.
#[derive(Clone, Debug, Default)]
pub struct FleetSight {
    /// The state in force here.
    pub state: Arc<FleetState>,
    /// The default policy, compiled.
    pub default_table: WeightTable,
    /// For each tenant on trial, its policy's name and that policy compiled.
    pub trial_tables: BTreeMap<TenantName, (String, WeightTable)>,
    /// Tenants by the hashes of their keys.
    pub tenants_by_key: HashMap<String, TenantName>,
    /// Until when an edition that is no longer wanted may still be used: from when the first newer one
    /// was wanted, whatever came after that.
    pub old_until: BTreeMap<(ModelName, WeightsEdition), Instant>,
    /// Until when engines that are listed as leaving may go on serving the last copy of an adapter.
    pub leaving_until: BTreeMap<EngineName, Instant>,
    /// The routes, compiled.
    pub routes: Arc<RouteTable>,
    /// How long weights may be used after newer ones were committed.
    pub old_weights_span: OldWeightsSpan,
    /// When the core was last seen disturbed, where the bound on old weights is counted in undisturbed time
    /// alone; shared with whoever hears of it, and 0 where every moment counts.
    pub disturbed: Arc<AtomicU64>,
}

impl FleetSight {
    /// The sight after a change. `committed` is when the change was, at the earliest; when that is not
    /// known, old weights are given up at once.
    pub fn following(&self, state: FleetState, committed: Option<Instant>, now: Instant) -> FleetSight {
        let mut old_until = self.old_until.clone();
        for (model, wanted) in &state.desired.models {
            let Some(known_model) = self.state.desired.models.get(model) else { continue };
            if known_model.weights < wanted.weights {
                let until = committed.map_or(now, |committed| committed + self.old_weights_span.0);
                old_until.insert((model.clone(), known_model.weights), until);
            }
        }
        old_until.retain(|_, until| now < *until);
        let mut leaving_until = self.leaving_until.clone();
        leaving_until.retain(|engine, _| is_listed(&state, engine, Listed::Leaving));
        let same_document = state.desired_edition == self.state.desired_edition && state.desired_edition.0 > 0;
        let routes = match same_document {
            true => Arc::clone(&self.routes),
            false => Arc::new(RouteTable::of(&state.desired)),
        };
        let tenants: Vec<TenantName> = state.desired.tenants.keys().cloned().collect();
        let compile = |name: &str| {
            let policy = state.desired.policies.get(name).cloned().unwrap_or_else(Policy::default);
            policy.compile(&tenants, &state.desired.kinds)
        };
        let trial_tables = state
            .desired
            .trials
            .iter()
            .map(|(tenant, policy)| (tenant.clone(), (policy.clone(), compile(policy))))
            .collect();
        let mut tenants_by_key = HashMap::new();
        for (tenant, wanted) in &state.desired.tenants {
            for key_hash in wanted.keys.values() {
                tenants_by_key.insert(key_hash.clone(), tenant.clone());
            }
        }
        FleetSight {
            default_table: compile(DEFAULT_POLICY),
            trial_tables,
            tenants_by_key,
            old_until,
            leaving_until,
            routes,
            old_weights_span: self.old_weights_span,
            disturbed: Arc::clone(&self.disturbed),
            state: Arc::new(state),
        }
    }

    /// The sight after a change that was heard of under a lease. Engines that it lists as leaving go on serving
    /// the last copy of an adapter for as long as that lease: a router that did not hear of the change would
    /// have used them no longer.
    pub fn heard_under(mut self, before: &FleetState, lease_until: Instant) -> FleetSight {
        for (engine, listed) in &self.state.listing.engines {
            if listed.listed == Listed::Leaving && is_listed(before, engine, Listed::Open) {
                self.leaving_until.insert(engine.clone(), lease_until);
            }
        }
        self
    }

    /// The sight of a whole state, told with when the weights lately given up gave way.
    pub fn starting_over(
        &self,
        state: FleetState,
        gave_way: &[(ModelName, WeightsEdition, Instant)],
        now: Instant,
    ) -> FleetSight {
        let mut sight = self.following(state, None, now);
        for (model, weights, since) in gave_way {
            let until = *since + self.old_weights_span.0;
            if now < until {
                sight.old_until.entry((model.clone(), *weights)).or_insert(until);
            }
        }
        sight
    }

    /// The weights of its first model that an engine may be used with now.
    pub fn usable_weights(&self, engine: &EngineName, now: Instant) -> Option<WeightsEdition> {
        let listed = self.state.listing.engines.get(engine)?;
        self.usable_weights_of(engine, &listed.model, now)
    }

    /// The weights of a model that an engine may be used with now: those it confirmed, or is listed with if
    /// it has confirmed none, if they are the wanted ones or old ones not yet given up; nothing if the
    /// engine does not hold the model, is not listed open or is closed.
    pub fn usable_weights_of(&self, engine: &EngineName, model: &ModelName, now: Instant) -> Option<WeightsEdition> {
        let listed = self.state.listing.engines.get(engine).filter(|listed| listed.listed == Listed::Open)?;
        self.weights_in_use(engine, listed, model, now)
    }

    /// The weights that an engine may be used with now for a request that names this model or none. A request
    /// that names none goes to the engine's first model, or, where its service has no models at all, to an
    /// engine that need not hold any.
    pub fn usable_weights_for_named(
        &self,
        engine: &EngineName,
        model: Option<&ModelName>,
        now: Instant,
    ) -> Option<WeightsEdition> {
        match model {
            Some(model) => self.usable_weights_of(engine, model, now),
            None => self.weights_without_model(engine).or_else(|| self.usable_weights(engine, now)),
        }
    }

    /// An engine of a service without models may be used while it is listed open and is not closed; nothing
    /// for one whose service has models, whether those that it holds are known or not.
    fn weights_without_model(&self, engine: &EngineName) -> Option<WeightsEdition> {
        let listed = self.state.listing.engines.get(engine).filter(|listed| listed.listed == Listed::Open)?;
        let service = self.state.desired.services.get(&listed.service)?;
        let has_no_models = service.is_without_models() && !listed.has_model();
        let is_closed = self.state.standings.get(engine).is_some_and(|standing| standing.closed);
        let may_serve = has_no_models && !is_closed && !self.state.drained.contains(engine);
        may_serve.then_some(NO_WEIGHTS)
    }

    /// The weights of a model that an engine may be used with now for a request that runs on an adapter, or on
    /// the bare model: besides what holds for every request, an engine that is listed as leaving serves an
    /// adapter that is warm at no other engine in use, until the lease has run out under which that was heard.
    pub fn usable_weights_for(
        &self,
        engine: &EngineName,
        model: &ModelName,
        adapter: Option<&AdapterId>,
        now: Instant,
    ) -> Option<WeightsEdition> {
        let usable = self.usable_weights_of(engine, model, now);
        usable.or_else(|| self.leaving_weights(engine, model, adapter?, now))
    }

    fn leaving_weights(
        &self,
        engine: &EngineName,
        model: &ModelName,
        adapter: &AdapterId,
        now: Instant,
    ) -> Option<WeightsEdition> {
        let until = self.leaving_until.get(engine)?;
        let listed = self.state.listing.engines.get(engine).filter(|listed| listed.listed == Listed::Leaving)?;
        let is_elsewhere = |other: &EngineName| self.usable_weights_of(other, model, now).is_some();
        let is_last = !self.state.adapters.warm_engines(adapter).any(is_elsewhere);
        let may_serve = now < *until && is_last && self.state.adapters.is_warm(engine, adapter);
        may_serve.then(|| self.weights_in_use(engine, listed, model, now)).flatten()
    }

    /// The weights of a model that a listed engine may be used with, whatever it is listed as.
    fn weights_in_use(
        &self,
        engine: &EngineName,
        listed: &ListedEngine,
        model: &ModelName,
        now: Instant,
    ) -> Option<WeightsEdition> {
        let unknown = Standing::default();
        let standing = self.state.standings.get(engine).unwrap_or(&unknown);
        if self.state.drained.contains(engine) || standing.closed || !listed.serves(model) {
            return None;
        }
        let held = standing.held_weights(listed, model)?;
        let wanted = self.state.desired.models.get(model)?.weights;
        let may_use = held == wanted || now < self.old_weights_until(model, held);
        may_use.then_some(held)
    }

    /// Whether any engine in use, with weights of the adapter's own model, holds the adapter warm.
    pub fn is_warm_anywhere(&self, adapter: &AdapterId, now: Instant) -> bool {
        let Some(wish) = self.state.desired.adapters.get(&adapter.name) else { return false };
        let is_usable =
            |engine: &EngineName| self.usable_weights_for(engine, &wish.model, Some(adapter), now).is_some();
        self.state.adapters.warm_engines(adapter).any(is_usable)
    }

    /// Until when weights that gave way may be used.
    fn old_weights_until(&self, model: &ModelName, weights: WeightsEdition) -> Instant {
        let since_commit = self.old_until.get(&(model.clone(), weights)).copied().unwrap_or_default();
        let disturbed = Instant(self.disturbed.load(Ordering::Relaxed));
        let since_disturbance = if disturbed == Instant(0) { disturbed } else { disturbed + self.old_weights_span.0 };
        since_commit.max(since_disturbance)
    }

    /// Every edition some engine of the model may be used with now, those that are leaving included.
    pub fn editions_in_use(&self, model: &ModelName, now: Instant) -> Vec<WeightsEdition> {
        let in_use = |(engine, listed): (&EngineName, &ListedEngine)| {
            let may_serve = listed.listed == Listed::Open || self.leaving_until.contains_key(engine);
            may_serve.then(|| self.weights_in_use(engine, listed, model, now)).flatten()
        };
        let mut editions: Vec<WeightsEdition> = self.state.listing.engines.iter().filter_map(in_use).collect();
        editions.sort();
        editions.dedup();
        editions
    }
}

fn is_listed(state: &FleetState, engine: &EngineName, wanted: Listed) -> bool {
    state.listing.engines.get(engine).is_some_and(|listed| listed.listed == wanted)
}
