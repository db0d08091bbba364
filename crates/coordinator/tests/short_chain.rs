//! A chain that has become too short for the losses that the fleet must bear tells and counts nothing that it
//! does not hold on enough disks already.

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
    let kept = Kept { view: Some(view), aligned: number, whole: number, begun: number, ..Kept::default() };
    let mut tail = Coordinator::restore(member(TAIL), kept, Wishes::default(), 1, START);
    lend_read_lease(&mut tail, START);
    assert!(tail.tail_is_active(START));
    tail
}

fn lend_read_lease(tail: &mut Coordinator, now: Instant) {
    let view = tail.view().number;
    for voter in [HEAD, THIRD] {
        let input = from_keeper(tail, voter, CoreMessage::ReadLeaseGiven { view, sent: now });
        tail.step(input, now);
    }
}

/// Has the head pass a change on; the same step may not yet count it.
fn append(tail: &mut Coordinator, number: u64, now: Instant) -> Vec<Effect> {
    let previous = tail.last();
    let mark = LogPosition { edition: previous.edition.next(), view: tail.view().number };
    let patch = format!(r#"{{"kinds":["k{number}"]}}"#);
    let submission = Submission { request: RequestId(number), command: Command::Merge { base: None, patch } };
    let append =
        ChainMessage::Append { view: tail.view().number, previous, records: vec![Record { mark, submission }] };
    let input = from_keeper(tail, HEAD, CoreMessage::Chain(append));
    tail.step(input, now)
}

/// The head's disk is lost: the next view has this member alone in its chain.
fn lose_head(tail: &mut Coordinator, now: Instant) {
    let decided = CoreMessage::View(ViewMessage::Decided(view_of(3, &[TAIL])));
    let input = from_keeper(tail, THIRD, decided);
    tail.step(input, now);
    lend_read_lease(tail, now);
}

fn asks(tail: &mut Coordinator, question: Question, now: Instant) -> bool {
    let message = CoreMessage::Ask { ticket: 9, question };
    let input = from_keeper(tail, THIRD, message);
    let effects = tail.step(input, now);
    sent_to(&effects, THIRD).iter().any(|message| matches!(message, CoreMessage::Outcome { .. }))
}

#[test]
fn a_change_that_came_to_a_single_disk_is_neither_told_nor_counted() {
    let mut tail = acting_tail();
    // The view changes before this tail has counted the change: it stands on its own disk, and on one just lost.
    lose_head(&mut tail, START + Span::millis(10));
    let committed = tail.last().edition;
    assert!(tail.tail_is_active(START + Span::millis(20)), "what was counted on two disks is served");
    let mut tail = acting_tail();
    let expired = START + Span::seconds(1);
    append(&mut tail, 7, expired);
    assert!(tail.last().edition > committed, "it has the change");
    assert!(!tail.tail_is_active(expired), "without a read lease it has not counted it");
    lose_head(&mut tail, expired + Span::millis(10));
    let now = expired + Span::millis(20);
    assert!(!tail.tail_is_active(now), "it acts on a change that one disk holds");
    assert!(!asks(&mut tail, Question::Configuration, now));
    assert!(!asks(&mut tail, Question::Settled { request: RequestId(7), fingerprint: None }, now));
}

#[test]
fn once_another_disk_holds_it_it_is_served() {
    let mut tail = acting_tail();
    let expired = START + Span::seconds(1);
    append(&mut tail, 7, expired);
    lose_head(&mut tail, expired + Span::millis(10));
    let grown = CoreMessage::View(ViewMessage::Decided(view_of(4, &[TAIL, THIRD])));
    let now = expired + Span::millis(20);
    let input = from_keeper(&tail, THIRD, grown);
    tail.step(input, now);
    assert!(tail.view().accepts_writes());
}

/// The other voters are still there, so one of them is taken into the chain, though its tail does not act.
#[test]
fn a_chain_that_is_too_short_grows_though_its_tail_rests() {
    let mut tail = acting_tail();
    let expired = START + Span::seconds(1);
    append(&mut tail, 7, expired);
    lose_head(&mut tail, expired + Span::millis(10));
    let mut now = expired;
    let mut proposes = false;
    for _ in 0..40 {
        now = now + Span::millis(50);
        introduce(&mut tail, THIRD, now);
        let effects = tail.step(Input::Pulse, now);
        let asked = sent_to(&effects, THIRD);
        proposes |= asked.iter().any(|message| matches!(message, CoreMessage::View(ViewMessage::Prepare { .. })));
    }
    assert!(!tail.tail_is_active(now));
    assert!(proposes, "nobody takes the third keeper in");
}
