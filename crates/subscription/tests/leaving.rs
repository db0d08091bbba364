//! An agent that gives up its keeper dials another one.

use coordinator::prelude::{KeeperToAgent, Member, View};
use std::collections::BTreeSet;
use subscription::prelude::*;
use units::prelude::*;

const KEEPERS: u64 = 4;
const TAIL: u64 = 3;

fn at(millis: u64) -> Instant {
    Instant(0) + Span::seconds(10) + Span::millis(millis)
}

fn address(number: u64) -> String {
    format!("10.0.0.{number}:1")
}

fn view() -> View {
    let ids: Vec<NodeId> = (0..KEEPERS).map(NodeId).collect();
    let member = |id: &NodeId| Member { id: *id, address: address(id.0), door: String::new(), zone: "z".into() };
    View {
        fleet: FleetId(1),
        number: ViewNumber(4),
        chain: ids.clone(),
        voters: ids.clone(),
        members: ids.iter().map(member).collect(),
        ..View::default()
    }
}

/// A later view with the same tail, in which some keepers have been replaced.
fn view_after(gone: &[u64], come: &[u64]) -> View {
    let mut later = view();
    later.number = later.number.next();
    let member = |id: &u64| Member { id: NodeId(*id), address: address(*id), door: String::new(), zone: "z".into() };
    later.members.retain(|member| !gone.contains(&member.id.0));
    later.members.extend(come.iter().map(member));
    later.chain = later.members.iter().map(|member| member.id).filter(|id| id.0 != TAIL).collect();
    later.chain.push(NodeId(TAIL));
    later.voters = later.chain.clone();
    later
}

fn dialled(effects: Vec<SubscriptionEffect>) -> Option<String> {
    effects.into_iter().find_map(|effect| match effect {
        SubscriptionEffect::Dial(address) => Some(address),
        _ => None,
    })
}

/// An agent connected to the tail, with a lease just granted; `spread` is its position in the dial order.
fn connected_to_tail(spread: usize) -> Subscription {
    let mut subscription = Subscription::new(vec![address(0), address(1), address(TAIL)], spread);
    subscription.step(SubscriptionInput::Tick, at(0));
    subscription.step(SubscriptionInput::CoreConnected, at(0));
    subscription.step(SubscriptionInput::RouterConnected, at(0));
    if dialled(subscription.step(SubscriptionInput::Core(KeeperToAgent::Membership(view())), at(300))).is_some() {
        subscription.step(SubscriptionInput::CoreConnected, at(310));
    }
    let (sent, span) = (at(400), Span::millis(6500));
    let granted = KeeperToAgent::Granted { sent, span, incarnation: 1, since_restart: Span::seconds(60) };
    subscription.step(SubscriptionInput::Core(granted), at(400));
    subscription
}

/// The keeper dialled after the current one answers but grants nothing.
fn dialled_without_grants(subscription: &mut Subscription) -> String {
    for now in (410..4000).step_by(10) {
        subscription.step(SubscriptionInput::Core(KeeperToAgent::NotNow), at(now));
        if let Some(address) = dialled(subscription.step(SubscriptionInput::Tick, at(now))) {
            return address;
        }
    }
    panic!("never left")
}

#[test]
fn a_tail_that_grants_nothing_is_not_redialled_at_once() {
    for spread in 0..12 {
        let mut subscription = connected_to_tail(spread);
        assert_ne!(dialled_without_grants(&mut subscription), address(TAIL), "spread {spread}");
    }
}

#[test]
fn an_unreachable_keeper_is_not_redialled_at_once() {
    for spread in 0..12 {
        let mut subscription = connected_to_tail(spread);
        let first = dialled_without_grants(&mut subscription);
        let second =
            (4000..8000).step_by(10).find_map(|now| dialled(subscription.step(SubscriptionInput::Tick, at(now))));
        assert_ne!(second, Some(first), "spread {spread}");
    }
}

