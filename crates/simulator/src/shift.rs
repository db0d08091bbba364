//! One seed of a shift: the load moves between the regions, an engine, a node and the conductor are lost
//! around it, and every question must have been answered.

use crate::prelude::*;

const FORM_SPAN: Span = Span::seconds(24);
const CALM_SPAN: Span = Span::seconds(20);

/// Plays one seed: a shift of the load between the regions, and the losses of the play at drawn moments
/// around it.
pub fn play_shift(plan: &RunPlan) -> RunOutcome {
    let mut draw = SeededRng::new(plan.seed ^ 0xada9_7e55);
    let start = Instant(1_000_000_000);
    let shift_at = start + FORM_SPAN;
    let shift_span = Span::millis(draw.between(500, 8_000));
    let mut world = World::new(plan.seed, Some(Scenario::new(shift_at, shift_span)));
    world.keeps_notes = plan.keeps_notes;
    let with_machine = draw.chance(50);
    for loss in losses(plan, with_machine, &mut draw) {
        let at = shift_at + Span::millis(draw.between(0, 12_000));
        world.at(at, SimEvent::AdapterLoss(loss));
    }
    if draw.chance(50) {
        let at = shift_at + Span::millis(draw.between(0, 10_000));
        world.at(at, SimEvent::RaisesRevision);
    }
    // Requests that came before every adapter was warm are not judged.
    world.run_until(shift_at);
    world.forget_callers();
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

/// What is lost around the shift, in the order in which the moments are drawn.
fn losses(plan: &RunPlan, with_machine: bool, draw: &mut SeededRng) -> Vec<Loss> {
    match plan.adapters {
        AdapterPlay::Leave => {
            let first = draw.below(ADAPTED.len() as u64) as usize;
            let second = (first + 1) % ADAPTED.len();
            vec![Loss::Listing(first), Loss::Drain(second)]
        }
        _ => {
            let node = draw.below(NODES as u64) as usize;
            vec![Loss::Engine { with_machine }, Loss::Node(node), Loss::Conductor]
        }
    }
}

fn finish_shift(mut world: World) -> RunOutcome {
    let warmed_after =
        world.scenario.as_ref().and_then(|scenario| Some(scenario.warmed_at?.since(scenario.shift_at)));
    let loads = world.scenario.as_ref().map_or(0, |scenario| scenario.loads);
    // What was asked too late to be answered within the run is not judged.
    let ends_at = world.millis();
    let open: BTreeSet<String> = world
        .callers
        .iter()
        .filter(|caller| caller.line.at + QUESTION_SPAN.as_millis() + 500 >= ends_at)
        .map(|caller| caller.line.question.clone())
        .collect();
    let judged = world.record.callers.iter_mut().filter(|line| open.contains(&line.question));
    judged.for_each(|line| line.question.clear());
    let unanswered = check_questions(&world.record, QUESTION_SPAN.as_millis() + 500);
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for line in world.record.callers.iter().filter(|line| !line.question.is_empty()) {
        *ends.entry(line.outcome.clone()).or_default() += 1;
    }
    let mut outcome = finish(world, None);
    outcome.outcomes = ends;
    outcome.violations.extend(unanswered.into_iter().map(|told| format!("rule 14: {told}")));
    (outcome.warmed_after, outcome.loads) = (warmed_after, loads);
    outcome
}

impl World {
    /// Questions asked up to now are not judged for their answers.
    fn forget_callers(&mut self) {
        for caller in &mut self.callers {
            caller.line.question.clear();
            caller.request.question = None;
        }
        self.record.callers.iter_mut().for_each(|line| line.question.clear());
    }

    /// An operator names a newer revision of one of the adapters.
    pub fn raise_revision(&mut self) {
        let (_, adapter) = ADAPTED[self.draw.below(ADAPTED.len() as u64) as usize];
        let keeper = self.draw.below(KEEPERS as u64) as usize;
        let patch = format!(r#"{{"adapters":{{"{adapter}":{{"revision":2}}}}}}"#);
        self.change(keeper, patch, Meaning::Plain);
    }
}
