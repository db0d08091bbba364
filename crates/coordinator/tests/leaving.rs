//! A keeper that is told to stop is out of the view before it ends, and its seat does not weigh on the others.

use coordinator::prelude::*;
use units::prelude::*;
use view::prelude::{Member, View};

const START: Instant = Instant(1_000_000_000_000);
/// No message is lost, and each takes less than this.
const STEP: Span = Span::millis(10);

fn member(number: u64) -> Member {
    let address = format!("k{number}");
    Member { id: NodeId(number), door: address.clone(), address, zone: "a".into() }
}

/// Keepers on a perfect network.
struct Core {
    now: Instant,
    keepers: Vec<Coordinator>,
    outcomes: Vec<AskOutcome>,
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
        let (aligned, whole) = (view.number, view.number);
        let kept = Kept { view: Some(view), aligned, whole, ..Kept::default() };
        let wishes = Wishes { core_size: size as usize, ..Wishes::default() };
        let keepers = (1..=size).map(|id| Coordinator::restore(member(id), kept.clone(), wishes.clone(), id, START));
        let mut core = Core { now: START, keepers: keepers.collect(), outcomes: Vec::new() };
        core.run(Span::seconds(6));
        core
    }

    fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            for place in 0..self.keepers.len() {
                self.feed(place, Input::Pulse);
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

    /// Tells a keeper to stop; how long until it may end.
    fn stop(&mut self, id: u64) -> Span {
        let told = self.now;
        let place = self.place(id).expect("it runs");
        self.feed(place, Input::Retire);
        while !self.keepers[place].has_left() {
            assert!(self.now.since(told) < Span::seconds(3), "{}", self.keepers[place].reason_to_stay(self.now));
            self.run(STEP);
        }
        let left = self.now.since(told);
        self.keepers.remove(place);
        left
    }

    fn submit(&mut self, number: u64) {
        let command = Command::Merge { base: None, patch: r#"{"kinds":["k"]}"#.into() };
        let question = Question::Submit(Submission { request: RequestId(number), command });
        let limit = self.now + Span::seconds(6);
        self.feed(0, Input::Ask { ticket: number, question, limit });
    }

    fn view(&self) -> &View {
        self.keepers.iter().map(Coordinator::view).max_by_key(|view| view.number).expect("somebody runs")
    }
}

/// Whichever member of the chain stops, it is let go long before it would have been missed.
#[test]
fn whoever_stops_is_out_of_the_view_before_it_ends() {
    for size in [4, 5, 7] {
        for leaver in 1..=size {
            let mut core = Core::of(size);
            let left = core.stop(leaver);
            assert!(left < SUSPECT_AFTER, "{leaver} of {size} took {} ms", left.as_millis());
            assert!(!core.view().in_chain(NodeId(leaver)));
            core.submit(1);
            core.run(Span::seconds(5));
            assert!(
                matches!(core.outcomes.as_slice(), [AskOutcome::Settled(Settled::Taken(_))]),
                "{leaver} of {size}: {:?}",
                core.outcomes
            );
        }
    }
}

/// Four bear one loss and three bear one, too: the seat that stays empty would leave no majority after the next.
#[test]
fn a_loss_right_after_one_of_four_has_left_leaves_a_majority() {
    for leaver in 1..=4 {
        let mut core = Core::of(4);
        core.stop(leaver);
        assert_eq!(core.view().voters.len(), 3, "the seat of {leaver}");
        core.keepers.remove(0);
        core.run(Span::seconds(4));
        core.submit(1);
        core.run(Span::seconds(5));
        assert!(matches!(core.outcomes.as_slice(), [AskOutcome::Settled(Settled::Taken(_))]), "{:?}", core.outcomes);
    }
}

/// Where the chain would become too short without it, a keeper stays until it must end, and can say why.
#[test]
fn one_that_cannot_be_spared_says_why() {
    let mut core = Core::of(2);
    let place = core.place(1).expect("it runs");
    core.feed(place, Input::Retire);
    core.run(Span::seconds(2));
    assert!(!core.keepers[place].has_left());
    assert_eq!(core.keepers[place].reason_to_stay(core.now), "the chain without it would be too short");
    core.keepers.remove(1 - place);
    core.run(Span::seconds(2));
    assert_eq!(core.keepers[0].reason_to_stay(core.now), "no majority of the voters is heard");
}

/// A whole fleet that is told to stop does not tear its view apart meanwhile.
#[test]
fn all_that_are_told_to_stop_at_once_keep_their_view() {
    let mut core = Core::of(4);
    for place in 0..4 {
        core.feed(place, Input::Retire);
    }
    let before = core.view().number;
    core.run(Span::seconds(3));
    assert!(core.view().number.0 - before.0 <= 3, "{} views", core.view().number.0 - before.0);
    assert!(core.view().accepts_writes());
}
