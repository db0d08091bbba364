//! One seeded run: form, trouble, recovery, verdict.

use crate::prelude::*;

const FORM_SPAN: Span = Span::seconds(12);
const CALM_SPAN: Span = Span::seconds(20);

#[derive(Clone, Debug)]
pub struct RunPlan {
    pub seed: u64,
    /// How long faults go on.
    pub trouble: Span,
    /// Mean pause between faults.
    pub fault_pause_ms: u64,
    pub keeps_notes: bool,
    /// A cut that stays after the other faults are over; service must return all the same.
    pub lasting: Lasting,
}

/// What stays cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lasting {
    Nothing,
    /// One keeper hears none of the others, but is heard.
    DeafKeeper,
    /// One keeper hears another no more; nothing else is cut.
    OneWay,
}

impl RunPlan {
    pub fn of(seed: u64) -> RunPlan {
        RunPlan {
            seed,
            trouble: Span::seconds(30),
            fault_pause_ms: 1500,
            keeps_notes: false,
            lasting: Lasting::Nothing,
        }
    }
}

#[derive(Debug, Default)]
pub struct RunOutcome {
    pub violations: Vec<String>,
    pub starts: usize,
    pub acks: usize,
    pub faults: usize,
    pub notes: Vec<String>,
    /// From the end of the last fault until every node served again.
    pub recovery: Option<Span>,
}

/// Plays one seed.
pub fn play(plan: &RunPlan) -> RunOutcome {
    let mut world = World::new(plan.seed);
    world.keeps_notes = plan.keeps_notes;
    let formed_at = world.now + FORM_SPAN;
    world.run_until(formed_at);
    let mut draw = Draw::new(plan.seed ^ 0x5eed);
    let mut fault_at = world.now;
    let trouble_end = world.now + plan.trouble;
    loop {
        fault_at = fault_at + Span::millis(draw.between(1, plan.fault_pause_ms * 2));
        if fault_at + Span::millis(400) >= trouble_end {
            break;
        }
        world.at(fault_at, Happening::Fault(Fault::draw(&mut draw, KEEPERS, NODES)));
    }
    schedule_changes(&mut world, &mut draw, trouble_end, plan.lasting);
    world.run_until(trouble_end);
    world.end_faults();
    cut_lastingly(&mut world, &mut draw, plan.lasting);
    let over_at = world.now;
    let mut recovery = None;
    while world.now < over_at + CALM_SPAN {
        let next_look = world.now + Span::millis(100);
        world.run_until(next_look);
        if recovery.is_none() && all_serve(&world) {
            recovery = Some(world.now.since(over_at));
        }
    }
    let at = world.millis();
    world.record.world.push(WorldLine::RunEnds { at });
    finish(world, recovery)
}

fn schedule_changes(world: &mut World, draw: &mut Draw, trouble_end: Instant, lasting: Lasting) {
    let filling = if lasting == Lasting::Nothing { Span(0) } else { Span::seconds(16) };
    let calm_end = trouble_end + filling + CALM_SPAN;
    let mut change_at = world.now;
    while change_at < calm_end {
        change_at = change_at + Span::millis(draw.between(50, 1500));
        world.at(change_at, Happening::Operator);
    }
    let mut listing_at = world.now;
    while listing_at < calm_end {
        listing_at = listing_at + Span::millis(draw.between(500, 6000));
        world.at(listing_at, Happening::Platform);
    }
}

/// Once lost seats are filled again, makes the cut that stays.
fn cut_lastingly(world: &mut World, draw: &mut Draw, lasting: Lasting) {
    if lasting == Lasting::Nothing {
        return;
    }
    let filled_at = world.now + Span::seconds(16);
    world.run_until(filled_at);
    let keeper = draw.below(KEEPERS as u64) as usize;
    let other = (keeper + 1 + draw.below(KEEPERS as u64 - 1) as usize) % KEEPERS;
    let others: Vec<usize> = (0..KEEPERS).filter(|number| *number != keeper).collect();
    match lasting {
        Lasting::Nothing => {}
        Lasting::DeafKeeper => world.net.cut_between(&others, &[keeper], false),
        Lasting::OneWay => world.net.cut_between(&[other], &[keeper], false),
    }
    world.note(format!("lasting cut: k{keeper} {lasting:?} from k{other}"));
    let at = world.millis();
    world.record.world.push(WorldLine::LastFaultOver { at });
}

fn all_serve(world: &World) -> bool {
    world
        .nodes
        .iter()
        .all(|node| node.router.as_ref().is_some_and(|router| node.clock.read(world.now) < router.lease_until))
}

fn finish(mut world: World, recovery: Option<Span>) -> RunOutcome {
    for number in 0..world.nodes.len() {
        let courier = format!("n{number} at the end: {:?}", world.nodes[number].courier);
        world.note(courier);
    }
    let mut violations: Vec<String> =
        judge(&world.record).into_iter().map(|Violation { rule, what }| format!("rule {rule}: {what}")).collect();
    violations.extend(world.extra.iter().cloned());
    violations.extend(lost_acks(&world));
    let faults = world.record.world.iter().filter(|line| matches!(line, WorldLine::Fault { .. })).count();
    RunOutcome {
        violations,
        starts: world.record.starts().count(),
        acks: world.acked.len(),
        faults,
        notes: world.notes,
        recovery,
    }
}

/// Every acknowledged change must be in the state of the tail that acts at the end, as it was acked.
fn lost_acks(world: &World) -> Vec<String> {
    let tail = world.keepers.iter().find_map(|keeper| {
        let warden = keeper.warden.as_ref()?;
        warden.tail_is_active(keeper.clock.read(world.now)).then_some(warden)
    });
    let Some(tail) = tail else { return vec!["no tail acts at the end".into()] };
    if world.net.cuts.is_empty() && tail.view().chain.len() != KEEPERS {
        return vec![format!("the chain did not fill up again: {}", list_ids(&tail.view().chain))];
    }
    world
        .acked
        .iter()
        .filter(|(request, edition)| {
            let is_recent = tail.state().edition.0 < edition.0 + 400;
            is_recent && tail.state().settled_before(**request) != Some(Settled::Taken(**edition))
        })
        .map(|(request, edition)| format!("acked edition {edition} of request {request} is lost"))
        .collect()
}