#[test]
fn the_only_known_keeper_is_redialled() {
    let mut subscription = Subscription::new(vec![address(0)], 0);
    subscription.step(SubscriptionInput::Tick, at(0));
    subscription.step(SubscriptionInput::CoreConnected, at(0));
    subscription.step(SubscriptionInput::RouterConnected, at(0));
    assert_eq!(dialled_without_grants(&mut subscription), address(0));
}

#[test]
fn an_agent_finds_keepers_that_replaced_all_it_knew() {
    for spread in 0..12 {
        let mut subscription = connected_to_tail(spread);
        let replaced = view_after(&[0, 1, 2], &[4, 5, 6]);
        let input = SubscriptionInput::Core(KeeperToAgent::Membership(replaced.clone()));
        assert_eq!(dialled(subscription.step(input, at(500))), None, "its tail is the same");
        subscription.step(SubscriptionInput::CoreDisconnected, at(600));
        let mut dialled_addresses = BTreeSet::new();
        for now in (600..6000).step_by(10) {
            if let Some(address) = dialled(subscription.step(SubscriptionInput::Tick, at(now))) {
                dialled_addresses.insert(address);
                subscription.step(SubscriptionInput::CoreDisconnected, at(now));
            }
        }
        for member in &replaced.members {
            assert!(dialled_addresses.contains(&member.address), "spread {spread}: {}", member.address);
        }
    }
}

#[test]
fn a_redirect_to_the_tail_is_followed_within_100_ms() {
    for spread in 0..12 {
        let mut subscription = connected_to_tail(spread);
        let other = dialled_without_grants(&mut subscription);
        let up = at(5000);
        subscription.step(SubscriptionInput::CoreDisconnected, at(4500));
        let target = (4500..5000)
            .step_by(10)
            .find_map(|now| dialled(subscription.step(SubscriptionInput::Tick, at(now))))
            .unwrap_or(other);
        subscription.step(SubscriptionInput::CoreConnected, up);
        if target == address(TAIL) {
            continue;
        }
        let named = SubscriptionInput::Core(KeeperToAgent::Membership(view()));
        let mut first = dialled(subscription.step(named, up + Span::millis(2)));
        for waited in (2..100).step_by(2) {
            first = first.or_else(|| dialled(subscription.step(SubscriptionInput::Tick, up + Span::millis(waited))));
        }
        assert_eq!(first, Some(address(TAIL)), "spread {spread}");
    }
}

#[test]
fn a_redirect_is_forgotten_once_the_keeper_grants() {
    let mut subscription = Subscription::new(vec![address(0), address(1)], 0);
    let first = dialled(subscription.step(SubscriptionInput::Tick, at(0)));
    assert_eq!(first, Some(address(0)));
    subscription.step(SubscriptionInput::CoreConnected, at(1));
    subscription.step(SubscriptionInput::RouterConnected, at(1));
    let named = SubscriptionInput::Core(KeeperToAgent::Membership(view()));
    assert_eq!(dialled(subscription.step(named, at(3))), None, "it was dialled just now");
    let granted = KeeperToAgent::Granted {
        sent: at(3),
        span: Span::seconds(6),
        incarnation: 1,
        since_restart: Span::seconds(60),
    };
    subscription.step(SubscriptionInput::Core(granted), at(4));
    for now in 5..500 {
        assert_eq!(dialled(subscription.step(SubscriptionInput::Tick, at(now))), None);
    }
}

#[test]
fn a_seed_that_is_a_member_is_dialled_once_per_round() {
    for spread in 0..12 {
        let mut subscription = connected_to_tail(spread);
        subscription.step(SubscriptionInput::CoreDisconnected, at(500));
        let mut turn = Vec::new();
        for now in (500..8000).step_by(10) {
            if let Some(address) = dialled(subscription.step(SubscriptionInput::Tick, at(now))) {
                turn.push(address);
                subscription.step(SubscriptionInput::CoreDisconnected, at(now));
            }
        }
        for window in turn.windows(KEEPERS as usize) {
            let distinct: BTreeSet<&String> = window.iter().collect();
            assert_eq!(distinct.len(), KEEPERS as usize, "spread {spread}: {window:?}");
        }
    }
}
