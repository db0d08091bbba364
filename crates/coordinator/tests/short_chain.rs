//! A chain that is too short for the configured tolerance neither reports nor commits records that are not yet on
//! enough disks.

mod common;

use common::*;
use coordinator::prelude::*;
use units::prelude::*;
use view::prelude::{Member, View};

const HEAD: NodeId = NodeId(1);
const TAIL: NodeId = NodeId(2);
const THIRD: NodeId = NodeId(3);
const START: Instant = Instant(1_000_000_000_000);

fn member(id: NodeId) -> Member {
    Member { id, address: format!("{id}:1"), door: format!("{id}:2"), zone: "a".into() }
}

fn view_of(number: u64, chain: &[NodeId]) -> View {
    View {
        fleet: FleetId(1),
        number: ViewNumber(number),
        chain: chain.to_vec(),
        voters: vec![HEAD, TAIL, THIRD],
        members: vec![member(HEAD), member(TAIL), member(THIRD)],
        lineage: (1..number).rev().map(|number| (ViewNumber(number), vec![HEAD, TAIL])).collect(),
        ..View::default()
    }
}

/// The acting tail of a chain of two.
fn acting_tail() -> Coordinator {
    let view = view_of(2, &[HEAD, TAIL]);
    let number = view.number;
    let persisted = PersistedState {
        view: Some(view),
        synced_view: number,
        complete_view: number,
        begun: number,
        ..PersistedState::default()
    };
    let mut tail = Coordinator::restore(member(TAIL), persisted, CoordinatorSettings::default(), 1, START);
    grant_read_lease(&mut tail, START);
    assert!(tail.tail_is_active(START));
    tail
}

fn grant_read_lease(tail: &mut Coordinator, now: Instant) {
    let view = tail.view().number;
    for voter in [HEAD, THIRD] {
        let input = from_keeper(tail, voter, CoreMessage::ReadLeaseGranted { view, sent: now });
        tail.step(input, now);
    }
}

/// Appends a change received from the head; without a read lease the tail does not commit it.
fn append(tail: &mut Coordinator, number: u64, now: Instant) -> Vec<Effect> {
    let previous = tail.last();
    let position = LogPosition { edition: previous.edition.next(), view: tail.view().number };
    let patch = format!(r#"{{"kinds":["k{number}"]}}"#);
    let submission = Submission { request: RequestId(number), command: Command::Merge { base: None, patch } };
    let append = ChainMessage::Append {
        view: tail.view().number,
        previous,
        records: vec![Record { mark: position, submission }],
    };
    let input = from_keeper(tail, HEAD, CoreMessage::Chain(append));
    tail.step(input, now)
}

/// The head's disk is lost: the next view's chain is this member alone.
fn adopt_single_member_view(tail: &mut Coordinator, now: Instant) {
    let decided = CoreMessage::View(ViewMessage::Decided(view_of(3, &[TAIL])));
    let input = from_keeper(tail, THIRD, decided);
    tail.step(input, now);
    grant_read_lease(tail, now);
}

fn is_answered(tail: &mut Coordinator, query: CoreQuery, now: Instant) -> bool {
    let message = CoreMessage::Query { ticket: 9, query };
    let input = from_keeper(tail, THIRD, message);
    let effects = tail.step(input, now);
    sent_to(&effects, THIRD).iter().any(|message| matches!(message, CoreMessage::Outcome { .. }))
}

#[test]
fn a_change_on_a_single_disk_is_neither_reported_nor_committed() {
    let mut tail = acting_tail();
    // The view changes before this tail has committed the change, which is on its own disk and on the one just lost.
    adopt_single_member_view(&mut tail, START + Span::millis(10));
    let committed = tail.last().edition;
    assert!(tail.tail_is_active(START + Span::millis(20)), "what was committed on two disks is served");
    let mut tail = acting_tail();
    let expired = START + Span::seconds(1);
    append(&mut tail, 7, expired);
    assert!(tail.last().edition > committed, "it has appended the change");
    assert!(!tail.tail_is_active(expired), "without a read lease it has not committed it");
    adopt_single_member_view(&mut tail, expired + Span::millis(10));
    let now = expired + Span::millis(20);
    assert!(!tail.tail_is_active(now), "it acts with a record that only one disk holds");
    assert!(!is_answered(&mut tail, CoreQuery::Configuration, now));
    assert!(!is_answered(&mut tail, CoreQuery::Settled { request: RequestId(7), fingerprint: None }, now));
}

#[test]
fn a_chain_with_a_second_disk_takes_writes_again() {
    let mut tail = acting_tail();
    let expired = START + Span::seconds(1);
    append(&mut tail, 7, expired);
    adopt_single_member_view(&mut tail, expired + Span::millis(10));
    let grown = CoreMessage::View(ViewMessage::Decided(view_of(4, &[TAIL, THIRD])));
    let now = expired + Span::millis(20);
    let input = from_keeper(&tail, THIRD, grown);
    tail.step(input, now);
    assert!(tail.view().accepts_writes());
}

/// The other voters are live, so one joins the chain even though the tail is inactive.
#[test]
fn a_short_chain_grows_while_its_tail_is_inactive() {
    let mut tail = acting_tail();
    let expired = START + Span::seconds(1);
    append(&mut tail, 7, expired);
    adopt_single_member_view(&mut tail, expired + Span::millis(10));
    let mut now = expired;
    let mut proposes = false;
    for _ in 0..40 {
        now = now + Span::millis(50);
        deliver_status(&mut tail, THIRD, now);
        let effects = tail.step(Input::Tick, now);
        let messages = sent_to(&effects, THIRD);
        proposes |= messages.iter().any(|message| matches!(message, CoreMessage::View(ViewMessage::Prepare { .. })));
    }
    assert!(!tail.tail_is_active(now));
    assert!(proposes, "nobody proposes a view with the third keeper");
}
