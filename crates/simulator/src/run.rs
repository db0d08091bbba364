//! One seeded run: formation, faults, recovery and verdict.

use crate::prelude::*;

const FORMATION_SPAN: Span = Span::seconds(12);
const CALM_SPAN: Span = Span::seconds(20);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Seeds all random choices.
    pub seed: u64,
    /// How long faults are injected.
    pub fault_span: Span,
    /// Mean pause between faults.
    pub fault_pause_ms: u64,
    /// Whether to keep notes of what happens.
    pub keeps_notes: bool,
    /// A network cut that stays after the other faults end; service must recover regardless.
    pub lasting: Lasting,
    /// Simulates the core alone, with events in arbitrary order.
    pub disorder: bool,
    /// Which scenario with adapters to run.
    pub adapters: AdapterMode,
    /// Operators remove tenants, who return with a wall or without.
    pub tenants_return: bool,
}

/// Scenarios with requests for adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterMode {
    /// No requests for adapters.
    Nothing,
    /// Requests for adapters under all faults.
    Trouble,
    /// As `Trouble`, while a tenant's binding alternates between two adapters and engines name adapters of other
    /// tenants.
    Foreign,
    /// The load shifts between regions while an engine, a node and the conductor are lost; every question must be
    /// answered.
    Shift,
    /// The same shift, while all engines that hold one adapter are listed as leaving and all that hold another are
    /// drained.
    Leave,
}

/// A network cut that stays to the end of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lasting {
    /// All cuts heal.
    Nothing,
    /// One keeper receives nothing from the others, but can send to them.
    DeafKeeper,
    /// One keeper receives nothing from one other keeper; nothing else is cut.
    OneWay,
}

impl RunPlan {
    /// The default run of a seed.
    pub fn for_seed(seed: u64) -> RunPlan {
        RunPlan {
            seed,
            fault_span: Span::seconds(30),
            fault_pause_ms: 1500,
            keeps_notes: false,
            lasting: Lasting::Nothing,
            disorder: false,
            adapters: AdapterMode::Nothing,
            tenants_return: false,
        }
    }
}

