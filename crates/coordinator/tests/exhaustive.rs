//! Exhaustive exploration of a core of three within bounds: every order of the messages for voting, numbering and
//! catch-up, interleaved with stops and starts of keepers, a lost disk, dropped connections and the passing of time.
//! It runs the production state machines and visits each state once.
//!
//! Bounds: heartbeats, read leases and queries are delivered at once if both ends run (they are repeated with every
//! heartbeat anyway); messages between two keepers keep their order; time passes in steps of `TICK`, at which every
//! running keeper ticks. `EXHAUSTIVE_STATES` limits the number of states visited.

use coordinator::prelude::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use units::prelude::*;

const KEEPERS: usize = 3;
const START: Instant = Instant(1_000_000_000_000);
const TICK: Span = Span::millis(250);
/// Used unless `EXHAUSTIVE_STATES` is set; the output says whether the search was complete.
const DEFAULT_MAX_STATES: usize = 100_000;
/// The first id for keepers that replace ones with lost disks.
const FIRST_NEW_ID: u64 = 100;

/// How many events of each kind may still happen.
#[derive(Clone, Copy, Debug, Hash)]
struct EventBudget {
    ticks: u32,
    ends: u32,
    lost_disks: u32,
    lost_streams: u32,
    changes: u32,
}

#[derive(Clone)]
struct Machine {
    id: NodeId,
    incarnation: u64,
    disk: PersistedState,
    running: Option<Coordinator>,
}

/// One step of the explored schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Delivered { from: usize, to: usize },
    StreamDropped { from: usize, to: usize },
    Tick,
    Stopped(usize),
    Started(usize),
    DiskWiped(usize),
    Change(usize),
}

#[derive(Clone)]
struct Core {
    now: Instant,
    machines: Vec<Machine>,
    streams: BTreeMap<(usize, usize), VecDeque<Envelope>>,
    budget: EventBudget,
    next_id: u64,
    /// The records seen in the logs of acting tails.
    committed: BTreeMap<Edition, RequestId>,
    views: BTreeMap<ViewNumber, (Vec<NodeId>, Vec<NodeId>)>,
}

fn address(place: usize) -> String {
    format!("k{place}")
}

fn member(place: usize, id: NodeId) -> Member {
    Member { id, address: address(place), door: address(place), zone: "a".into() }
}

fn keep(disk: &mut PersistedState, stored: Stored) {
    match stored {
        Stored::Record(record) => disk.records.push(record),
        Stored::Snapshot { position, state } => {
            disk.position = position;
            disk.state = *state;
            disk.records.clear();
        }
        Stored::View(view) => disk.view = Some(view),
        Stored::Vote(vote) => disk.vote = vote,
        Stored::SyncedView(view) => disk.synced_view = view,
        Stored::CompleteView(view) => disk.complete_view = view,
        Stored::TailStarted(view) => disk.begun = view,
    }
}

/// Whether a message is queued, so that it may be delivered before or after any other event; others are delivered at
/// once.
fn has_variable_delivery(message: &CoreMessage) -> bool {
    matches!(message, CoreMessage::View(_) | CoreMessage::Chain(_) | CoreMessage::Submit(_))
}

impl Core {
    /// A core of three with a full chain and an acting tail.
    fn formed(budget: EventBudget) -> Core {
        let machines = (0..KEEPERS).map(|place| Machine {
            id: NodeId(place as u64 + 1),
            incarnation: 0,
            disk: PersistedState::default(),
            running: None,
        });
        let mut core = Core {
            now: START,
            machines: machines.collect(),
            streams: BTreeMap::new(),
            budget: EventBudget { ticks: u32::MAX, ..budget },
            next_id: FIRST_NEW_ID,
            committed: BTreeMap::new(),
            views: BTreeMap::new(),
        };
        for stored in Coordinator::bootstrap(&member(0, NodeId(1)), FleetId(7), FleetState::default()) {
            keep(&mut core.machines[0].disk, stored);
        }
        for place in 0..KEEPERS {
            core.start(place);
        }
        for _ in 0..60 {
            core.apply_event(Event::Tick).expect("no invariant is violated");
            core.deliver_all().expect("no invariant is violated");
        }
        let tail = core.acting_tails();
        assert_eq!(tail.len(), 1, "a tail acts");
        let view = core.machines[tail[0]].running.as_ref().expect("it is running").view();
        assert_eq!(view.chain.len(), KEEPERS);
        core.budget = budget;
        core
    }

