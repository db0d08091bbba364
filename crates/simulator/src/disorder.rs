//! The core alone, in disorder: keepers step in any order, streams between them lag, stall and break
//! at any message, processes end in the midst of what they carry out and start again on what was
//! synced. Held against what must stand in any order: one view for each number, one acting tail,
//! nothing committed that is lost or changed, and operators' answers that one register can have given.

use crate::prelude::*;

const STEPS: usize = 6_000;
/// How often each act is drawn: deliver, pulse, a little time, submit, start, break a stream, stall one,
/// end stalls, end a keeper, much time, stop one in good order, an operator's call, a calm spell, the loss of
/// a disk.
const STEADY: [u64; 14] = [240, 60, 60, 12, 6, 4, 6, 6, 2, 3, 1, 10, 1, 2];
const HASTY: [u64; 14] = [200, 40, 60, 20, 30, 8, 14, 12, 4, 9, 3, 12, 1, 3];

struct CoreKeeper {
    id: NodeId,
    coordinator: Option<Coordinator>,
    disk: PersistedState,
    life: u64,
}

impl CoreKeeper {
    fn empty(id: NodeId) -> CoreKeeper {
        CoreKeeper { id, coordinator: None, disk: PersistedState::default(), life: 0 }
    }
}

struct Core {
    draw: SeededRng,
    /// Half of the seeds lose and restart keepers much more often, most of all in a vote.
    hasty: bool,
    now: Instant,
    keepers: Vec<CoreKeeper>,
    /// Streams, each in its own order.
    ways: BTreeMap<(usize, usize), VecDeque<Envelope>>,
    stalled: BTreeSet<(usize, usize)>,
    views: BTreeMap<ViewNumber, View>,
    committed: BTreeMap<Edition, RequestId>,
    last_committed: Edition,
    next_ticket: u64,
    operators: RegisterOperators,
    found: Vec<String>,
}

fn member(number: usize, id: NodeId) -> Member {
    let address = format!("k{number}");
    Member { id, door: address.clone(), address, zone: Zone(ZONES[number].into()) }
}

/// Plays one seed; what was broken.
pub fn play_disorder(seed: u64) -> RunOutcome {
    let mut core = Core::new(seed);
    core.in_order(Span::seconds(12));
    let formed = core.last_committed;
    for _ in 0..STEPS {
        core.step();
    }
    core.stalled.clear();
    for number in 0..KEEPERS {
        core.start(number);
    }
    core.in_order(Span::seconds(20));
    if core.acting_tails().is_empty() {
        core.found.push("rule 12: no tail acts after the disorder".into());
    }
    for number in 0..KEEPERS {
        core.read(number);
    }
    core.in_order(Span::seconds(2));
    if let Err(reason) = core.operators.judge() {
        core.found.push(format!("rule 8: operators' answers are of no single register: {reason}"));
    }
    let starts = core.operators.answered();
    let acks = (core.last_committed.0 - formed.0) as usize;
    RunOutcome { violations: core.found, starts, acks, recovery: Some(Span(0)), ..RunOutcome::default() }
}

impl Core {
    fn new(seed: u64) -> Core {
        let mut core = Core {
            draw: SeededRng::new(seed ^ 0x00d1_50d3),
            hasty: seed % 2 == 1,
            now: Instant(1_000_000_000),
            keepers: (1..=KEEPERS as u64).map(|id| CoreKeeper::empty(NodeId(id))).collect(),
            ways: BTreeMap::new(),
            stalled: BTreeSet::new(),
            views: BTreeMap::new(),
            committed: BTreeMap::new(),
            last_committed: Edition(0),
            next_ticket: 0,
            operators: RegisterOperators::default(),
            found: Vec::new(),
        };
        for stored in Coordinator::bootstrap(&member(0, NodeId(1)), FleetId(77), FleetState::default()) {
            keep(&mut core.keepers[0].disk, stored);
        }
        for number in 0..KEEPERS {
            core.start(number);
        }
        core
    }

    fn start(&mut self, number: usize) {
        let keeper = &mut self.keepers[number];
        if keeper.coordinator.is_some() {
            return;
        }
        keeper.life += 1;
        let seeds = (0..3).map(|seed| format!("k{seed}")).collect();
        let wishes = CoordinatorSettings {
            requires_fresh_listing: false,
            core_size: KEEPERS,
            seeds,
            ..CoordinatorSettings::default()
        };
        let life = keeper.life * 1_000_003 + number as u64;
        keeper.coordinator =
            Some(Coordinator::restore(member(number, keeper.id), keeper.disk.clone(), wishes, life, self.now));
    }