impl RunOutcome {
    /// The numbers of the rules that were broken.
    pub fn broken_rules(&self) -> BTreeSet<u8> {
        let rules = self.violations.iter().filter_map(|text| text.strip_prefix("rule ")?.split(':').next());
        rules.filter_map(|number| number.parse().ok()).collect()
    }
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct RunOutcome {
    /// Violations of rules, as `rule N: what`.
    pub violations: Vec<String>,
    /// Attempts that engines started.
    pub starts: usize,
    /// Changes that were acknowledged.
    pub acks: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// The kinds of the injected faults, in order.
    pub fault_kinds: Vec<&'static str>,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Notes of what happened, if they were kept.
    pub notes: Vec<String>,
    /// Time from the end of the last fault until every router held a lease again.
    pub recovery: Option<Span>,
    /// Time from the start of the load shift until the adapter was loaded in the new region.
    pub warmed_after: Option<Span>,
    /// Adapter loads that engines completed.
    pub loads: u64,
}

/// Runs many plans on all CPU cores and returns the outcomes in the order of the plans.
pub fn run_many(plans: &[RunPlan]) -> Vec<RunOutcome> {
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get());
    let next = std::sync::atomic::AtomicUsize::new(0);
    let outcomes = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((index, plan)) = {
                    let index = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    plans.get(index).map(|plan| (index, plan))
                } {
                    let outcome = run_seed(plan);
                    outcomes.lock().expect("no run panics while holding the lock").push((index, outcome));
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().expect("no run panics while holding the lock");
    outcomes.sort_by_key(|(index, _)| *index);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}

/// Runs one plan.
pub fn run_seed(plan: &RunPlan) -> RunOutcome {
    if plan.disorder {
        return run_disorder(plan.seed, plan.keeps_notes);
    }
    if matches!(plan.adapters, AdapterMode::Shift | AdapterMode::Leave) {
        return run_shift(plan);
    }
    let scenario = matches!(plan.adapters, AdapterMode::Trouble | AdapterMode::Foreign)
        .then(|| Scenario::new(Instant(0) + FORMATION_SPAN + Span(plan.fault_span.0 / 2), Span::seconds(5)));
    let mut world = World::new(plan.seed, scenario);
    world.keeps_notes = plan.keeps_notes;
    let formed_at = world.now + FORMATION_SPAN;
    world.run_until(formed_at);
    let mut rng = SeededRng::new(plan.seed ^ 0x5eed);
    let mut fault_at = world.now;
    let faults_end = world.now + plan.fault_span;
    loop {
        fault_at = fault_at + Span::millis(rng.between(1, plan.fault_pause_ms * 2));
        if fault_at + Span::millis(400) >= faults_end {
            break;
        }
        world.schedule_at(fault_at, SimEvent::Fault(Fault::random(&mut rng, KEEPERS, NODES, ENGINES)));
    }
    schedule_changes(&mut world, &mut rng, faults_end, plan.lasting);
    if plan.tenants_return {
        schedule_removals(&mut world, &mut rng, faults_end);
    }
    if plan.adapters == AdapterMode::Foreign {
        world.schedule_foreign(plan.seed, faults_end);
    }
    world.run_until(faults_end);
    // Waking a frozen machine early would process its deferred events out of order.
    while world.now < world.awake_at() {
        let awake_at = world.awake_at();
        world.run_until(awake_at);
    }
    world.end_faults();
    apply_lasting_cut(&mut world, &mut rng, plan.lasting);
    let over_at = world.now;
    let mut recovery = None;
    while world.now < over_at + CALM_SPAN {
        let next_check = world.now + Span::millis(100);
        world.run_until(next_check);
        if recovery.is_none() && all_routers_leased(&world) {
            recovery = Some(world.now.since(over_at));
        }
    }
    let at = world.millis();
    world.record.events.push(EventLine::RunEnds { at });
    finish(world, recovery)
}

fn schedule_changes(world: &mut World, rng: &mut SeededRng, faults_end: Instant, lasting: Lasting) {
    let refill_span = if lasting == Lasting::Nothing { Span(0) } else { Span::seconds(16) };
    let calm_end = faults_end + refill_span + CALM_SPAN;
    let mut change_at = world.now;
    while change_at < calm_end {
        change_at = change_at + Span::millis(rng.between(50, 1500));
        world.schedule_at(change_at, SimEvent::OperatorChange);
    }
    let mut listing_at = world.now;
    while listing_at < calm_end {
        listing_at = listing_at + Span::millis(rng.between(500, 6000));
        world.schedule_at(listing_at, SimEvent::ListingChange);
    }
}

fn schedule_removals(world: &mut World, rng: &mut SeededRng, end: Instant) {
    let mut removal_at = world.now;
    while removal_at < end {
        removal_at = removal_at + Span::millis(rng.between(500, 5_000));
        world.schedule_at(removal_at, SimEvent::TenantLeaves);
    }
}

/// Applies the lasting cut, after the chain has had time to fill up again.
fn apply_lasting_cut(world: &mut World, rng: &mut SeededRng, lasting: Lasting) {
    if lasting == Lasting::Nothing {
        return;
    }
    let refilled_at = world.now + Span::seconds(16);
    world.run_until(refilled_at);
    let keeper = rng.below(KEEPERS as u64) as usize;
    let other = (keeper + 1 + rng.below(KEEPERS as u64 - 1) as usize) % KEEPERS;
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

fn all_routers_leased(world: &World) -> bool {
    world
        .nodes
        .iter()
        .all(|node| node.router.as_ref().is_some_and(|router| node.clock.read(world.now) < router.lease_until))
}

/// Checks the record of a finished run and sums up its outcome.
pub(crate) fn finish(mut world: World, recovery: Option<Span>) -> RunOutcome {
    world.total_attempts();
    if world.keeps_notes {
        let unserved: Vec<String> = world
            .record
            .callers
            .iter()
            .filter(|caller| !matches!(caller.outcome.as_str(), "whole" | "cancelled") && caller.status != 401)
            .map(|caller| format!("{caller:?}"))
            .collect();
        unserved.into_iter().for_each(|text| world.note(text));
    }
    for number in 0..world.nodes.len() {
        let subscription = format!("n{number} at the end: {:?}", world.nodes[number].subscription);
        world.note(subscription);
    }
    let mut violations: Vec<String> = check_record(&world.record)
        .into_iter()
        .map(|Violation { rule, what }| format!("rule {rule}: {what}"))
        .collect();
    violations.extend(world.extra_violations.iter().cloned());
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
    fn total_attempts(&mut self) {
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

/// Every acknowledged change must be in the state of the tail that is active at the end, under its acknowledged
/// edition.
fn lost_acks(world: &World) -> Vec<String> {
    let tail = world.keepers.iter().find_map(|keeper| {
        let coordinator = keeper.coordinator.as_ref()?;
        coordinator.tail_is_active(keeper.clock.read(world.now)).then_some(coordinator)
    });
    let Some(tail) = tail else { return vec!["rule 12: no active tail at the end".into()] };
    if world.net.cuts.is_empty() && tail.view().chain.len() != KEEPERS {
        return vec![format!("rule 12: the chain was not restored to full length: {}", join_ids(&tail.view().chain))];
    }
    world
        .acked
        .iter()
        .filter(|(request, edition)| {
            let is_recent = tail.state().edition.0 < edition.0 + 400;
            is_recent && tail.state().previous_outcome(**request) != Some(CommandOutcome::Applied(**edition))
        })
        .map(|(request, edition)| format!("rule 8: acknowledged edition {edition} of request {request} is lost"))
        .collect()
}
