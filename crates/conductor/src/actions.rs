//! The conductor's next action for each engine and each plan.

use crate::prelude::*;

/// How long streams may run after an engine was closed. After that the order to load is given anyway; the engine
/// refuses it while requests run.
pub const DRAIN_LIMIT: Span = Span::seconds(10);
/// How long an observation of an engine is used.
pub const OBSERVATION_LIFETIME: Span = Span::millis(1500);

/// An engine's report of its state, and when it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineObservation {
    /// Identifies the running process of the engine; a restart changes it.
    pub boot: String,
    pub weights: WeightsEdition,
    /// Requests under way.
    pub running: u64,
    pub accepting: bool,
    pub at: Instant,
}

/// An action that the conductor requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConductorAction {
    /// Put the engine's status into the fleet state.
    SetEngineStatus { engine: EngineName, status: EngineStatus },
    /// Order the engine to load weights.
    Load { engine: EngineName, address: String, weights: WeightsEdition },
    /// Order the engine to accept requests.
    Open { engine: EngineName, address: String },
    /// Carry out a step of a plan.
    DoStep { plan: Edition, step: usize },
    /// End a plan: halted with a reason, or expired if `None`.
    EndPlan { plan: Edition, halted: Option<String> },
}

/// Decides the next actions; remembers only how long engines and plans have waited.
#[derive(Clone, Debug, Default)]
pub struct Conductor {
    closed_since: BTreeMap<EngineName, Instant>,
    /// When this conductor first saw each plan's current step.
    plans_since: BTreeMap<(Edition, usize), Instant>,
}

/// How long one conductor keeps a plan that is not confirmed.
pub const PLAN_LIMIT: Span = Span::seconds(300);
/// How long a step may wait before its plan is halted.
pub const WAIT_LIMIT: Span = Span::seconds(120);

impl Conductor {
    /// The actions to take now. Their outcomes show in the fleet state and in later observations.
    pub fn next_actions(
        &mut self,
        state: &FleetState,
        observed: &BTreeMap<EngineName, EngineObservation>,
        now: Instant,
    ) -> Vec<ConductorAction> {
        self.closed_since.retain(|engine, _| state.engine_statuses.get(engine).is_some_and(|status| status.closed));
        let mut slots = close_slots(state, observed, now);
        let mut actions = Vec::new();
        for (engine, listed) in &state.listing.engines {
            let Some(seen) = observed.get(engine).filter(|seen| now.since(seen.at) < OBSERVATION_LIFETIME) else {
                continue;
            };
            let Some(spec) = state.desired.models.get(&listed.model) else { continue };
            if listed.listed == Listed::Open {
                actions.extend(self.advance_engine(state, engine, listed, seen, spec.weights, &mut slots, now));
            }
        }
        actions.extend(self.advance_plans(state, observed, now));
        actions
    }

    fn advance_plans(
        &mut self,
        state: &FleetState,
        observed: &BTreeMap<EngineName, EngineObservation>,
        now: Instant,
    ) -> Vec<ConductorAction> {
        let present_steps: BTreeMap<(Edition, usize), &Plan> = state
            .plans
            .iter()
            .filter(|(_, plan)| !plan.is_over())
            .map(|(number, plan)| ((*number, plan.done), plan))
            .collect();
        self.plans_since.retain(|key, _| present_steps.contains_key(key));
        let mut actions = Vec::new();
        for ((number, done), plan) in present_steps {
            let waited = now.since(*self.plans_since.entry((number, done)).or_insert(now));
            let Some(step) = plan.next_step() else {
                if waited >= PLAN_LIMIT {
                    actions.push(ConductorAction::EndPlan { plan: number, halted: None });
                }
                continue;
            };
            if may_carry_out(state, step, observed, now) {
                actions.push(ConductorAction::DoStep { plan: number, step: done });
            } else if waited >= WAIT_LIMIT {
                let reason = format!("step {} timed out: {}", done + 1, step.description());
                actions.push(ConductorAction::EndPlan { plan: number, halted: Some(reason) });
            }
        }
        actions
    }

