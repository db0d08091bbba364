//! One seeded run: form, trouble, recovery, verdict.

use crate::prelude::*;

const FORM_SPAN: Span = Span::seconds(12);
const CALM_SPAN: Span = Span::seconds(20);

/// What is to be played.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Everything drawn follows from it.
    pub seed: u64,
    /// How long faults go on.
    pub trouble: Span,
    /// Mean pause between faults.
    pub fault_pause_ms: u64,
    /// Whether what happens is noted down.
    pub keeps_notes: bool,
    /// A cut that stays after the other faults are over; service must return all the same.
    pub lasting: Lasting,
    /// The core alone, with everything in any order.
    pub disorder: bool,
    /// What is played of adapters.
    pub adapters: AdapterPlay,
}

/// What a run plays of adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterPlay {
    /// No requests on adapters.
    Nothing,
    /// Requests on adapters under all the faults.
    Trouble,
    /// The same, while a tenant is bound to one and the other of its adapters, and engines name adapters of
    /// other tenants.
    Foreign,
    /// A shift of the load between regions, with the loss of an engine, a node and the conductor; every
    /// question must be answered.
    Shift,
    /// The same shift; every engine that holds an adapter is listed as leaving, and every one that holds
    /// another is drained.
    Leave,
}

/// What stays cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lasting {
    /// All cuts heal.
    Nothing,
    /// One keeper hears none of the others, but is heard.
    DeafKeeper,
    /// One keeper hears another no more; nothing else is cut.
    OneWay,
}

impl RunPlan {
    /// The usual run of a seed.
    pub fn of(seed: u64) -> RunPlan {
        RunPlan {
            seed,
            trouble: Span::seconds(30),
            fault_pause_ms: 1500,
            keeps_notes: false,
            lasting: Lasting::Nothing,
            disorder: false,
            adapters: AdapterPlay::Nothing,
        }
    }
}