    fn deliver_all(&mut self) -> Result<(), String> {
        while let Some((from, to)) = self.open_streams().first().copied() {
            self.apply_event(Event::Delivered { from, to })?;
        }
        Ok(())
    }

    fn open_streams(&self) -> Vec<(usize, usize)> {
        self.streams.iter().filter(|(_, waiting)| !waiting.is_empty()).map(|(path, _)| *path).collect()
    }

    fn start(&mut self, place: usize) {
        let now = self.now;
        let machine = &mut self.machines[place];
        machine.incarnation += 1;
        let incarnation = machine.id.0 * 1000 + machine.incarnation;
        let seeds = (0..KEEPERS).map(address).collect();
        let settings = CoordinatorSettings { core_size: KEEPERS, seeds, ..CoordinatorSettings::default() };
        let me = member(place, machine.id);
        machine.running = Some(Coordinator::restore(me, machine.disk.clone(), settings, incarnation, now));
    }

    fn end(&mut self, place: usize) {
        self.machines[place].running = None;
        self.streams.retain(|(from, to), _| *from != place && *to != place);
    }

    /// All events that may happen next.
    fn possible_events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for (from, to) in self.open_streams() {
            events.push(Event::Delivered { from, to });
            if self.budget.lost_streams > 0 {
                events.push(Event::StreamDropped { from, to });
            }
        }
        if self.budget.ticks > 0 {
            events.push(Event::Tick);
        }
        for place in 0..KEEPERS {
            let runs = self.machines[place].running.is_some();
            if !runs {
                events.push(Event::Started(place));
            }
            if runs && self.budget.ends > 0 {
                events.push(Event::Stopped(place));
            }
            if self.budget.lost_disks > 0 {
                events.push(Event::DiskWiped(place));
            }
            if runs && self.budget.changes > 0 {
                events.push(Event::Change(place));
            }
        }
        events
    }

    fn apply_event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Delivered { from, to } => {
                let arrived = self.streams.get_mut(&(from, to)).and_then(VecDeque::pop_front);
                if let Some(envelope) = arrived {
                    self.feed(to, Input::Peer(envelope))?;
                }
            }
            Event::StreamDropped { from, to } => {
                self.budget.lost_streams -= 1;
                self.streams.remove(&(from, to));
            }
            Event::Tick => {
                self.budget.ticks -= 1;
                self.now = self.now + TICK;
                for place in 0..KEEPERS {
                    self.feed(place, Input::Tick)?;
                }
            }
            Event::Stopped(place) => {
                self.budget.ends -= 1;
                self.end(place);
            }
            Event::Started(place) => self.start(place),
            Event::DiskWiped(place) => {
                self.budget.lost_disks -= 1;
                self.end(place);
                let id = NodeId(self.next_id);
                self.next_id += 1;
                self.machines[place] = Machine { id, incarnation: 0, disk: PersistedState::default(), running: None };
            }
            Event::Change(place) => {
                let number = self.budget.changes;
                self.budget.changes -= 1;
                let patch = format!(r#"{{"kinds":["k{number}"]}}"#);
                let command = Command::Merge { base: None, patch };
                let query = CoreQuery::Submit(Submission { request: RequestId(u64::from(number)), command });
                let deadline = self.now + Span::seconds(3);
                self.feed(place, Input::Query { ticket: u64::from(number), query, deadline })?;
            }
        }
        Ok(())
    }

    /// Steps a keeper, and every keeper that receives one of its immediately delivered messages.
    fn feed(&mut self, place: usize, input: Input) -> Result<(), String> {
        let mut inputs = VecDeque::from([(place, input)]);
        while let Some((place, input)) = inputs.pop_front() {
            let now = self.now;
            let machine = &mut self.machines[place];
            let Some(coordinator) = machine.running.as_mut() else { continue };
            let plan = coordinator.step(input, now);
            for effect in plan {
                match effect {
                    Effect::Store(stored) => keep(&mut self.machines[place].disk, stored),
                    Effect::Send { address: to, envelope, .. } => {
                        let to = (0..KEEPERS).find(|other| address(*other) == to).expect("a known address");
                        if self.machines[to].running.is_none() {
                            continue;
                        }
                        match has_variable_delivery(&envelope.message) {
                            true => self.streams.entry((place, to)).or_default().push_back(envelope),
                            false => inputs.push_back((to, Input::Peer(envelope))),
                        }
                    }
                    _ => {}
                }
            }
            self.check_invariants(place)?;
        }
        Ok(())
    }

    fn acting_tails(&self) -> Vec<usize> {
        let acts = |place: &usize| {
            let running = self.machines[*place].running.as_ref();
            running.is_some_and(|coordinator| coordinator.tail_is_active(self.now))
        };
        (0..KEEPERS).filter(acts).collect()
    }

    fn check_invariants(&mut self, place: usize) -> Result<(), String> {
        let Some(coordinator) = &self.machines[place].running else { return Ok(()) };
        self.views = check_view_numbers_unique(std::mem::take(&mut self.views), coordinator.view())?;
        if coordinator.tail_is_active(self.now) {
            self.committed = check_committed_records_kept(std::mem::take(&mut self.committed), coordinator.state())?;
        }
        check_single_active_tail(&self.acting_tails())
    }

    /// A hash that is equal for states with the same possible continuations.
    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.now.hash(&mut hasher);
        self.budget.hash(&mut hasher);
        self.committed.hash(&mut hasher);
        for machine in &self.machines {
            machine.id.hash(&mut hasher);
            machine.incarnation.hash(&mut hasher);
            format!("{:?}{:?}", machine.running, machine.disk.vote).hash(&mut hasher);
        }
        format!("{:?}", self.streams).hash(&mut hasher);
        hasher.finish()
    }
}

