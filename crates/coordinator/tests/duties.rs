//! A duty lease is valid only for the keeper that requested it, not for an empty keeper at its address.

mod common;

use common::*;
use coordinator::prelude::*;
use desired::prelude::DutyKind;
use units::prelude::*;
use view::prelude::{Member, View};

const HOLDER: NodeId = NodeId(1);
const TAIL: NodeId = NodeId(2);
const REPLACEMENT: NodeId = NodeId(3);
const START: Instant = Instant(1_000_000_000_000);

fn member(id: NodeId) -> Member {
    Member { id, address: format!("{id}:1"), door: format!("{id}:2"), zone: "a".into() }
}

/// A keeper started in a view whose chain is the holder and the tail.
fn keeper(id: NodeId) -> Coordinator {
    let view = View {
        fleet: FleetId(1),
        number: ViewNumber(2),
        chain: vec![HOLDER, TAIL],
        voters: vec![HOLDER, TAIL],
        members: vec![member(HOLDER), member(TAIL)],
        ..View::default()
    };
    let persisted = PersistedState { view: Some(view), ..PersistedState::default() };
    Coordinator::restore(member(id), persisted, CoordinatorSettings::default(), 1, START)
}

/// Whether a keeper holds the conductor duty after receiving a lease grant for a request sent at `sent`.
fn holds_conductor_lease_after(keeper: &mut Coordinator, sent: Instant) -> bool {
    let message = CoreMessage::DutyLeaseGranted { sent, duties: vec![(DutyKind::Conductor, Term(1))] };
    let now = START + Span::millis(100);
    let input = from_keeper(keeper, TAIL, message);
    keeper.step(input, now);
    keeper.leased_duty(DutyKind::Conductor, now).is_some()
}

#[test]
fn a_keeper_that_requested_the_lease_holds_its_duty() {
    assert!(holds_conductor_lease_after(&mut keeper(HOLDER), START));
}

#[test]
fn a_grant_requested_by_an_earlier_process_is_ignored() {
    let before = Instant(START.0 - Span::millis(1).0);
    assert!(!holds_conductor_lease_after(&mut keeper(HOLDER), before));
}

#[test]
fn a_keeper_outside_the_chain_ignores_grants() {
    assert!(!holds_conductor_lease_after(&mut keeper(REPLACEMENT), START));
}
