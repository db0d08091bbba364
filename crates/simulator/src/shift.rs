//! One run of a load shift: the load moves between regions while an engine, a node and the conductor are lost, and
//! every question must be answered.

use crate::prelude::*;

const FORMATION_SPAN: Span = Span::seconds(24);
const CALM_SPAN: Span = Span::seconds(20);

/// Runs one seed of a load shift between the regions, with the plan's losses at random times around it.
pub fn run_shift(plan: &RunPlan) -> RunOutcome {
    let mut rng = SeededRng::new(plan.seed ^ 0xada9_7e55);
    let start = Instant(1_000_000_000);
    let shift_at = start + FORMATION_SPAN;
    let shift_span = Span::millis(rng.between(500, 8_000));
    let mut world = World::new(plan.seed, Some(Scenario::new(shift_at, shift_span)));
    world.keeps_notes = plan.keeps_notes;
    let with_machine = rng.chance(50);
    for loss in losses(plan, with_machine, &mut rng) {
        let at = shift_at + Span::millis(rng.between(0, 12_000));
        world.schedule_at(at, SimEvent::AdapterLoss(loss));
    }
    if rng.chance(50) {
        let at = shift_at + Span::millis(rng.between(0, 10_000));
        world.schedule_at(at, SimEvent::RaiseRevision);
    }
    // Requests that arrived before every adapter was loaded are not judged.
    world.run_until(shift_at);
    world.discard_questions();
    let over_at = shift_at + Span::seconds(22);
    world.run_until(over_at);
    let at = world.millis();
    world.record.events.push(EventLine::LastFaultOver { at });
    let ends_at = over_at + CALM_SPAN;
    world.run_until(ends_at);
    let at = world.millis();
    world.record.events.push(EventLine::RunEnds { at });
    finish_shift(world)
}

/// The losses around the shift, in the order in which their times are drawn.
fn losses(plan: &RunPlan, with_machine: bool, rng: &mut SeededRng) -> Vec<Loss> {
    match plan.adapters {
        AdapterMode::Leave => {
            let first = rng.below(ADAPTER_TENANTS.len() as u64) as usize;
            let second = (first + 1) % ADAPTER_TENANTS.len();
            vec![Loss::Listing(first), Loss::Drain(second)]
        }
        _ => {
            let node = rng.below(NODES as u64) as usize;
            vec![Loss::Engine { with_machine }, Loss::Node(node), Loss::Conductor]
        }
    }
}

fn finish_shift(mut world: World) -> RunOutcome {
    let warmed_after =
        world.scenario.as_ref().and_then(|scenario| Some(scenario.warmed_at?.since(scenario.shift_at)));
    let loads = world.scenario.as_ref().map_or(0, |scenario| scenario.loads);
    // Questions asked too late to be answered within the run are not judged.
    let ends_at = world.millis();
    let unfinished: BTreeSet<String> = world
        .callers
        .iter()
        .filter(|caller| caller.line.at + QUESTION_TIMEOUT.as_millis() + 500 >= ends_at)
        .map(|caller| caller.line.question.clone())
        .collect();
    let judged = world.record.callers.iter_mut().filter(|line| unfinished.contains(&line.question));
    judged.for_each(|line| line.question.clear());
    let unanswered = check_questions(&world.record, QUESTION_TIMEOUT.as_millis() + 500);
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for line in world.record.callers.iter().filter(|line| !line.question.is_empty()) {
        *ends.entry(line.outcome.clone()).or_default() += 1;
    }
    let mut outcome = finish(world, None);
    outcome.outcomes = ends;
    outcome.violations.extend(unanswered.into_iter().map(|text| format!("rule 14: {text}")));
    (outcome.warmed_after, outcome.loads) = (warmed_after, loads);
    outcome
}

impl World {
    /// Excludes all questions asked so far from the verdict.
    fn discard_questions(&mut self) {
        for caller in &mut self.callers {
            caller.line.question.clear();
            caller.request.question = None;
        }
        self.record.callers.iter_mut().for_each(|line| line.question.clear());
    }

    /// An operator sets a newer revision of one of the adapters.
    pub fn raise_revision(&mut self) {
        let (_, adapter) = ADAPTER_TENANTS[self.rng.below(ADAPTER_TENANTS.len() as u64) as usize];
        let keeper = self.rng.below(KEEPERS as u64) as usize;
        let patch = format!(r#"{{"adapters":{{"{adapter}":{{"revision":2}}}}}}"#);
        self.submit_patch(keeper, patch, ChangeKind::Other);
    }
}
