//! A snapshot of the fleet state in force on this router, with data derived once at each change: compiled policy
//! tables, the tenants by key hash, and the deadlines for the use of old weights.

use crate::prelude::*;

/// How long old weights may be used after newer ones were committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldWeightsLimits {
    /// How long requests are sent to engines on the old weights.
    pub send: Span,
    /// How long responses may begin on the old weights.
    pub start: Span,
    /// How long after a restart of a keeper the times begin anew, if they have not passed by then; never if `None`.
    pub settle: Option<Span>,
}

impl Default for OldWeightsLimits {
    fn default() -> OldWeightsLimits {
        OldWeightsLimits { send: Span::seconds(15), start: Span::millis(16_200), settle: None }
    }
}

/// The weights edition of an engine that holds no model.
pub const NO_WEIGHTS: WeightsEdition = WeightsEdition(0);

/// The policy of every tenant that is not on trial.
pub const DEFAULT_POLICY: &str = "default";

/// The fleet state in force on a router, with derived data.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// The state in force on this router.
    pub state: Arc<FleetState>,
    /// The default policy, compiled.
    pub default_table: WeightTable,
    /// For each tenant on trial, the name of its policy and the compiled policy.
    pub trial_tables: BTreeMap<TenantName, (String, WeightTable)>,
    /// Tenants by the hashes of their keys.
    pub tenants_by_key: HashMap<String, TenantName>,
    /// Until when an edition that is no longer desired may be used. The time counts from the first newer edition;
    /// later editions don't extend it.
    pub old_weights_deadlines: BTreeMap<(ModelName, WeightsEdition), Instant>,
    /// Until when leaving engines may serve the last copy of an adapter.
    pub leaving_deadlines: BTreeMap<EngineName, Instant>,
    /// The compiled routes.
    pub routes: Arc<RouteTable>,
    /// How long old weights may be used after newer ones were committed.
    pub old_weights_limits: OldWeightsLimits,
    /// When a keeper's process was last known to run before a restart.
    pub last_restart: Instant,
}

impl FleetSnapshot {
    /// The snapshot after a change. `committed` is the earliest time of the change's commit; if it is unknown, old
    /// weights are no longer used from now on.
    pub fn after_change(&self, state: FleetState, committed: Option<Instant>, now: Instant) -> FleetSnapshot {
        let mut old_weights_deadlines = self.old_weights_deadlines.clone();
        for (model, wanted) in &state.desired.models {
            let Some(known_model) = self.state.desired.models.get(model) else { continue };
            if known_model.weights < wanted.weights {
                let until = committed.map_or(now, |committed| self.deadline_after(committed));
                old_weights_deadlines.insert((model.clone(), known_model.weights), until);
            }
        }
        // Kept for a while after they have passed, for requests on their way.
        old_weights_deadlines.retain(|_, until| now < *until + self.old_weights_limits.start);
        let mut leaving_deadlines = self.leaving_deadlines.clone();
        leaving_deadlines.retain(|engine, _| is_listed(&state, engine, Listed::Leaving));
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
        FleetSnapshot {
            default_table: compile(DEFAULT_POLICY),
            trial_tables,
            tenants_by_key,
            old_weights_deadlines,
            leaving_deadlines,
            routes,
            old_weights_limits: self.old_weights_limits,
            last_restart: self.last_restart,
            state: Arc::new(state),
        }
    }

    /// Sets the deadlines of engines that the change lists as leaving: they serve the last copy of an adapter until
    /// the end of the lease under which the change was received. A router that missed the change could not have
    /// used them for longer than that.
    pub fn with_leaving_deadline(mut self, before: &FleetState, lease_until: Instant) -> FleetSnapshot {
        for (engine, listed) in &self.state.listing.engines {
            if listed.listed == Listed::Leaving && is_listed(before, engine, Listed::Open) {
                self.leaving_deadlines.insert(engine.clone(), lease_until);
            }
        }
        self
    }

    /// The snapshot of a fully transferred state, which comes with the times at which recent editions were replaced.
    pub fn after_full_transfer(
        &self,
        state: FleetState,
        replaced_weights: &[(ModelName, WeightsEdition, Instant)],
        now: Instant,
    ) -> FleetSnapshot {
        let mut snapshot = self.after_change(state, None, now);
        for (model, weights, since) in replaced_weights {
            let until = self.deadline_after(*since);
            if now < until {
                snapshot.old_weights_deadlines.entry((model.clone(), *weights)).or_insert(until);
            }
        }
        snapshot
    }

    /// The usable weights of an engine's first model.
    pub fn usable_weights(&self, engine: &EngineName, now: Instant) -> Option<WeightsEdition> {
        let listed = self.state.listing.engines.get(engine)?;
        self.usable_weights_of(engine, &listed.model, now)
    }

    /// The usable weights of a model on an engine: those that it confirmed, or is listed with if it has confirmed
    /// none, if they are the desired ones or old ones before their deadline; none if the engine doesn't hold the
    /// model, is not listed open or is closed.
    pub fn usable_weights_of(&self, engine: &EngineName, model: &ModelName, now: Instant) -> Option<WeightsEdition> {
        let listed = self.state.listing.engines.get(engine).filter(|listed| listed.listed == Listed::Open)?;
        self.weights_in_use(engine, listed, model, now)
    }

    /// The usable weights of an engine for a request with or without a model name. Without a name, the engine's first
    /// model is used; if its service has no models at all, the engine need not hold any.
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