    #[allow(clippy::too_many_arguments)]
    fn advance_engine(
        &mut self,
        state: &FleetState,
        engine: &EngineName,
        listed: &ListedEngine,
        seen: &EngineObservation,
        wanted: WeightsEdition,
        slots: &mut CloseSlots,
        now: Instant,
    ) -> Option<ConductorAction> {
        let status = state.engine_statuses.get(engine).cloned().unwrap_or_default();
        let address = listed.address.clone();
        if seen.weights == wanted {
            if !seen.accepting {
                return Some(ConductorAction::Open { engine: engine.clone(), address });
            }
            let confirmed = EngineStatus {
                confirmed: Some((wanted, seen.boot.clone())),
                closed: false,
                ..EngineStatus::default()
            };
            return (status != confirmed)
                .then(|| ConductorAction::SetEngineStatus { engine: engine.clone(), status: confirmed });
        }
        let is_in_use = status.confirmed.is_some() && !status.closed;
        if is_in_use {
            if !state.drained.contains(engine) {
                let slots_left = slots.get_mut(&(listed.model.clone(), listed.role))?;
                *slots_left = slots_left.checked_sub(1)?;
            }
            let closed = EngineStatus { closed: true, ..status };
            return Some(ConductorAction::SetEngineStatus { engine: engine.clone(), status: closed });
        }
        let since = *self.closed_since.entry(engine.clone()).or_insert(now);
        let may_load = seen.running == 0 || now.since(since) >= DRAIN_LIMIT;
        may_load.then(|| ConductorAction::Load { engine: engine.clone(), address, weights: wanted })
    }
}

/// How many more engines of each model and role may be closed.
type CloseSlots = BTreeMap<(ModelName, Role), usize>;

/// At most half of the engines that serve, or would if they were not closed, may be closed at a time, but at
/// least one. Engines that are drained, silent or never confirmed serve no requests and are not counted.
fn close_slots(state: &FleetState, observed: &BTreeMap<EngineName, EngineObservation>, now: Instant) -> CloseSlots {
    let mut counts: BTreeMap<(ModelName, Role), (usize, usize)> = BTreeMap::new();
    for (engine, listed) in &state.listing.engines {
        let is_seen = observed.get(engine).is_some_and(|seen| now.since(seen.at) < OBSERVATION_LIFETIME);
        let is_open = listed.listed == Listed::Open && !state.drained.contains(engine);
        let status = state.engine_statuses.get(engine).filter(|status| status.confirmed.is_some());
        let Some(status) = status.filter(|_| is_seen && is_open) else { continue };
        let (serving, closed) = counts.entry((listed.model.clone(), listed.role)).or_default();
        *serving += 1;
        *closed += usize::from(status.closed);
    }
    let slots = counts.into_iter().map(|(key, (serving, closed))| {
        let max_closed = usize::max(serving / 2, 1);
        (key, max_closed.saturating_sub(closed))
    });
    slots.collect()
}