impl RunOutcome {
    /// The rules that were broken, each once.
    pub fn broken_rules(&self) -> BTreeSet<u8> {
        let rules = self.violations.iter().filter_map(|told| told.strip_prefix("rule ")?.split(':').next());
        rules.filter_map(|number| number.parse().ok()).collect()
    }
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct RunOutcome {
    /// What broke a rule, as `rule N: what`.
    pub violations: Vec<String>,
    /// Attempts that engines began.
    pub starts: usize,
    /// Changes that were acknowledged.
    pub acks: usize,
    /// Faults that were caused.
    pub faults: usize,
    /// The kinds of the faults caused, in order.
    pub fault_kinds: Vec<&'static str>,
    /// How requests ended, by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// What happened, if notes were kept.
    pub notes: Vec<String>,
    /// From the end of the last fault until every node served again.
    pub recovery: Option<Span>,
    /// From the beginning of a shift of the load until the adapter was warm where it went.
    pub warmed_after: Option<Span>,
    /// Loads of adapters that engines finished.
    pub loads: u64,
}

/// Plays many seeds on all of the machine's cores; the outcomes in the order of the plans.
pub fn play_many(plans: &[RunPlan]) -> Vec<RunOutcome> {
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get());
    let next = std::sync::atomic::AtomicUsize::new(0);
    let outcomes = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((place, plan)) = {
                    let place = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    plans.get(place).map(|plan| (place, plan))
                } {
                    let outcome = play(plan);
                    outcomes.lock().expect("no player panics with the lock").push((place, outcome));
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().expect("no player panics with the lock");
    outcomes.sort_by_key(|(place, _)| *place);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}

/// Plays one seed.
pub fn play(plan: &RunPlan) -> RunOutcome {
    if plan.disorder {
        return play_disorder(plan.seed);
    }
    if matches!(plan.adapters, AdapterPlay::Shift | AdapterPlay::Leave) {
        return play_shift(plan);
    }
    let scenario = matches!(plan.adapters, AdapterPlay::Trouble | AdapterPlay::Foreign)
        .then(|| Scenario::new(Instant(0) + FORM_SPAN + Span(plan.trouble.0 / 2), Span::seconds(5)));
    let mut world = World::new(plan.seed, scenario);
    world.keeps_notes = plan.keeps_notes;
    let formed_at = world.now + FORM_SPAN;
    world.run_until(formed_at);
    let mut draw = SeededRng::new(plan.seed ^ 0x5eed);
    let mut fault_at = world.now;
    let trouble_end = world.now + plan.trouble;
    loop {
        fault_at = fault_at + Span::millis(draw.between(1, plan.fault_pause_ms * 2));
        if fault_at + Span::millis(400) >= trouble_end {
            break;
        }
        world.at(fault_at, SimEvent::Fault(Fault::draw(&mut draw, KEEPERS, NODES, ENGINES)));
    }
    schedule_changes(&mut world, &mut draw, trouble_end, plan.lasting);
    if plan.adapters == AdapterPlay::Foreign {
        world.schedule_foreign(plan.seed, trouble_end);
    }
    world.run_until(trouble_end);
    // A machine woken before its time would do what waits for it out of order.
    while world.now < world.awake_at() {
        let awake_at = world.awake_at();
        world.run_until(awake_at);
    }
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
    world.record.events.push(EventLine::RunEnds { at });
    finish(world, recovery)
}

fn schedule_changes(world: &mut World, draw: &mut SeededRng, trouble_end: Instant, lasting: Lasting) {
    let filling = if lasting == Lasting::Nothing { Span(0) } else { Span::seconds(16) };
    let calm_end = trouble_end + filling + CALM_SPAN;
    let mut change_at = world.now;
    while change_at < calm_end {
        change_at = change_at + Span::millis(draw.between(50, 1500));
        world.at(change_at, SimEvent::Operator);
    }
    let mut listing_at = world.now;
    while listing_at < calm_end {
        listing_at = listing_at + Span::millis(draw.between(500, 6000));
        world.at(listing_at, SimEvent::Platform);
    }
}

/// Once lost seats are filled again, makes the cut that stays.
fn cut_lastingly(world: &mut World, draw: &mut SeededRng, lasting: Lasting) {
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
    world.record.events.push(EventLine::LastFaultOver { at });
}

fn all_serve(world: &World) -> bool {
    world
        .nodes
        .iter()
        .all(|node| node.router.as_ref().is_some_and(|router| node.clock.read(world.now) < router.lease_until))
}

pub(crate) fn finish(mut world: World, recovery: Option<Span>) -> RunOutcome {
    world.sum_attempts();
    if world.keeps_notes {
        let unserved: Vec<String> = world
            .record
            .callers
            .iter()
            .filter(|caller| !matches!(caller.outcome.as_str(), "whole" | "cancelled") && caller.status != 401)
            .map(|caller| format!("{caller:?}"))
            .collect();
        unserved.into_iter().for_each(|told| world.note(told));
    }
    for number in 0..world.nodes.len() {
        let subscription = format!("n{number} at the end: {:?}", world.nodes[number].subscription);
        world.note(subscription);
    }
    let mut violations: Vec<String> = check_record(&world.record)
        .into_iter()
        .map(|Violation { rule, what }| format!("rule {rule}: {what}"))
        .collect();
    violations.extend(world.extra.iter().cloned());
    violations.extend(lost_acks(&world));
    let mut outcomes = BTreeMap::new();
    for caller in &world.record.callers {
        let named = if caller.status == 401 { "unknown_key" } else { caller.outcome.as_str() };
        *outcomes.entry(named.to_owned()).or_insert(0) += 1;
    }
    let faults = world.record.events.iter().filter(|line| matches!(line, EventLine::Fault { .. })).count();
    RunOutcome {
        violations,
        starts: world.record.starts().count(),
        acks: world.acked.len(),
        faults,
        fault_kinds: world.fault_kinds,
        outcomes,
        notes: world.notes,
        recovery,
        warmed_after: None,
        loads: 0,
    }
}

impl World {
    fn sum_attempts(&mut self) {
        let mut last_counts: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for line in &self.record.events {
            if let EventLine::Sample { router, attempts, retries, .. } = line {
                last_counts.insert(router, (*attempts, *retries));
            }
        }
        self.record.attempts = last_counts.values().map(|(attempts, _)| attempts).sum();
        self.record.retries = last_counts.values().map(|(_, retries)| retries).sum();
    }
}

/// Every acknowledged change must be in the state of the tail that acts at the end, as it was acked.
fn lost_acks(world: &World) -> Vec<String> {
    let tail = world.keepers.iter().find_map(|keeper| {
        let coordinator = keeper.coordinator.as_ref()?;
        coordinator.tail_is_active(keeper.clock.read(world.now)).then_some(coordinator)
    });
    let Some(tail) = tail else { return vec!["rule 12: no tail acts at the end".into()] };
    if world.net.cuts.is_empty() && tail.view().chain.len() != KEEPERS {
        return vec![format!("rule 12: the chain did not fill up again: {}", join_ids(&tail.view().chain))];
    }
    world
        .acked
        .iter()
        .filter(|(request, edition)| {
            let is_recent = tail.state().edition.0 < edition.0 + 400;
            is_recent && tail.state().previous_outcome(**request) != Some(CommandOutcome::Applied(**edition))
        })
        .map(|(request, edition)| format!("rule 8: acked edition {edition} of request {request} is lost"))
        .collect()
}
