//! A keeper that has promised its vote has told where its log ends, and may be counted upon for it: it takes on
//! more, but nothing shorter, until the next view.

mod common;

use common::*;
use coordinator::prelude::*;
use units::prelude::*;
use view::prelude::{Member, View};

const HEAD: NodeId = NodeId(1);
const TAIL: NodeId = NodeId(2);
const OUTSIDE: NodeId = NodeId(3);
const VIEW: ViewNumber = ViewNumber(4);
const START: Instant = Instant(1_000_000_000_000);

fn member(id: NodeId) -> Member {
    Member { id, address: format!("{id}:1"), door: format!("{id}:2"), zone: "a".into() }
}

fn mark(edition: u64) -> LogPosition {
    LogPosition { edition: Edition(edition), view: ViewNumber(3) }
}

fn state(edition: u64) -> FleetState {
    FleetState { edition: Edition(edition), ..FleetState::default() }
}

/// A voter outside the chain, whose log ends at record 5.
fn outsider() -> Coordinator {
    let view = View {
        fleet: FleetId(1),
        number: VIEW,
        chain: vec![HEAD, TAIL],
        voters: vec![HEAD, TAIL, OUTSIDE],
        members: vec![member(HEAD), member(TAIL), member(OUTSIDE)],
        ..View::default()
    };
    let kept = Kept { view: Some(view), mark: mark(5), state: state(5), ..Kept::default() };
    Coordinator::restore(member(OUTSIDE), kept, Wishes::default(), 1, START)
}

/// Has it asked to be brought level; the nonce of its asking.
fn asked_nonce(keeper: &mut Coordinator) -> u64 {
    introduce(keeper, TAIL, START);
    let effects = keeper.step(Input::Pulse, START);
    let asked = sent_to(&effects, TAIL).into_iter().find_map(|message| match message {
        CoreMessage::Chain(ChainMessage::Have { nonce, .. }) => Some(nonce),
        _ => None,
    });
    asked.expect("it asks the tail")
}

fn snapshot_of(keeper: &Coordinator, nonce: u64, edition: u64) -> Input {
    let (mark, state) = (mark(edition), Box::new(state(edition)));
    let snapshot = ChainMessage::Snapshot { view: VIEW, nonce, mark, state, ages: CommitAges::default() };
    from_keeper(keeper, TAIL, CoreMessage::Chain(snapshot))
}

fn promise(keeper: &mut Coordinator) -> LogPosition {
    let ballot = Ballot { round: 1, proposer: TAIL };
    let prepare = CoreMessage::View(ViewMessage::Prepare { next: VIEW.next(), ballot });
    let input = from_keeper(keeper, TAIL, prepare);
    let effects = keeper.step(input, START);
    let told = sent_to(&effects, TAIL).into_iter().find_map(|message| match message {
        CoreMessage::View(ViewMessage::Promise { last, .. }) => Some(last),
        _ => None,
    });
    told.expect("it promises")
}

#[test]
fn a_promise_tells_where_the_log_ends_and_that_stays_in_it() {
    let mut keeper = outsider();
    let nonce = asked_nonce(&mut keeper);
    assert_eq!(promise(&mut keeper), mark(5));
    let late = snapshot_of(&keeper, nonce, 3);
    keeper.step(late, START);
    assert_eq!(keeper.last(), mark(5), "a snapshot that was on its way has cut it short");
    let longer = snapshot_of(&keeper, nonce, 8);
    keeper.step(longer, START);
    assert_eq!(keeper.last(), mark(8), "it is never brought level");
}

#[test]
fn before_it_has_promised_it_takes_what_the_chain_has() {
    let mut keeper = outsider();
    let nonce = asked_nonce(&mut keeper);
    let shorter = snapshot_of(&keeper, nonce, 3);
    keeper.step(shorter, START);
    assert_eq!(keeper.last(), mark(3));
}