type Views = BTreeMap<ViewNumber, (Vec<NodeId>, Vec<NodeId>)>;

fn check_view_numbers_unique(mut views: Views, view: &View) -> Result<Views, String> {
    let seen = (view.chain.clone(), view.voters.clone());
    let known = views.entry(view.number).or_insert_with(|| seen.clone());
    match *known == seen {
        true => Ok(views),
        false => Err(format!("two views have the number {}: {known:?} and {seen:?}", view.number)),
    }
}

fn check_single_active_tail(tails: &[usize]) -> Result<(), String> {
    if tails.len() > 1 { Err(format!("tails {tails:?} act at once")) } else { Ok(()) }
}

/// An acting tail must have every record that an earlier acting tail had; its further records become committed.
fn check_committed_records_kept(
    mut committed: BTreeMap<Edition, RequestId>,
    state: &FleetState,
) -> Result<BTreeMap<Edition, RequestId>, String> {
    let taken: BTreeMap<Edition, RequestId> = state
        .operator_submissions
        .iter()
        .filter_map(|(request, outcome)| match outcome {
            CommandOutcome::Applied(edition) => Some((*edition, request)),
            _ => None,
        })
        .collect();
    for (edition, request) in &committed {
        if taken.get(edition) != Some(request) {
            return Err(format!("{request} was committed as {edition}, but the log has {:?}", taken.get(edition)));
        }
    }
    committed.extend(taken);
    Ok(committed)
}

