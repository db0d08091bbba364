//! The core alone, in arbitrary order: keepers step in any order, streams between them lag, stall and break at any
//! message, and processes crash halfway through their effects and restart from what was synced. Checks the invariants
//! that hold in any order: one view per number, at most one active tail, no committed change lost or altered, and
//! operator answers that are linearizable as a single register.

use crate::prelude::*;

/// Number of random steps of a run.
const STEPS: usize = 6_000;
/// Weights of the actions in a step, in the order of the match in `step`: deliver a message, tick, advance time a
/// little, submit, start a keeper, break a stream, stall a stream, end all stalls, crash a keeper, advance time a
/// lot, retire a keeper, operator call, calm period, loss of a disk.
const NORMAL_WEIGHTS: [u64; 14] = [240, 60, 60, 12, 6, 4, 6, 6, 2, 3, 1, 10, 1, 2];
/// Weights of the same actions in aggressive runs.
const AGGRESSIVE_WEIGHTS: [u64; 14] = [200, 40, 60, 20, 30, 8, 14, 12, 4, 9, 3, 12, 1, 3];
/// The chance in percent of a change in each 50 ms of a run in order.
const USUAL_CHANGES_PERCENT: u64 = 10;
/// Number of series of overlapping outages at the end of a run.
const OUTAGE_SERIES: usize = 2;
/// The time that passes in a step of a run in order.
pub(crate) const STEP_SPAN: Span = Span::millis(50);

/// A keeper of the core simulation with its disk.
pub(crate) struct CoreKeeper {
    pub(crate) id: NodeId,
    pub(crate) coordinator: Option<Coordinator>,
    pub(crate) disk: PersistedState,
    incarnation: u64,
    /// A frozen keeper takes no input; its messages wait.
    pub(crate) is_frozen: bool,
}

impl CoreKeeper {
    pub(crate) fn empty(id: NodeId) -> CoreKeeper {
        CoreKeeper { id, coordinator: None, disk: PersistedState::default(), incarnation: 0, is_frozen: false }
    }
}

/// The keepers, the messages between them, and what has been observed of the committed state.
pub(crate) struct CoreSimulation {
    pub(crate) rng: SeededRng,
    /// Odd seeds crash and restart keepers much more often, most of all during a vote.
    is_aggressive: bool,
    now: Instant,
    pub(crate) keepers: Vec<CoreKeeper>,
    /// Messages in flight on each stream; a stream delivers in order.
    streams: BTreeMap<(usize, usize), VecDeque<Envelope>>,
    stalled: BTreeSet<(usize, usize)>,
    views: BTreeMap<ViewNumber, View>,
    committed: BTreeMap<Edition, RequestId>,
    last_committed: Edition,
    next_ticket: u64,
    operators: RegisterOperators,
    pub(crate) violations: Vec<String>,
    /// Faults and what the keepers log, if wanted.
    notes: Option<Vec<String>>,
}

fn member(number: usize, id: NodeId) -> Member {
    let address = format!("k{number}");
    Member { id, door: address.clone(), address, zone: Zone(ZONES[number].into()) }
}

/// Runs one seed and returns the violations.
pub fn run_disorder(seed: u64, keeps_notes: bool) -> RunOutcome {
    let mut core = CoreSimulation::new(seed);
    core.notes = keeps_notes.then(Vec::new);
    core.run_in_order(Span::seconds(12), USUAL_CHANGES_PERCENT);
    let formed = core.last_committed;
    for _ in 0..STEPS {
        core.step();
    }
    core.bring_all_back();
    core.run_in_order(Span::seconds(20), USUAL_CHANGES_PERCENT);
    if core.active_tails().is_empty() {
        core.violations.push("rule 12: no active tail after the end of the disorder".into());
    }
    for _ in 0..OUTAGE_SERIES {
        core.overlapping_outages();
    }
    for number in 0..KEEPERS {
        core.read(number);
    }
    core.run_in_order(Span::seconds(2), USUAL_CHANGES_PERCENT);
    if let Err(reason) = core.operators.check() {
        core.violations.push(format!("rule 8: the operators' answers are not linearizable: {reason}"));
    }
    let starts = core.operators.answered();
    let acks = (core.last_committed.0 - formed.0) as usize;
    let notes = core.notes.unwrap_or_default();
    RunOutcome { violations: core.violations, starts, acks, recovery: Some(Span(0)), notes, ..RunOutcome::default() }
}

