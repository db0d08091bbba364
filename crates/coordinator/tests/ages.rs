//! A member that is brought level learns how long ago things were committed, and passes it on: a new tail
//! that knew no ages would have every router give up the old weights at once.

mod common;

use common::*;
use coordinator::prelude::*;
use desired::prelude::FleetState;
use units::prelude::*;
use view::prelude::{Member, View};

const HEAD: NodeId = NodeId(1);
const MIDDLE: NodeId = NodeId(2);
const TAIL: NodeId = NodeId(3);
const VIEW: ViewNumber = ViewNumber(2);
const START: Instant = Instant(1_000_000_000_000);

fn member(id: NodeId) -> Member {
    Member { id, address: format!("{id}:1"), door: format!("{id}:2"), zone: "a".into() }
}

fn middle_member() -> Coordinator {
    let view = View {
        fleet: FleetId(1),
        number: VIEW,
        chain: vec![HEAD, MIDDLE, TAIL],
        voters: vec![HEAD, MIDDLE, TAIL],
        members: vec![member(HEAD), member(MIDDLE), member(TAIL)],
        ..View::default()
    };
    let kept = Kept { view: Some(view), ..Kept::default() };
    let mut coordinator = Coordinator::restore(member(MIDDLE), kept, Wishes::default(), 1, START);
    // The head is heard, though it could level nobody yet.
    let news = News { aligned: ViewNumber(1), tail_active: false, ..news_of(&coordinator, HEAD) };
    let input = from_keeper(&coordinator, HEAD, CoreMessage::Pulse(news));
    coordinator.step(input, START);
    coordinator
}

/// What the effects say to a member about its level.
fn chain_messages(effects: &[Effect], to: NodeId) -> Vec<ChainMessage> {
    let sent = sent_to(effects, to).into_iter().filter_map(|message| match message {
        CoreMessage::Chain(message) => Some(message),
        _ => None,
    });
    sent.collect()
}

/// The nonce under which the member asks the head to be brought level.
fn asked_nonce(effects: &[Effect]) -> Option<u64> {
    chain_messages(effects, HEAD).into_iter().find_map(|message| match message {
        ChainMessage::Have { nonce, .. } => Some(nonce),
        _ => None,
    })
}

fn told_ages() -> CommitAges {
    CommitAges {
        records: vec![(Edition(7), Span::millis(300))],
        gave_way: vec![("model".into(), WeightsEdition(1), Span::millis(300))],
    }
}

fn snapshot(coordinator: &Coordinator, nonce: u64) -> Input {
    let mark = LogPosition { edition: Edition(7), view: ViewNumber(1) };
    let state = Box::new(FleetState { edition: Edition(7), ..FleetState::default() });
    let message = ChainMessage::Snapshot { view: VIEW, nonce, mark, state, ages: told_ages() };
    from_keeper(coordinator, HEAD, CoreMessage::Chain(message))
}

/// The ages with which the member levels its successor.
fn ages_passed_on(coordinator: &mut Coordinator, now: Instant) -> Option<CommitAges> {
    let have = ChainMessage::Have { view: VIEW, last: LogPosition::default(), nonce: 5 };
    let input = from_keeper(coordinator, TAIL, CoreMessage::Chain(have));
    let effects = coordinator.step(input, now);
    chain_messages(&effects, TAIL).into_iter().find_map(|message| match message {
        ChainMessage::Level { ages, .. } | ChainMessage::Snapshot { ages, .. } => Some(ages),
        _ => None,
    })
}

#[test]
fn ages_are_counted_from_the_first_asking_and_passed_on() {
    let mut coordinator = middle_member();
    let nonce = asked_nonce(&coordinator.step(Input::Pulse, START)).expect("it asks to be brought level");
    let asked_again = coordinator.step(Input::Pulse, START + Span::millis(400));
    assert_eq!(asked_nonce(&asked_again), Some(nonce), "the same asking, repeated");
    assert_eq!(ages_passed_on(&mut coordinator, START), None, "not level yet");
    let input = snapshot(&coordinator, nonce);
    coordinator.step(input, START + Span::millis(500));
    let ages = ages_passed_on(&mut coordinator, START + Span::millis(700)).expect("it levels its successor");
    assert_eq!(ages.records, [(Edition(7), Span::millis(1000))], "700 ms since the first asking and 300 before");
    assert_eq!(ages.gave_way, [("model".into(), WeightsEdition(1), Span::millis(1000))]);
}

#[test]
fn a_restarted_member_knows_no_ages_of_its_own() {
    let view = View {
        fleet: FleetId(1),
        number: VIEW,
        chain: vec![MIDDLE, TAIL],
        voters: vec![MIDDLE, TAIL],
        members: vec![member(MIDDLE), member(TAIL)],
        ..View::default()
    };
    let state = FleetState { edition: Edition(7), ..FleetState::default() };
    let mark = LogPosition { edition: Edition(7), view: ViewNumber(1) };
    let kept = Kept { view: Some(view), aligned: VIEW, whole: VIEW, mark, state, ..Kept::default() };
    let mut coordinator = Coordinator::restore(member(MIDDLE), kept, Wishes::default(), 1, START);
    coordinator.step(Input::Pulse, START);
    assert_eq!(ages_passed_on(&mut coordinator, START), Some(CommitAges::default()));
}

#[test]
fn a_member_asks_as_soon_as_the_one_before_it_is_level() {
    let mut coordinator = middle_member();
    coordinator.step(Input::Pulse, START);
    let hear = |coordinator: &mut Coordinator, aligned| {
        let news = News { aligned, tail_active: false, ..news_of(coordinator, HEAD) };
        let input = from_keeper(coordinator, HEAD, CoreMessage::Pulse(news));
        coordinator.step(input, START + Span::millis(1))
    };
    assert_eq!(asked_nonce(&hear(&mut coordinator, ViewNumber(1))), None, "it could not answer yet");
    assert!(asked_nonce(&hear(&mut coordinator, VIEW)).is_some());
}