    /// `NO_WEIGHTS` for a usable engine of a service without models, which must be listed open and not closed; none
    /// if its service has models, whether or not the engine's own are known.
    fn weights_without_model(&self, engine: &EngineName) -> Option<WeightsEdition> {
        let listed = self.state.listing.engines.get(engine).filter(|listed| listed.listed == Listed::Open)?;
        let service = self.state.desired.services.get(&listed.service)?;
        let has_no_models = service.is_without_models() && !listed.has_model();
        let is_closed = self.state.engine_statuses.get(engine).is_some_and(|status| status.closed);
        let may_serve = has_no_models && !is_closed && !self.state.drained.contains(engine);
        may_serve.then_some(NO_WEIGHTS)
    }

    /// The usable weights of a model on an engine for a request with or without an adapter. In addition to the rules
    /// for all requests, a leaving engine serves an adapter that is warm on no other usable engine, until the lease
    /// has expired under which the change was received.
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
        let until = self.leaving_deadlines.get(engine)?;
        let listed = self.state.listing.engines.get(engine).filter(|listed| listed.listed == Listed::Leaving)?;
        let is_elsewhere = |other: &EngineName| self.usable_weights_of(other, model, now).is_some();
        let is_last = !self.state.adapters.warm_engines(adapter).any(is_elsewhere);
        let may_serve = now < *until && is_last && self.state.adapters.is_warm(engine, adapter);
        may_serve.then(|| self.weights_in_use(engine, listed, model, now)).flatten()
    }

    /// The usable weights of a model on a listed engine, whether it is open or leaving.
    fn weights_in_use(
        &self,
        engine: &EngineName,
        listed: &ListedEngine,
        model: &ModelName,
        now: Instant,
    ) -> Option<WeightsEdition> {
        let unknown = EngineStatus::default();
        let status = self.state.engine_statuses.get(engine).unwrap_or(&unknown);
        if self.state.drained.contains(engine) || status.closed || !listed.serves(model) {
            return None;
        }
        let held = status.held_weights(listed, model)?;
        let wanted = self.state.desired.models.get(model)?.weights;
        let may_use = held == wanted || now < self.old_weights_until(model, held);
        may_use.then_some(held)
    }

    /// Whether the adapter is warm on any engine that is usable with the weights of the adapter's model.
    pub fn is_warm_anywhere(&self, adapter: &AdapterId, now: Instant) -> bool {
        let Some(spec) = self.state.desired.adapters.get(&adapter.name) else { return false };
        let is_usable =
            |engine: &EngineName| self.usable_weights_for(engine, &spec.model, Some(adapter), now).is_some();
        self.state.adapters.warm_engines(adapter).any(is_usable)
    }

    /// How long ago this router stopped using these weights; `None` if it still may use them.
    pub fn time_since_given_up(&self, model: &ModelName, weights: WeightsEdition, now: Instant) -> Option<Span> {
        let is_old = self.state.desired.models.get(model).is_some_and(|spec| weights < spec.weights);
        let until = self.old_weights_until(model, weights);
        (is_old && until <= now).then(|| now.since(until))
    }

    /// Until when a response may begin on these weights; `None` if they are not old.
    pub fn latest_start(&self, model: &ModelName, weights: WeightsEdition) -> Option<Instant> {
        let is_old = self.state.desired.models.get(model).is_some_and(|spec| weights < spec.weights);
        let limits = self.old_weights_limits;
        let after_send = Span(limits.start.0.saturating_sub(limits.send.0));
        is_old.then(|| self.old_weights_until(model, weights) + after_send)
    }

    /// Until when replaced weights may be used.
    pub fn old_weights_until(&self, model: &ModelName, weights: WeightsEdition) -> Instant {
        self.old_weights_deadlines.get(&(model.clone(), weights)).copied().unwrap_or_default()
    }

    /// The deadline of weights that were replaced at an instant.
    fn deadline_after(&self, replaced: Instant) -> Instant {
        self.extended(replaced + self.old_weights_limits.send)
    }

    /// A deadline, later if a keeper was restarted before it.
    fn extended(&self, deadline: Instant) -> Instant {
        match self.old_weights_limits.settle {
            Some(settle) if self.last_restart < deadline => {
                deadline.max(self.last_restart + settle + self.old_weights_limits.send)
            }
            _ => deadline,
        }
    }

    /// The snapshot once a keeper is known to have been restarted; `None` if that changes nothing. Weights that were
    /// given up before the restart stay given up.
    pub fn after_restart(&self, restarted: Instant) -> Option<FleetSnapshot> {
        if restarted <= self.last_restart || self.old_weights_limits.settle.is_none() {
            return None;
        }
        let mut snapshot = FleetSnapshot { last_restart: restarted, ..self.clone() };
        let extended =
            self.old_weights_deadlines.iter().map(|(edition, until)| (edition.clone(), snapshot.extended(*until)));
        snapshot.old_weights_deadlines = extended.collect();
        Some(snapshot)
    }

    /// All usable weights editions of a model, including those on leaving engines.
    pub fn editions_in_use(&self, model: &ModelName, now: Instant) -> Vec<WeightsEdition> {
        let in_use = |(engine, listed): (&EngineName, &ListedEngine)| {
            let may_serve = listed.listed == Listed::Open || self.leaving_deadlines.contains_key(engine);
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