/// Whether a step may be carried out: a waiting step's condition must hold, any other step may go ahead.
fn may_carry_out(
    state: &FleetState,
    step: &Step,
    observed: &BTreeMap<EngineName, EngineObservation>,
    now: Instant,
) -> bool {
    match step {
        Step::Patch(_) | Step::Drain { .. } | Step::Undrain { .. } => true,
        Step::WaitWeights { model, weights } => state
            .listing
            .engines
            .iter()
            .filter(|(_, listed)| listed.model == *model && listed.listed == Listed::Open)
            .all(|(engine, _)| {
                let status = state.engine_statuses.get(engine);
                let confirmed = status.and_then(|status| status.confirmed.as_ref());
                confirmed.is_some_and(|(edition, _)| edition >= weights)
                    && status.is_some_and(|status| !status.closed)
            }),
        Step::WaitIdle { engine } => {
            let is_gone = !state.listing.engines.contains_key(engine);
            let seen = observed.get(engine).filter(|seen| now.since(seen.at) < OBSERVATION_LIFETIME);
            is_gone || seen.is_some_and(|seen| seen.running == 0)
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;
    use desired::prelude::{Command, CommandOutcome, Listing, Submission};

    fn apply(state: &mut FleetState, command: Command) {
        let outcome = state.apply(&Submission { request: RequestId::random(), command });
        assert!(matches!(outcome, CommandOutcome::Applied(_)), "{outcome:?}");
    }

    /// Carries out the actions with engines that load instantly; returns the number of rounds until none is left.
    fn play(
        state: &mut FleetState,
        engines: &mut BTreeMap<EngineName, EngineObservation>,
        conductor: &mut Conductor,
    ) -> usize {
        for round in 1..100 {
            let actions = conductor.next_actions(state, engines, Instant(0));
            let closed_count = state.engine_statuses.values().filter(|status| status.closed).count();
            assert!(closed_count <= engines.len() / 2, "no more than half closed at a time");
            if actions.is_empty() {
                return round;
            }
            for action in actions {
                match action {
                    ConductorAction::SetEngineStatus { engine, status } => {
                        state.engine_statuses.insert(engine, status);
                    }
                    ConductorAction::Load { engine, weights, .. } => {
                        let confirmed = state.engine_statuses.get(&engine).is_some_and(|status| !status.closed);
                        assert!(!confirmed, "only a closed engine is loaded");
                        engines.get_mut(&engine).unwrap().weights = weights;
                    }
                    ConductorAction::Open { engine, .. } => engines.get_mut(&engine).unwrap().accepting = true,
                    other => panic!("unexpected action without a plan: {other:?}"),
                }
            }
        }
        panic!("actions never end")
    }

    #[test]
    fn engines_that_do_not_serve_are_not_counted_as_serving() {
        let (mut state, mut observed) = six_engines();
        for drained in ["e0", "e1", "e2"] {
            state.drained.insert(drained.into());
        }
        observed.get_mut(&EngineName::from("e3")).unwrap().at = Instant(0);
        apply(&mut state, Command::Merge { base: None, patch: r#"{"models":{"m":{"weights":2}}}"#.into() });
        let now = Instant(0) + OBSERVATION_LIFETIME;
        for seen in observed.iter_mut().filter(|(name, _)| name.as_str() != "e3").map(|(_, seen)| seen) {
            seen.at = now;
        }
        let actions = Conductor::default().next_actions(&state, &observed, now);
        let closed: Vec<&str> = actions
            .iter()
            .filter_map(|action| match action {
                ConductorAction::SetEngineStatus { engine, status } if status.closed => Some(engine.as_str()),
                _ => None,
            })
            .collect();
        assert_eq!(closed, ["e0", "e1", "e2", "e4"], "one of the two that serve stays open");
    }

    #[test]
    fn new_weights_roll_out_in_waves_until_nothing_is_left_to_do() {
        let (mut state, mut observations) = six_engines();
        let mut conductor = Conductor::default();
        apply(&mut state, Command::Merge { base: None, patch: r#"{"models":{"m":{"weights":2}}}"#.into() });
        play(&mut state, &mut observations, &mut conductor);
        for status in state.engine_statuses.values() {
            assert_eq!(status.confirmed, Some((WeightsEdition(2), "x".to_owned())));
            assert!(!status.closed);
        }
    }

    /// Six engines of one model, all confirmed on its first weights.
    fn six_engines() -> (FleetState, BTreeMap<EngineName, EngineObservation>) {
        let mut state = FleetState::default();
        apply(&mut state, Command::Merge { base: None, patch: r#"{"models":{"m":{"weights":1}}}"#.into() });
        let engine_names: Vec<EngineName> = (0..6).map(|number| EngineName(format!("e{number}"))).collect();
        let listed = ListedEngine {
            address: "127.0.0.1:1".into(),
            zone: "a".into(),
            model: "m".into(),
            role: Default::default(),
            listed: Listed::Open,
            ..ListedEngine::default()
        };
        let engines = engine_names.iter().map(|name| (name.clone(), listed.clone())).collect();
        apply(&mut state, Command::List(Listing { boot: "b".into(), number: ListingNumber(1), engines }));
        let observed = EngineObservation {
            boot: "x".into(),
            weights: WeightsEdition(1),
            running: 0,
            accepting: true,
            at: Instant(0),
        };
        let mut observations: BTreeMap<EngineName, EngineObservation> =
            engine_names.iter().map(|name| (name.clone(), observed.clone())).collect();
        let mut conductor = Conductor::default();
        play(&mut state, &mut observations, &mut conductor);
        assert!(state.engine_statuses.values().all(|status| status.confirmed.is_some()));
        (state, observations)
    }
}