/// The result of a search.
#[derive(Debug)]
struct Found {
    states: usize,
    is_complete: bool,
    violation: Option<(String, Vec<Event>)>,
}

/// Depth-first search of all states within the budget, up to `max_states`.
fn explore(budget: EventBudget, max_states: usize) -> Found {
    let mut visited = HashSet::new();
    let mut frontier = vec![(Core::formed(budget), Vec::new())];
    while let Some((core, path)) = frontier.pop() {
        if visited.len() >= max_states {
            return Found { states: visited.len(), is_complete: false, violation: None };
        }
        for event in core.possible_events() {
            let mut next = core.clone();
            let mut next_path: Vec<Event> = path.clone();
            next_path.push(event);
            if let Err(reason) = next.apply_event(event) {
                return Found { states: visited.len(), is_complete: false, violation: Some((reason, next_path)) };
            }
            if visited.insert(next.key()) {
                frontier.push((next, next_path));
            }
        }
    }
    Found { states: visited.len(), is_complete: true, violation: None }
}

fn max_states() -> usize {
    std::env::var("EXHAUSTIVE_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_MAX_STATES)
}

#[track_caller]
fn assert_holds(named: &str, budget: EventBudget) {
    let found = explore(budget, max_states());
    println!("{named}: {} states, {}", found.states, if found.is_complete { "all of them" } else { "not complete" });
    assert!(found.violation.is_none(), "{named}: {:?}", found.violation);
}

const NO_EVENTS: EventBudget = EventBudget { ticks: 0, ends: 0, lost_disks: 0, lost_streams: 0, changes: 0 };

#[test]
fn two_changes_and_a_dropped_connection() {
    assert_holds(
        "two changes, a dropped connection",
        EventBudget { ticks: 2, lost_streams: 1, changes: 2, ..NO_EVENTS },
    );
}

#[test]
fn a_keeper_stops_during_a_change() {
    assert_holds("a change, a stop", EventBudget { ticks: 4, ends: 1, changes: 1, ..NO_EVENTS });
}

#[test]
fn a_disk_is_lost_during_a_change() {
    assert_holds("a change, a lost disk", EventBudget { ticks: 3, lost_disks: 1, changes: 1, ..NO_EVENTS });
}

#[test]
fn a_stop_and_a_lost_disk_overlap() {
    assert_holds("a stop, a lost disk", EventBudget { ticks: 5, ends: 1, lost_disks: 1, ..NO_EVENTS });
}

/// Each invariant check detects its violation.
#[test]
fn invariant_checks_detect_violations() {
    let view = |chain: &[u64]| View {
        number: ViewNumber(3),
        chain: chain.iter().copied().map(NodeId).collect(),
        ..View::default()
    };
    let views = check_view_numbers_unique(BTreeMap::new(), &view(&[1, 2])).expect("the first");
    assert!(check_view_numbers_unique(views.clone(), &view(&[1, 2])).is_ok());
    assert!(check_view_numbers_unique(views, &view(&[2, 1])).is_err());
    assert!(check_single_active_tail(&[1]).is_ok() && check_single_active_tail(&[0, 2]).is_err());
    let mut state = FleetState::default();
    let command = |kind: &str| Command::Merge { base: None, patch: format!(r#"{{"kinds":["{kind}"]}}"#) };
    let earlier = state.clone();
    state.apply(&Submission { request: RequestId(1), command: command("a") });
    let committed = check_committed_records_kept(BTreeMap::new(), &state).expect("the first");
    assert_eq!(committed.values().copied().collect::<BTreeSet<_>>(), [RequestId(1)].into());
    assert!(check_committed_records_kept(committed.clone(), &earlier).is_err(), "lost");
    let mut other = FleetState::default();
    other.apply(&Submission { request: RequestId(2), command: command("a") });
    assert!(check_committed_records_kept(committed, &other).is_err(), "replaced by another record");
}
