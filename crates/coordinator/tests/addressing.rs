//! A message between keepers is handled only by the incarnation to which it is addressed.

mod common;

use common::*;
use coordinator::prelude::*;
use units::prelude::*;
use view::prelude::{Member, View};

const OTHER: NodeId = NodeId(1);
const ME: NodeId = NodeId(2);
const THIRD: NodeId = NodeId(3);
const START: Instant = Instant(1_000_000_000_000);
const INCARNATION: u64 = 70;

fn member(id: NodeId) -> Member {
    Member { id, address: format!("{id}:1"), door: format!("{id}:2"), zone: "a".into() }
}

/// The tail of a chain of three.
fn tail_with_incarnation(incarnation: u64) -> Coordinator {
    let view = View {
        fleet: FleetId(1),
        number: ViewNumber(2),
        chain: vec![OTHER, THIRD, ME],
        voters: vec![OTHER, THIRD, ME],
        members: vec![member(OTHER), member(THIRD), member(ME)],
        ..View::default()
    };
    let number = view.number;
    let persisted = PersistedState {
        view: Some(view),
        synced_view: number,
        complete_view: number,
        begun: number,
        ..PersistedState::default()
    };
    Coordinator::restore(member(ME), persisted, CoordinatorSettings::default(), incarnation, START)
}

fn envelope(to: Option<KeeperIncarnation>, fleet: FleetId, message: CoreMessage) -> Input {
    Input::Peer(Envelope { fleet, from: peer_incarnation(OTHER), to, message })
}

/// A read lease grant for a request sent long after `START`, as an incarnation before a reboot can have sent it.
fn read_lease_from_the_future() -> CoreMessage {
    CoreMessage::ReadLeaseGranted { view: ViewNumber(2), sent: START + Span::seconds(3600) }
}

#[test]
fn a_read_lease_granted_to_an_earlier_incarnation_is_ignored() {
    let mut tail = tail_with_incarnation(INCARNATION);
    let earlier = KeeperIncarnation { id: ME, incarnation: INCARNATION - 1 };
    tail.step(Input::Tick, START);
    for voter in [OTHER, THIRD] {
        let message = read_lease_from_the_future();
        let from = peer_incarnation(voter);
        tail.step(Input::Peer(Envelope { fleet: FleetId(1), from, to: Some(earlier), message }), START);
    }
    assert!(
        !tail.tail_is_active(START + Span::seconds(20)),
        "it acts after twenty seconds without a valid read lease"
    );
    assert_eq!(tail.misdirected(), 2);
}

#[test]
fn messages_to_the_current_incarnation_are_handled() {
    let mut tail = tail_with_incarnation(INCARNATION);
    for voter in [OTHER, THIRD] {
        let message = CoreMessage::ReadLeaseGranted { view: ViewNumber(2), sent: START };
        let input = from_keeper(&tail, voter, message);
        tail.step(input, START);
    }
    assert!(tail.tail_is_active(START + Span::millis(100)));
    assert_eq!(tail.misdirected(), 0);
}

#[test]
fn an_answer_to_an_earlier_incarnation_is_dropped() {
    let mut keeper = tail_with_incarnation(INCARNATION);
    let query = CoreQuery::Configuration;
    let (ticket, deadline) = (5, START + Span::seconds(3));
    keeper.step(Input::Query { ticket, query, deadline }, START);
    let outcome = QueryOutcome::Configuration { revision: Revision(1), source: "old".into() };
    let answer = CoreMessage::Outcome { ticket, outcome };
    let earlier = KeeperIncarnation { id: ME, incarnation: INCARNATION - 1 };
    let effects = keeper.step(envelope(Some(earlier), FleetId(1), answer.clone()), START);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Outcome { .. })));
    let own = Some(keeper.own_incarnation());
    let effects = keeper.step(envelope(own, FleetId(1), answer), START);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Outcome { ticket: 5, .. })));
}

#[test]
fn messages_of_another_fleet_or_without_a_receiver_are_dropped() {
    let mut keeper = tail_with_incarnation(INCARNATION);
    let own = Some(keeper.own_incarnation());
    for (to, fleet) in [(own, FleetId(9)), (None, FleetId(1)), (Some(peer_incarnation(THIRD)), FleetId(1))] {
        let ballot = Ballot { round: 1, proposer: OTHER };
        let prepare = CoreMessage::View(ViewMessage::Prepare { next: ViewNumber(3), ballot });
        let effects = keeper.step(envelope(to, fleet, prepare), START);
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::Store(_))), "{to:?} {fleet}: it voted");
    }
    assert_eq!(keeper.misdirected(), 3);
}

/// A keeper that sends to an earlier incarnation receives the current one's status and then sends to that.
#[test]
fn a_restarted_keeper_is_known_after_one_exchange() {
    let (mut first, mut second) = (tail_with_incarnation(INCARNATION), tail_with_incarnation(INCARNATION + 1));
    deliver_status(&mut first, OTHER, START);
    let earlier = Some(first.own_incarnation());
    let ask = CoreMessage::DutyLeaseRequest { sent: START };
    let effects = second.step(envelope(earlier, FleetId(1), ask), START);
    let sent = effects.iter().find_map(|effect| match effect {
        Effect::Send { envelope, .. } => Some(envelope.clone()),
        _ => None,
    });
    let sent = sent.expect("it sends its status");
    assert_eq!(sent.from, second.own_incarnation());
    assert!(matches!(sent.message, CoreMessage::Heartbeat(_)));
}

/// The answer goes to the incarnation that asked, not to the one heard last.
#[test]
fn an_answer_is_addressed_to_the_incarnation_that_asked() {
    let mut tail = tail_with_incarnation(INCARNATION);
    deliver_status(&mut tail, OTHER, START);
    deliver_status(&mut tail, THIRD, START);
    for voter in [OTHER, THIRD] {
        let input = from_keeper(&tail, voter, CoreMessage::ReadLeaseGranted { view: ViewNumber(2), sent: START });
        tail.step(input, START);
    }
    let requester = KeeperIncarnation { id: OTHER, incarnation: PEER_INCARNATION + 8 };
    let message = CoreMessage::Query { ticket: 4, query: CoreQuery::Configuration };
    let to = Some(tail.own_incarnation());
    let effects = tail.step(Input::Peer(Envelope { fleet: FleetId(1), from: requester, to, message }), START);
    let answered: Vec<Option<KeeperIncarnation>> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send { envelope, .. } if matches!(envelope.message, CoreMessage::Outcome { .. }) => {
                Some(envelope.to)
            }
            _ => None,
        })
        .collect();
    assert_eq!(answered, [Some(requester)]);
}

/// Replies to misdirected messages are limited to one per heartbeat interval, since each reply makes the sender send
/// again.
#[test]
fn replies_to_misdirected_messages_are_rate_limited() {
    let mut keeper = tail_with_incarnation(INCARNATION);
    deliver_status(&mut keeper, OTHER, START);
    let earlier = Some(KeeperIncarnation { id: ME, incarnation: INCARNATION - 1 });
    let mut answers = 0;
    for number in 0..1000 {
        let now = START + Span::millis(number);
        let effects = keeper.step(envelope(earlier, FleetId(1), CoreMessage::DutyLeaseRequest { sent: now }), now);
        answers += effects.iter().filter(|effect| matches!(effect, Effect::Send { .. })).count();
    }
    assert_eq!(answers as u64, Span::seconds(1).0 / HEARTBEAT_INTERVAL.0);
}