    fn end(&mut self, number: usize) {
        self.keepers[number].coordinator = None;
        self.ways.retain(|(_, to), _| *to != number);
    }

    /// Everything in good order for a while, with a change now and then.
    fn in_order(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::millis(50);
            for number in 0..KEEPERS {
                self.feed(number, Input::Tick, false);
            }
            if self.draw.chance(10) {
                self.submit();
            }
            while let Some(way) = self.open_ways().first().copied() {
                self.deliver(way, false);
            }
        }
    }

    fn open_ways(&self) -> Vec<(usize, usize)> {
        let lively = self.ways.iter().filter(|(way, messages)| !messages.is_empty() && !self.stalled.contains(way));
        lively.map(|(way, _)| *way).collect()
    }

    fn step(&mut self) {
        let number = self.draw.below(KEEPERS as u64) as usize;
        let other = (number + 1 + self.draw.below(KEEPERS as u64 - 1) as usize) % KEEPERS;
        let acts = if self.hasty { HASTY } else { STEADY };
        match self.draw.weighted_index(acts.into_iter()) {
            0 => {
                let ways = self.open_ways();
                if !ways.is_empty() {
                    let way = ways[self.draw.below(ways.len() as u64) as usize];
                    let votes =
                        self.ways[&way].front().is_some_and(|first| matches!(first.message, CoreMessage::View(_)));
                    let ends = self.draw.chance(if votes && self.hasty { 8 } else { 1 });
                    self.deliver(way, ends);
                }
            }
            1 => {
                let ends = self.draw.chance(1);
                self.feed(number, Input::Tick, ends);
            }
            2 => self.now = self.now + Span::millis(self.draw.between(1, 50)),
            3 => self.submit(),
            4 => self.start(number),
            5 => {
                self.ways.remove(&(number, other));
            }
            6 => {
                self.stalled.insert((number, other));
            }
            7 => self.stalled.clear(),
            8 => self.end(number),
            9 => self.now = self.now + Span::millis(self.draw.between(100, 900)),
            10 => {
                self.feed(number, Input::Retire, false);
                self.end(number);
            }
            11 => self.operate(number, other),
            12 => self.be_calm(),
            _ => self.lose_disk(number),
        }
    }

    /// A keeper's disk is lost and an empty one comes in its place, if the fleet is to bear that now.
    fn lose_disk(&mut self, number: usize) {
        if !self.is_made_up_for() {
            return;
        }
        self.end(number);
        // A life of an empty folder is none that anybody has met.
        self.keepers[number] = CoreKeeper::empty(NodeId(self.draw.next_u64() | 1 << 60));
        self.start(number);
    }

    /// Whether the fleet is whole again after the last lost disk: what was put in its place is in the chain and
    /// has everything. Others may be down or cut off; their disks are kept.
    fn is_made_up_for(&self) -> bool {
        let views = self.keepers.iter().filter_map(|keeper| keeper.disk.view.as_ref());
        let Some(view) = views.max_by_key(|view| view.number) else { return false };
        let holds_all = |keeper: &CoreKeeper| view.in_chain(keeper.id) && keeper.disk.complete_view == view.number;
        let is_first = |keeper: &CoreKeeper| keeper.id.0 <= KEEPERS as u64;
        let nobody_is_missed = view.voters.iter().all(|voter| self.keepers.iter().any(|keeper| keeper.id == *voter));
        view.voters.len() == KEEPERS
            && nobody_is_missed
            && self.keepers.iter().all(|keeper| is_first(keeper) || holds_all(keeper))
    }

    /// Streams flow for a while, among the keepers that run, and operators go on.
    fn be_calm(&mut self) {
        self.stalled.clear();
        for _ in 0..self.draw.between(1, 5) {
            let number = self.draw.below(KEEPERS as u64) as usize;
            self.operate(number, (number + 1) % KEEPERS);
            let span = Span::millis(self.draw.between(50, 600));
            self.in_order(span);
        }
    }

    /// An operator calls a keeper, or two call two.
    fn operate(&mut self, number: usize, other: usize) {
        match self.draw.below(10) {
            0..=3 => self.read(number),
            4..=6 => {
                let change = self.operators.draw_change(&mut self.draw);
                self.send_change(number, change);
            }
            7 => {
                let change = self.operators.draw_change(&mut self.draw);
                self.send_change(number, change);
                let rival = self.operators.draw_rival(&mut self.draw);
                self.send_change(other, rival);
            }
            _ => {
                if let Some(change) = self.operators.draw_again(&mut self.draw) {
                    self.send_change(number, change);
                }
            }
        }
    }

    fn read(&mut self, number: usize) {
        self.next_ticket += 1;
        self.operators.call_read(self.next_ticket);
        self.ask(number, CoreQuery::Configuration);
    }

    fn send_change(&mut self, number: usize, change: ConfigurationChange) {
        self.next_ticket += 1;
        self.operators.call_change(self.next_ticket, &change);
        let command = Command::Configure(Box::new(change));
        let submission = Submission { request: RequestId(self.draw.next_u64()), command };
        self.ask(number, CoreQuery::Submit(submission));
    }

    /// Asks under the ticket drawn last.
    fn ask(&mut self, number: usize, question: CoreQuery) {
        let limit = self.now + Span::seconds(3);
        self.feed(number, Input::Query { ticket: self.next_ticket, query: question, deadline: limit }, false);
    }

    fn submit(&mut self) {
        let number = self.draw.below(KEEPERS as u64) as usize;
        self.next_ticket += 1;
        let patch = format!(r#"{{"kinds":["k","x{}"]}}"#, self.next_ticket);
        let submission =
            Submission { request: RequestId(self.draw.next_u64()), command: Command::Merge { base: None, patch } };
        self.ask(number, CoreQuery::Submit(submission));
    }

    fn deliver(&mut self, way: (usize, usize), ends: bool) {
        let Some(envelope) = self.ways.get_mut(&way).and_then(VecDeque::pop_front) else { return };
        self.feed(way.1, Input::Peer(envelope), ends);
    }

    /// Steps a keeper and carries its plan out; if it ends here, only a part of it.
    fn feed(&mut self, number: usize, input: Input, ends: bool) {
        let now = self.now;
        let Some(coordinator) = self.keepers[number].coordinator.as_mut() else { return };
        let plan = coordinator.step(input, now);
        // What is stored is stored as a whole, before anything is said, or not at all.
        let (stores, said): (Vec<Effect>, Vec<Effect>) =
            plan.into_iter().partition(|effect| matches!(effect, Effect::Store(_)));
        let parts_done = if ends { self.draw.below(said.len() as u64 + 2) as usize } else { said.len() + 1 };
        if parts_done > 0 {
            for stored in stores {
                let Effect::Store(stored) = stored else { continue };
                keep(&mut self.keepers[number].disk, stored);
            }
            self.hold_to_rules(number);
        }
        for effect in said.into_iter().take(parts_done.saturating_sub(1)) {
            if let Effect::Outcome { ticket, outcome } = &effect {
                self.operators.hear(*ticket, outcome);
            }
            let Effect::Send { address, envelope, .. } = effect else { continue };
            let Some(to) = (0..KEEPERS).find(|to| format!("k{to}") == address) else { continue };
            if self.keepers[to].coordinator.is_some() {
                self.ways.entry((number, to)).or_default().push_back(envelope);
            }
        }
        if ends {
            self.end(number);
        }
    }

    fn acting_tails(&self) -> Vec<usize> {
        let acts = |number: &usize| {
            self.keepers[*number].coordinator.as_ref().is_some_and(|coordinator| coordinator.tail_is_active(self.now))
        };
        (0..KEEPERS).filter(acts).collect()
    }

    fn hold_to_rules(&mut self, number: usize) {
        let Some(coordinator) = &self.keepers[number].coordinator else { return };
        let view = coordinator.view();
        let known_view = self.views.entry(view.number).or_insert_with(|| view.clone());
        if (&known_view.chain, &known_view.voters) != (&view.chain, &view.voters) {
            self.found.push(format!("rule 8: two views have number {}", view.number));
        }
        if !coordinator.tail_is_active(self.now) {
            return;
        }
        let last = coordinator.last();
        if last.edition < self.last_committed {
            self.found
                .push(format!("rule 8: the tail stands at {}, {} was committed", last.edition, self.last_committed));
        }
        self.last_committed = self.last_committed.max(last.edition);
        // Configurations are judged as a register; one sent again is answered with the record it was taken in.
        for (request, settled) in coordinator.state().operator_submissions.iter() {
            let CommandOutcome::Applied(edition) = settled else { continue };
            let known = *self.committed.entry(*edition).or_insert(request);
            if known != request {
                self.found.push(format!("rule 8: edition {edition} was {known} and is {request}"));
            }
        }
        let tails = self.acting_tails();
        if tails.len() > 1 {
            self.found.push(format!("rule 8: tails {tails:?} act at once"));
        }
        self.found.truncate(20);
    }
}
