//! What tests of the coordinator share: keepers' messages as they arrive from the network.

#![allow(dead_code, reason = "each test program uses a part of it")]

use coordinator::prelude::*;
use units::prelude::*;

/// The life of every keeper that a test plays itself.
pub const PLAYED_LIFE: u64 = 1;

pub fn played(id: NodeId) -> KeeperLife {
    KeeperLife { id, life: PLAYED_LIFE }
}

/// A message of a keeper, addressed to the life that the coordinator has now.
pub fn from_keeper(coordinator: &Coordinator, from: NodeId, message: CoreMessage) -> Input {
    let to = Some(coordinator.own_life()).filter(|_| !message.is_for_anyone());
    Input::Peer(Envelope { fleet: coordinator.view().fleet, from: played(from), to, message })
}

/// What a keeper says that stands where the coordinator does, and hears everybody of its view.
pub fn news_of(coordinator: &Coordinator, from: NodeId) -> News {
    let view = coordinator.view();
    let address = format!("{from}:1");
    let stranger = Member { id: from, door: format!("{from}:2"), address, zone: "a".into() };
    News {
        member: view.member(from).cloned().unwrap_or(stranger),
        fleet: view.fleet,
        view: view.number,
        aligned: view.number,
        whole: view.number,
        last: coordinator.last(),
        committed: coordinator.last().edition,
        tail_active: view.tail() == Some(from),
        leaving: false,
        hears: view.voters.clone(),
    }
}

/// Has the coordinator hear a keeper, so that it knows which life of it to answer.
pub fn introduce(coordinator: &mut Coordinator, from: NodeId, now: Instant) -> Vec<Effect> {
    let news = CoreMessage::Pulse(news_of(coordinator, from));
    let input = from_keeper(coordinator, from, news);
    coordinator.step(input, now)
}

/// What the effects send to a keeper, whichever life of it.
pub fn sent_to(effects: &[Effect], to: NodeId) -> Vec<CoreMessage> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Send { envelope, .. } if envelope.to.is_some_and(|told| told.id == to) => Some(&envelope.message),
        _ => None,
    });
    sent.cloned().collect()
}