impl CoreSimulation {
    fn new(seed: u64) -> CoreSimulation {
        let mut core = CoreSimulation {
            rng: SeededRng::new(seed ^ 0x00d1_50d3),
            is_aggressive: seed % 2 == 1,
            now: Instant(1_000_000_000),
            keepers: (1..=KEEPERS as u64).map(|id| CoreKeeper::empty(NodeId(id))).collect(),
            streams: BTreeMap::new(),
            stalled: BTreeSet::new(),
            views: BTreeMap::new(),
            committed: BTreeMap::new(),
            last_committed: Edition(0),
            next_ticket: 0,
            operators: RegisterOperators::default(),
            violations: Vec::new(),
            notes: None,
        };
        for stored in Coordinator::bootstrap(&member(0, NodeId(1)), FleetId(77), FleetState::default()) {
            persist(&mut core.keepers[0].disk, stored);
        }
        for number in 0..KEEPERS {
            core.start(number);
        }
        core
    }

    /// Notes a fault or an event of a keeper.
    pub(crate) fn note(&mut self, text: impl FnOnce() -> String) {
        let at = self.now.since(Instant(0)).as_millis();
        if let Some(notes) = self.notes.as_mut() {
            notes.push(format!("{at} {}", text()));
        }
    }

    /// Starts and thaws all keepers and ends all stalls.
    pub(crate) fn bring_all_back(&mut self) {
        self.stalled.clear();
        for number in 0..KEEPERS {
            self.keepers[number].is_frozen = false;
            self.start(number);
        }
    }

    pub(crate) fn start(&mut self, number: usize) {
        let keeper = &mut self.keepers[number];
        if keeper.coordinator.is_some() {
            return;
        }
        keeper.incarnation += 1;
        let id = keeper.id;
        let seeds = (0..3).map(|seed| format!("k{seed}")).collect();
        let settings = CoordinatorSettings {
            requires_fresh_listing: false,
            core_size: KEEPERS,
            seeds,
            ..CoordinatorSettings::default()
        };
        let incarnation = keeper.incarnation * 1_000_003 + number as u64;
        keeper.coordinator = Some(Coordinator::restore(
            member(number, keeper.id),
            keeper.disk.clone(),
            settings,
            incarnation,
            self.now,
        ));
        self.note(|| format!("k{number} started id={id}"));
    }

    pub(crate) fn kill(&mut self, number: usize) {
        self.note(|| format!("k{number} killed"));
        self.keepers[number].coordinator = None;
        self.keepers[number].is_frozen = false;
        self.streams.retain(|(_, to), _| *to != number);
    }

    /// Runs without new faults for a while: ticks and delivers everything, with a change now and then.
    pub(crate) fn run_in_order(&mut self, span: Span, changes_percent: u64) {
        let until = self.now + span;
        while self.now < until {
            self.run_step(changes_percent, 100);
        }
    }

    /// Ticks every keeper and delivers messages, each with the given chance; those of a stream that are not delivered
    /// wait for the next step.
    pub(crate) fn run_step(&mut self, changes_percent: u64, delivery_percent: u64) {
        self.now = self.now + STEP_SPAN;
        for number in 0..KEEPERS {
            self.step_keeper(number, Input::Tick, false);
        }
        if self.rng.chance(changes_percent) {
            self.submit();
        }
        let mut lagging = BTreeSet::new();
        while let Some(stream) = self.ready_streams().into_iter().find(|stream| !lagging.contains(stream)) {
            match self.rng.chance(delivery_percent) {
                true => self.deliver(stream, false),
                false => {
                    lagging.insert(stream);
                }
            }
        }
    }

    fn ready_streams(&self) -> Vec<(usize, usize)> {
        let is_ready = |stream: &(usize, usize)| !self.stalled.contains(stream) && !self.keepers[stream.1].is_frozen;
        let ready = self.streams.iter().filter(|(stream, messages)| !messages.is_empty() && is_ready(stream));
        ready.map(|(stream, _)| *stream).collect()
    }

