//! What is to be done next for each engine.

use crate::prelude::*;

/// Streams may run this long after a close; then the order to load is given all the same, and the
/// engine refuses it while anything runs.
pub const STREAM_LIMIT: Span = Span::seconds(10);
pub const FRESH: Span = Span::millis(1500);

/// What an engine said of itself, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observed {
    pub boot: String,
    pub weights: WeightsEdition,
    pub running: u64,
    pub accepting: bool,
    pub at: Instant,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Put the engine's standing into the fleet state.
    Stand {
        engine: EngineName,
        standing: EngineStatus,
    },
    Load {
        engine: EngineName,
        address: String,
        weights: WeightsEdition,
    },
    Open {
        engine: EngineName,
        address: String,
    },
    DoStep {
        plan: Edition,
        step: usize,
    },
    /// End a plan: halted with a reason, or expired.
    EndPlan {
        plan: Edition,
        halted: Option<String>,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Conductor {
    closed_since: BTreeMap<EngineName, Instant>,
    /// Since when each plan's present step is known here.
    plans_since: BTreeMap<(Edition, usize), Instant>,
}

/// An unconfirmed plan is dropped after this long with one conductor.
pub const PLAN_LIMIT: Span = Span::seconds(300);
/// A step that waits longer halts its plan.
pub const WAIT_LIMIT: Span = Span::seconds(120);

impl Conductor {
    pub fn direct(
        &mut self,
        state: &FleetState,
        observed: &BTreeMap<EngineName, Observed>,
        now: Instant,
    ) -> Vec<Act> {
        self.closed_since
            .retain(|engine, _| state.engine_statuses.get(engine).is_some_and(|standing| standing.closed));
        let mut room = room(state, observed, now);
        let mut acts = Vec::new();
        for (engine, listed) in &state.listing.engines {
            let Some(seen) = observed.get(engine).filter(|seen| now.since(seen.at) < FRESH) else { continue };
            let Some(wish) = state.desired.models.get(&listed.model) else { continue };
            if listed.listed == Listed::Open {
                acts.extend(self.tend(state, engine, listed, seen, wish.weights, &mut room, now));
            }
        }
        acts.extend(self.tend_plans(state, observed, now));
        acts
    }

    fn tend_plans(
        &mut self,
        state: &FleetState,
        observed: &BTreeMap<EngineName, Observed>,
        now: Instant,
    ) -> Vec<Act> {
        let present_steps: BTreeMap<(Edition, usize), &Plan> = state
            .plans
            .iter()
            .filter(|(_, plan)| !plan.is_over())
            .map(|(number, plan)| ((*number, plan.done), plan))
            .collect();
        self.plans_since.retain(|naming, _| present_steps.contains_key(naming));
        let mut acts = Vec::new();
        for ((number, done), plan) in present_steps {
            let waited = now.since(*self.plans_since.entry((number, done)).or_insert(now));
            let Some(step) = plan.next_step() else {
                if waited >= PLAN_LIMIT {
                    acts.push(Act::EndPlan { plan: number, halted: None });
                }
                continue;
            };
            if may_do(state, step, observed, now) {
                acts.push(Act::DoStep { plan: number, step: done });
            } else if waited >= WAIT_LIMIT {
                let reason = format!("step {} waited too long: {}", done + 1, step.description());
                acts.push(Act::EndPlan { plan: number, halted: Some(reason) });
            }
        }
        acts
    }

    #[allow(clippy::too_many_arguments)]
    fn tend(
        &mut self,
        state: &FleetState,
        engine: &EngineName,
        listed: &ListedEngine,
        seen: &Observed,
        wanted: WeightsEdition,
        room: &mut Room,
        now: Instant,
    ) -> Option<Act> {
        let standing = state.engine_statuses.get(engine).cloned().unwrap_or_default();
        let address = listed.address.clone();
        if seen.weights == wanted {
            if !seen.accepting {
                return Some(Act::Open { engine: engine.clone(), address });
            }
            let confirmed = EngineStatus {
                confirmed: Some((wanted, seen.boot.clone())),
                closed: false,
                ..EngineStatus::default()
            };
            return (standing != confirmed).then(|| Act::Stand { engine: engine.clone(), standing: confirmed });
        }
        let is_in_use = standing.confirmed.is_some() && !standing.closed;
        if is_in_use {
            if !state.drained.contains(engine) {
                let places_left = room.get_mut(&(listed.model.clone(), listed.role))?;
                *places_left = places_left.checked_sub(1)?;
            }
            let closed = EngineStatus { closed: true, ..standing };
            return Some(Act::Stand { engine: engine.clone(), standing: closed });
        }
        let since = *self.closed_since.entry(engine.clone()).or_insert(now);
        let may_load = seen.running == 0 || now.since(since) >= STREAM_LIMIT;
        may_load.then(|| Act::Load { engine: engine.clone(), address, weights: wanted })
    }
}

/// How many more engines of each model and role may be closed.
type Room = BTreeMap<(ModelName, Role), usize>;

/// Half of those that serve or would but for being closed, at least one, may be closed at a time. What
/// is drained, silent or never confirmed serves nobody and bears nothing.
fn room(state: &FleetState, observed: &BTreeMap<EngineName, Observed>, now: Instant) -> Room {
    let mut counts: BTreeMap<(ModelName, Role), (usize, usize)> = BTreeMap::new();
    for (engine, listed) in &state.listing.engines {
        let is_seen = observed.get(engine).is_some_and(|seen| now.since(seen.at) < FRESH);
        let is_open = listed.listed == Listed::Open && !state.drained.contains(engine);
        let standing = state.engine_statuses.get(engine).filter(|standing| standing.confirmed.is_some());
        let Some(standing) = standing.filter(|_| is_seen && is_open) else { continue };
        let (serving, closed) = counts.entry((listed.model.clone(), listed.role)).or_default();
        *serving += 1;
        *closed += usize::from(standing.closed);
    }
    let rooms = counts.into_iter().map(|(naming, (serving, closed))| {
        let most_closed = usize::max(serving / 2, 1);
        (naming, most_closed.saturating_sub(closed))
    });
    rooms.collect()
}

/// Whether a step's condition holds; steps that change something have none.
fn may_do(state: &FleetState, step: &Step, observed: &BTreeMap<EngineName, Observed>, now: Instant) -> bool {
    match step {
        Step::Patch(_) | Step::Drain { .. } | Step::Undrain { .. } => true,
        Step::WaitWeights { model, weights } => state
            .listing
            .engines
            .iter()
            .filter(|(_, listed)| listed.model == *model && listed.listed == Listed::Open)
            .all(|(engine, _)| {
                let standing = state.engine_statuses.get(engine);
                let confirmed = standing.and_then(|standing| standing.confirmed.as_ref());
                confirmed.is_some_and(|(edition, _)| edition >= weights)
                    && standing.is_some_and(|standing| !standing.closed)
            }),
        Step::WaitIdle { engine } => {
            let is_gone = !state.listing.engines.contains_key(engine);
            let seen = observed.get(engine).filter(|seen| now.since(seen.at) < FRESH);
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

    /// Plays the acts against engines that load at once, and returns how many rounds it took.
    fn play(
        state: &mut FleetState,
        engines: &mut BTreeMap<EngineName, Observed>,
        conductor: &mut Conductor,
    ) -> usize {
        for round in 1..100 {
            let acts = conductor.direct(state, engines, Instant(0));
            let closed_count = state.engine_statuses.values().filter(|standing| standing.closed).count();
            assert!(closed_count <= engines.len() / 2, "no more than half closed at a time");
            if acts.is_empty() {
                return round;
            }
            for act in acts {
                match act {
                    Act::Stand { engine, standing } => {
                        state.engine_statuses.insert(engine, standing);
                    }
                    Act::Load { engine, weights, .. } => {
                        let confirmed = state.engine_statuses.get(&engine).is_some_and(|standing| !standing.closed);
                        assert!(!confirmed, "only a closed engine is loaded");
                        engines.get_mut(&engine).unwrap().weights = weights;
                    }
                    Act::Open { engine, .. } => engines.get_mut(&engine).unwrap().accepting = true,
                    other => panic!("no plan is there for {other:?}"),
                }
            }
        }
        panic!("never settles")
    }

    #[test]
    fn engines_that_serve_nobody_do_not_count_among_those_that_go_on() {
        let (mut state, mut observed) = six_engines();
        for drained in ["e0", "e1", "e2"] {
            state.drained.insert(drained.into());
        }
        observed.get_mut(&EngineName::from("e3")).unwrap().at = Instant(0);
        apply(&mut state, Command::Merge { base: None, patch: r#"{"models":{"m":{"weights":2}}}"#.into() });
        let now = Instant(0) + FRESH;
        for seen in observed.iter_mut().filter(|(name, _)| name.as_str() != "e3").map(|(_, seen)| seen) {
            seen.at = now;
        }
        let acts = Conductor::default().direct(&state, &observed, now);
        let closed: Vec<&str> = acts
            .iter()
            .filter_map(|act| match act {
                Act::Stand { engine, standing } if standing.closed => Some(engine.as_str()),
                _ => None,
            })
            .collect();
        assert_eq!(closed, ["e0", "e1", "e2", "e4"], "of the two that serve, one goes on");
    }

    #[test]
    fn new_weights_go_round_in_waves_and_settle() {
        let (mut state, mut observations) = six_engines();
        let mut conductor = Conductor::default();
        apply(&mut state, Command::Merge { base: None, patch: r#"{"models":{"m":{"weights":2}}}"#.into() });
        play(&mut state, &mut observations, &mut conductor);
        for standing in state.engine_statuses.values() {
            assert_eq!(standing.confirmed, Some((WeightsEdition(2), "x".to_owned())));
            assert!(!standing.closed);
        }
    }

    /// Six engines of one model, all confirmed on its first weights.
    fn six_engines() -> (FleetState, BTreeMap<EngineName, Observed>) {
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
        let observed =
            Observed { boot: "x".into(), weights: WeightsEdition(1), running: 0, accepting: true, at: Instant(0) };
        let mut observations: BTreeMap<EngineName, Observed> =
            engine_names.iter().map(|name| (name.clone(), observed.clone())).collect();
        let mut conductor = Conductor::default();
        play(&mut state, &mut observations, &mut conductor);
        assert!(state.engine_statuses.values().all(|standing| standing.confirmed.is_some()));
        (state, observations)
    }
}
