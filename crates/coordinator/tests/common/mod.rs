//! Shared test helpers: messages of other keepers as they arrive from the network.

#![allow(dead_code, reason = "each test program uses a part of it")]

use coordinator::prelude::*;
use units::prelude::*;

/// The incarnation of every keeper that a test simulates.
pub const PEER_INCARNATION: u64 = 1;

pub fn peer_incarnation(id: NodeId) -> KeeperIncarnation {
    KeeperIncarnation { id, incarnation: PEER_INCARNATION }
}

/// A keeper's message addressed to the coordinator's current incarnation.
pub fn from_keeper(coordinator: &Coordinator, from: NodeId, message: CoreMessage) -> Input {
    let to = Some(coordinator.own_incarnation()).filter(|_| !message.is_broadcast());
    Input::Peer(Envelope { fleet: coordinator.view().fleet, from: peer_incarnation(from), to, message })
}

/// The status of a keeper in the same view and at the same log position as the coordinator, which hears all voters.
pub fn status_of(coordinator: &Coordinator, from: NodeId) -> KeeperStatus {
    let view = coordinator.view();
    let address = format!("{from}:1");
    let stranger = Member { id: from, door: format!("{from}:2"), address, zone: "a".into() };
    KeeperStatus {
        member: view.member(from).cloned().unwrap_or(stranger),
        fleet: view.fleet,
        view: view.number,
        synced_view: view.number,
        complete_view: view.number,
        last: coordinator.last(),
        committed: coordinator.last().edition,
        tail_active: view.tail() == Some(from),
        leaving: false,
        hears: view.voters.clone(),
    }
}

/// Delivers a keeper's status, so that the coordinator knows which incarnation to reply to.
pub fn deliver_status(coordinator: &mut Coordinator, from: NodeId, now: Instant) -> Vec<Effect> {
    let status = CoreMessage::Heartbeat(status_of(coordinator, from));
    let input = from_keeper(coordinator, from, status);
    coordinator.step(input, now)
}

/// The messages that the effects send to any incarnation of a keeper.
pub fn sent_to(effects: &[Effect], to: NodeId) -> Vec<CoreMessage> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Send { envelope, .. } if envelope.to.is_some_and(|addressee| addressee.id == to) => {
            Some(&envelope.message)
        }
        _ => None,
    });
    sent.cloned().collect()
}

/// The start time of the tests.
pub const START: Instant = Instant(1_000_000_000);

/// A single keeper that acts as the tail, with a read lease granted by its own vote.
pub fn acting_tail() -> (Coordinator, Instant) {
    let address = "k".to_owned();
    let me = Member { id: NodeId(1), door: address.clone(), address, zone: Zone("z".into()) };
    let mut persisted = PersistedState::default();
    for stored in Coordinator::bootstrap(&me, FleetId(7), FleetState::default()) {
        match stored {
            Stored::Snapshot { position, state } => (persisted.position, persisted.state) = (position, *state),
            Stored::View(view) => persisted.view = Some(view),
            Stored::SyncedView(view) => persisted.synced_view = view,
            Stored::CompleteView(view) => persisted.complete_view = view,
            _ => {}
        }
    }
    let settings = CoordinatorSettings { core_size: 1, ..CoordinatorSettings::default() };
    let mut coordinator = Coordinator::restore(me, persisted, settings, 1, START);
    let mut now = START;
    while !coordinator.tail_is_active(now) {
        now = now + HEARTBEAT_INTERVAL;
        assert!(now < START + Span::seconds(10), "it never acts");
        coordinator.step(Input::Tick, now);
    }
    (coordinator, now)
}