    fn step(&mut self) {
        let number = self.rng.below(KEEPERS as u64) as usize;
        let other = (number + 1 + self.rng.below(KEEPERS as u64 - 1) as usize) % KEEPERS;
        let action_weights = if self.is_aggressive { AGGRESSIVE_WEIGHTS } else { NORMAL_WEIGHTS };
        match self.rng.weighted_index(action_weights.into_iter()) {
            0 => {
                let streams = self.ready_streams();
                if !streams.is_empty() {
                    let stream = streams[self.rng.below(streams.len() as u64) as usize];
                    let is_vote = self.streams[&stream]
                        .front()
                        .is_some_and(|first| matches!(first.message, CoreMessage::View(_)));
                    let crashes = self.rng.chance(if is_vote && self.is_aggressive { 8 } else { 1 });
                    self.deliver(stream, crashes);
                }
            }
            1 => {
                let crashes = self.rng.chance(1);
                self.step_keeper(number, Input::Tick, crashes);
            }
            2 => self.now = self.now + Span::millis(self.rng.between(1, 50)),
            3 => self.submit(),
            4 => self.start(number),
            5 => {
                self.streams.remove(&(number, other));
            }
            6 => {
                self.stalled.insert((number, other));
            }
            7 => self.stalled.clear(),
            8 => self.kill(number),
            9 => self.now = self.now + Span::millis(self.rng.between(100, 900)),
            10 => {
                self.step_keeper(number, Input::Retire, false);
                self.kill(number);
            }
            11 => self.operator_change(number, other),
            12 => self.calm_period(),
            _ => self.lose_disk(number),
        }
    }

    /// Replaces a keeper by one with an empty disk, if the fleet has to tolerate that now.
    fn lose_disk(&mut self, number: usize) {
        if self.is_fully_replicated() {
            self.replace_by_empty(number);
        }
    }

    pub(crate) fn replace_by_empty(&mut self, number: usize) {
        self.kill(number);
        // A keeper that starts on an empty folder has a new id, which no peer knows.
        self.keepers[number] = CoreKeeper::empty(NodeId(self.rng.next_u64() | 1 << 60));
        self.start(number);
    }

    /// The newest view that a keeper has stored.
    pub(crate) fn newest_view(&self) -> Option<&View> {
        let views = self.keepers.iter().filter_map(|keeper| keeper.disk.view.as_ref());
        views.max_by_key(|view| view.number)
    }

    /// Whether the fleet has recovered from the last lost disk: the replacement is in the chain and has all data.
    /// Other keepers may be down or cut off, as their disks are kept.
    pub(crate) fn is_fully_replicated(&self) -> bool {
        let Some(view) = self.newest_view() else { return false };
        let is_complete = |keeper: &CoreKeeper| view.in_chain(keeper.id) && keeper.disk.complete_view == view.number;
        let is_first = |keeper: &CoreKeeper| keeper.id.0 <= KEEPERS as u64;
        let all_voters_present =
            view.voters.iter().all(|voter| self.keepers.iter().any(|keeper| keeper.id == *voter));
        view.voters.len() == KEEPERS
            && all_voters_present
            && self.keepers.iter().all(|keeper| is_first(keeper) || is_complete(keeper))
    }

    /// Lets messages flow among the running keepers for a while, with operator calls in between.
    fn calm_period(&mut self) {
        self.stalled.clear();
        for _ in 0..self.rng.between(1, 5) {
            let number = self.rng.below(KEEPERS as u64) as usize;
            self.operator_change(number, (number + 1) % KEEPERS);
            let span = Span::millis(self.rng.between(50, 600));
            self.run_in_order(span, USUAL_CHANGES_PERCENT);
        }
    }

    /// One operator calls a keeper, or two operators call two keepers at once.
    fn operator_change(&mut self, number: usize, other: usize) {
        match self.rng.below(10) {
            0..=3 => self.read(number),
            4..=6 => {
                let change = self.operators.random_change(&mut self.rng);
                self.send_change(number, change);
            }
            7 => {
                let change = self.operators.random_change(&mut self.rng);
                self.send_change(number, change);
                let rival = self.operators.random_rival(&mut self.rng);
                self.send_change(other, rival);
            }
            _ => {
                if let Some(change) = self.operators.random_resend(&mut self.rng) {
                    self.send_change(number, change);
                }
            }
        }
    }

    fn read(&mut self, number: usize) {
        self.next_ticket += 1;
        self.operators.call_read(self.next_ticket);
        self.query(number, CoreQuery::Configuration);
    }

    fn send_change(&mut self, number: usize, change: ConfigurationChange) {
        self.next_ticket += 1;
        self.operators.call_change(self.next_ticket, &change);
        let command = Command::Configure(Box::new(change));
        let submission = Submission { request: RequestId(self.rng.next_u64()), command };
        self.query(number, CoreQuery::Submit(submission));
    }

