//! What a keeper takes for a restart of another one: only the return of a process that was ended. Old weights are
//! used longer after a restart, so silence, which a slow machine causes too, must not count as one.

mod common;

use common::*;
use coordinator::prelude::*;
use units::prelude::*;

const PEER: NodeId = NodeId(2);

/// Delivers the status of a keeper from one of its incarnations.
fn hear(coordinator: &mut Coordinator, id: NodeId, incarnation: u64, address: &str, now: Instant) {
    let mut status = status_of(coordinator, id);
    status.member.address = address.to_owned();
    let from = KeeperIncarnation { id, incarnation };
    let message = CoreMessage::Heartbeat(status);
    let envelope = Envelope { fleet: coordinator.view().fleet, from, to: None, message };
    coordinator.step(Input::Peer(envelope), now);
}

#[test]
fn a_keeper_that_falls_silent_and_is_heard_again_was_not_restarted() {
    let (mut coordinator, now) = acting_tail();
    hear(&mut coordinator, PEER, 1, "p", now);
    let heard_again = now + SUSPECT_TIMEOUT.times(2);
    coordinator.step(Input::Tick, heard_again);
    hear(&mut coordinator, PEER, 1, "p", heard_again);
    assert_eq!(coordinator.last_restart(), START, "only this keeper's own start is known");
}

#[test]
fn a_restart_is_dated_by_the_last_word_before_it() {
    let (mut coordinator, now) = acting_tail();
    hear(&mut coordinator, PEER, 1, "p", now);
    hear(&mut coordinator, PEER, 2, "p", now + Span::seconds(9));
    assert_eq!(coordinator.last_restart(), now);
}

#[test]
fn a_keeper_with_an_empty_disk_at_a_known_address_was_restarted() {
    let (mut coordinator, now) = acting_tail();
    hear(&mut coordinator, PEER, 1, "p", now);
    hear(&mut coordinator, NodeId(9), 1, "p", now + Span::seconds(9));
    assert_eq!(coordinator.last_restart(), now);
}

#[test]
fn a_keeper_at_a_new_address_may_have_run_before() {
    let (mut coordinator, now) = acting_tail();
    hear(&mut coordinator, PEER, 1, "p", now);
    hear(&mut coordinator, NodeId(9), 1, "q", now + Span::seconds(9));
    assert_eq!(coordinator.last_restart(), START);
}
