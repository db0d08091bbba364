//! A keeper that is told to stop is out of the view before its process ends, and its vacant seat does not reduce the
//! failures that the others tolerate.

use coordinator::prelude::*;
use units::prelude::*;
use view::prelude::{Member, View};

const START: Instant = Instant(1_000_000_000_000);
/// The tick interval; messages arrive without loss or delay.
const STEP: Span = Span::millis(10);

fn member(number: u64) -> Member {
    let address = format!("k{number}");
    Member { id: NodeId(number), door: address.clone(), address, zone: "a".into() }
}

/// Keepers on a lossless network without delay.
struct Core {
    now: Instant,
    keepers: Vec<Coordinator>,
    outcomes: Vec<QueryOutcome>,
}

impl Core {
    fn of(size: u64) -> Core {
        let ids: Vec<NodeId> = (1..=size).map(NodeId).collect();
        let view = View {
            fleet: FleetId(1),
            number: ViewNumber(2),
            chain: ids.clone(),
            voters: ids,
            members: (1..=size).map(member).collect(),
            lineage: vec![(ViewNumber(1), vec![NodeId(1)])],
            ..View::default()
        };
        let (synced_view, complete_view) = (view.number, view.number);
        let persisted = PersistedState { view: Some(view), synced_view, complete_view, ..PersistedState::default() };
        let settings = CoordinatorSettings { core_size: size as usize, ..CoordinatorSettings::default() };
        let keepers =
            (1..=size).map(|id| Coordinator::restore(member(id), persisted.clone(), settings.clone(), id, START));
        let mut core = Core { now: START, keepers: keepers.collect(), outcomes: Vec::new() };
        core.run(Span::seconds(6));
        core
    }

    fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            for place in 0..self.keepers.len() {
                self.feed(place, Input::Tick);
            }
        }
    }

    fn feed(&mut self, place: usize, input: Input) {
        let mut plan = std::collections::VecDeque::from(self.keepers[place].step(input, self.now));
        while let Some(effect) = plan.pop_front() {
            match effect {
                Effect::Send { address, envelope, .. } => {
                    let found = self.keepers.iter_mut().find(|keeper| keeper.me().address == address);
                    if let Some(keeper) = found {
                        plan.extend(keeper.step(Input::Peer(envelope), self.now));
                    }
                }
                Effect::Outcome { outcome, .. } => self.outcomes.push(outcome),
                _ => {}
            }
        }
    }

    fn place(&self, id: u64) -> Option<usize> {
        self.keepers.iter().position(|keeper| keeper.me().id == NodeId(id))
    }

    /// Tells a keeper to stop, removes it once it has left, and returns how long that took.
    fn stop(&mut self, id: u64) -> Span {
        let stop_requested = self.now;
        let place = self.place(id).expect("it is running");
        self.feed(place, Input::Retire);
        while !self.keepers[place].has_left() {
            assert!(
                self.now.since(stop_requested) < Span::seconds(3),
                "{}",
                self.keepers[place].leave_blocker(self.now)
            );
            self.run(STEP);
        }
        let left = self.now.since(stop_requested);
        self.keepers.remove(place);
        left
    }

    fn submit(&mut self, number: u64) {
        let command = Command::Merge { base: None, patch: r#"{"kinds":["k"]}"#.into() };
        let query = CoreQuery::Submit(Submission { request: RequestId(number), command });
        let deadline = self.now + Span::seconds(6);
        self.feed(0, Input::Query { ticket: number, query, deadline });
    }

    fn view(&self) -> &View {
        self.keepers.iter().map(Coordinator::view).max_by_key(|view| view.number).expect("a keeper is running")
    }
}

/// Whichever chain member stops, it leaves the view well before the failure timeout.
#[test]
fn a_stopping_keeper_leaves_the_view_before_it_ends() {
    for size in [4, 5, 7] {
        for leaver in 1..=size {
            let mut core = Core::of(size);
            let left = core.stop(leaver);
            assert!(left < SUSPECT_TIMEOUT, "{leaver} of {size} took {} ms", left.as_millis());
            assert!(!core.view().in_chain(NodeId(leaver)));
            core.submit(1);
            core.run(Span::seconds(5));
            assert!(
                matches!(core.outcomes.as_slice(), [QueryOutcome::Settled(CommandOutcome::Applied(_))]),
                "{leaver} of {size}: {:?}",
                core.outcomes
            );
        }
    }
}

/// Four voters tolerate one failure, as do three. If the leaver's seat stayed vacant, the next failure would leave no
/// majority.
#[test]
fn a_failure_after_one_of_four_left_leaves_a_majority() {
    for leaver in 1..=4 {
        let mut core = Core::of(4);
        core.stop(leaver);
        assert_eq!(core.view().voters.len(), 3, "the seat of {leaver}");
        core.keepers.remove(0);
        core.run(Span::seconds(4));
        core.submit(1);
        core.run(Span::seconds(5));
        assert!(
            matches!(core.outcomes.as_slice(), [QueryOutcome::Settled(CommandOutcome::Applied(_))]),
            "{:?}",
            core.outcomes
        );
    }
}

/// A keeper stays in the chain if that would become too short without it, and reports the reason.
#[test]
fn a_keeper_that_cannot_leave_reports_the_reason() {
    let mut core = Core::of(2);
    let place = core.place(1).expect("it is running");
    core.feed(place, Input::Retire);
    core.run(Span::seconds(2));
    assert!(!core.keepers[place].has_left());
    assert_eq!(core.keepers[place].leave_blocker(core.now), "the chain without it would be too short");
    core.keepers.remove(1 - place);
    core.run(Span::seconds(2));
    assert_eq!(core.keepers[0].leave_blocker(core.now), "no majority of the voters is heard");
}

/// Keepers that are all told to stop at once do not keep changing the view.
#[test]
fn keepers_stopped_all_at_once_keep_their_view() {
    let mut core = Core::of(4);
    for place in 0..4 {
        core.feed(place, Input::Retire);
    }
    let before = core.view().number;
    core.run(Span::seconds(3));
    assert!(core.view().number.0 - before.0 <= 3, "{} views", core.view().number.0 - before.0);
    assert!(core.view().accepts_writes());
}