    /// Sends a query under the last ticket issued.
    fn query(&mut self, number: usize, question: CoreQuery) {
        let limit = self.now + Span::seconds(3);
        self.step_keeper(number, Input::Query { ticket: self.next_ticket, query: question, deadline: limit }, false);
    }

    fn submit(&mut self) {
        let number = self.rng.below(KEEPERS as u64) as usize;
        self.next_ticket += 1;
        let patch = format!(r#"{{"kinds":["k","x{}"]}}"#, self.next_ticket);
        let submission =
            Submission { request: RequestId(self.rng.next_u64()), command: Command::Merge { base: None, patch } };
        self.query(number, CoreQuery::Submit(submission));
    }

    fn deliver(&mut self, stream: (usize, usize), crashes: bool) {
        let Some(envelope) = self.streams.get_mut(&stream).and_then(VecDeque::pop_front) else { return };
        self.step_keeper(stream.1, Input::Peer(envelope), crashes);
    }

    /// Steps a keeper and carries out its effects; with `crashes`, only some of them before the keeper is killed.
    fn step_keeper(&mut self, number: usize, input: Input, crashes: bool) {
        let now = self.now;
        let keeper = &mut self.keepers[number];
        let Some(coordinator) = keeper.coordinator.as_mut().filter(|_| !keeper.is_frozen) else { return };
        let effects = coordinator.step(input, now);
        // Writes are stored all at once, before any message is sent, or not at all.
        let (stores, sends): (Vec<Effect>, Vec<Effect>) =
            effects.into_iter().partition(|effect| matches!(effect, Effect::Store(_)));
        let completed_parts = if crashes { self.rng.below(sends.len() as u64 + 2) as usize } else { sends.len() + 1 };
        if completed_parts > 0 {
            for stored in stores {
                let Effect::Store(stored) = stored else { continue };
                persist(&mut self.keepers[number].disk, stored);
            }
            self.check_invariants(number);
        }
        for effect in sends.into_iter().take(completed_parts.saturating_sub(1)) {
            if let Effect::Outcome { ticket, outcome } = &effect {
                self.operators.record_answer(*ticket, outcome);
            }
            if let Effect::LogEvent { event, detail } = &effect {
                self.note(|| format!("k{number} {event} {detail}"));
            }
            let Effect::Send { address, envelope, .. } = effect else { continue };
            let Some(to) = (0..KEEPERS).find(|to| format!("k{to}") == address) else { continue };
            if self.keepers[to].coordinator.is_some() {
                self.streams.entry((number, to)).or_default().push_back(envelope);
            }
        }
        if crashes {
            self.kill(number);
        }
    }

    pub(crate) fn active_tails(&self) -> Vec<usize> {
        let is_active = |number: &usize| {
            self.keepers[*number].coordinator.as_ref().is_some_and(|coordinator| coordinator.tail_is_active(self.now))
        };
        (0..KEEPERS).filter(is_active).collect()
    }

    /// Checks a keeper's view and, on an active tail, the committed changes.
    fn check_invariants(&mut self, number: usize) {
        let Some(coordinator) = &self.keepers[number].coordinator else { return };
        let view = coordinator.view();
        let known_view = self.views.entry(view.number).or_insert_with(|| view.clone());
        if (&known_view.chain, &known_view.voters) != (&view.chain, &view.voters) {
            self.violations.push(format!("rule 8: two views have number {}", view.number));
        }
        if !coordinator.tail_is_active(self.now) {
            return;
        }
        let last = coordinator.last();
        if last.edition < self.last_committed {
            self.violations
                .push(format!("rule 8: the tail stands at {}, {} was committed", last.edition, self.last_committed));
        }
        self.last_committed = self.last_committed.max(last.edition);
        // Configuration changes are checked as a register instead, because a resent change is answered with the
        // record it was first applied in.
        for (request, settled) in coordinator.state().operator_submissions.iter() {
            let CommandOutcome::Applied(edition) = settled else { continue };
            let known = *self.committed.entry(*edition).or_insert(request);
            if known != request {
                self.violations.push(format!("rule 8: edition {edition} was {known} and is {request}"));
            }
        }
        let tails = self.active_tails();
        if tails.len() > 1 {
            self.violations.push(format!("rule 8: several active tails: {tails:?}"));
        }
        self.violations.truncate(20);
    }
}
