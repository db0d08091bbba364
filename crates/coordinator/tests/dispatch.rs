//! A message to a node that expired before it was sent is reported to the tail and sent again.

mod common;

use common::*;
use coordinator::prelude::*;
use units::prelude::*;

const NODE: NodeId = NodeId(100);
const OTHER: NodeId = NodeId(101);
/// An unchanged list of routers has been sent within this time.
const ROUTER_LIST_SENT_WITHIN: Span = Span::millis(1400);

fn push(node: NodeId, number: u64, until: Option<Instant>) -> Effect {
    let submission =
        Submission { request: RequestId(number), command: Command::Merge { base: None, patch: "{}".into() } };
    Effect::SendToNode {
        node,
        message: KeeperToAgent::Push { number: Edition(number), submission, age: None },
        until,
    }
}

#[test]
fn after_one_expired_message_later_ones_to_the_node_are_dropped() {
    let (early, late) = (START + Span::millis(10), START + Span::millis(90));
    let mut dispatch = Dispatch::default();
    assert!(dispatch.admit(push(NODE, 1, Some(late)), START).is_some());
    let now = START + Span::millis(50);
    assert!(dispatch.admit(push(NODE, 2, Some(early)), now).is_none());
    assert!(dispatch.admit(push(NODE, 3, Some(late)), now).is_none(), "the node would see a gap");
    assert!(dispatch.admit(push(NODE, 4, None), now).is_none());
    assert!(dispatch.admit(push(OTHER, 2, Some(late)), now).is_some());
    let inputs: Vec<Input> = dispatch.into_inputs().collect();
    let [Input::NotSent { node: NODE, messages }] = inputs.as_slice() else { panic!("{inputs:?}") };
    let numbers: Vec<u64> = messages.iter().map(number_of).collect();
    assert_eq!(numbers, [2, 3, 4]);
}

fn number_of(message: &KeeperToAgent) -> u64 {
    let KeeperToAgent::Push { number, .. } = message else { panic!("{message:?}") };
    number.0
}

/// The messages to the node that it must not miss.
fn sent_kinds(plan: &[Effect]) -> Vec<&'static str> {
    let messages = plan.iter().filter_map(|effect| match effect {
        Effect::SendToNode { node: NODE, message, .. } => Some(message),
        _ => None,
    });
    messages
        .filter_map(|message| match message {
            KeeperToAgent::Snapshot { .. } => Some("snapshot"),
            KeeperToAgent::Routers(_) => Some("doors"),
            KeeperToAgent::Membership(_) => Some("view"),
            _ => None,
        })
        .collect()
}

fn not_sent(plan: Vec<Effect>) -> Input {
    let messages = plan.into_iter().filter_map(|effect| match effect {
        Effect::SendToNode { node: NODE, message, .. } => Some(message),
        _ => None,
    });
    Input::NotSent { node: NODE, messages: messages.collect() }
}

#[test]
fn a_dropped_snapshot_is_sent_again_at_once() {
    let (mut coordinator, now) = acting_tail();
    let renewal = AgentToKeeper::Renew { sent: now, applied: None, incarnation: 1, router: None };
    let plan = coordinator.step(Input::Node { node: NODE, message: renewal }, now);
    assert_eq!(sent_kinds(&plan), ["view", "snapshot"]);
    assert_eq!(sent_kinds(&coordinator.step(Input::Tick, now)), [""; 0], "it counts as sent");
    assert_eq!(sent_kinds(&coordinator.step(not_sent(plan), now)), ["view", "snapshot"]);
    assert_eq!(sent_kinds(&coordinator.step(Input::Tick, now)), [""; 0]);
}

#[test]
fn a_dropped_router_list_is_sent_again_at_once() {
    let (mut coordinator, mut now) = acting_tail();
    let router = RouterAddress { router: NodeId(5), address: "r".into(), zone: Zone("z".into()), relay: None };
    let edition = coordinator.last().edition;
    let renewal = AgentToKeeper::Renew { sent: now, applied: Some(edition), incarnation: 1, router: Some(router) };
    coordinator.step(Input::Node { node: NODE, message: renewal }, now);
    let sent_by = now + ROUTER_LIST_SENT_WITHIN;
    let plan = loop {
        now = now + HEARTBEAT_INTERVAL;
        let plan = coordinator.step(Input::Tick, now);
        if !sent_kinds(&plan).is_empty() {
            break plan;
        }
        assert!(now < sent_by, "it is never sent");
    };
    assert_eq!(sent_kinds(&plan), ["doors"]);
    assert_eq!(sent_kinds(&coordinator.step(not_sent(plan), now)), ["doors"]);
    assert_eq!(sent_kinds(&coordinator.step(Input::Tick, now)), [""; 0], "it counts as sent");
}

#[test]
fn messages_dropped_for_a_disconnected_node_are_not_sent_again() {
    let (mut coordinator, now) = acting_tail();
    let renewal = AgentToKeeper::Renew { sent: now, applied: None, incarnation: 1, router: None };
    let plan = coordinator.step(Input::Node { node: NODE, message: renewal }, now);
    coordinator.step(Input::NodeDisconnected { node: NODE }, now);
    assert_eq!(sent_kinds(&coordinator.step(not_sent(plan), now)), [""; 0]);
}

/// The members of each view that the effects send to the node.
fn sent_members(plan: &[Effect]) -> Vec<Vec<NodeId>> {
    let views = plan.iter().filter_map(|effect| match effect {
        Effect::SendToNode { node: NODE, message: KeeperToAgent::Membership(view), .. } => Some(view),
        _ => None,
    });
    views.map(|view| view.members.iter().map(|member| member.id).collect()).collect()
}

#[test]
fn a_node_gets_views_with_new_members_from_an_unchanged_tail() {
    let (mut coordinator, now) = acting_tail();
    let renewal = AgentToKeeper::Renew { sent: now, applied: None, incarnation: 1, router: None };
    let plan = coordinator.step(Input::Node { node: NODE, message: renewal }, now);
    assert_eq!(sent_members(&plan), [[NodeId(1)]], "on its first renewal, though this is the tail");
    let newcomer = Member { id: NodeId(2), door: "n".into(), address: "n".into(), zone: Zone("z".into()) };
    let mut next_view = coordinator.view().clone();
    next_view.number = next_view.number.next();
    next_view.members.push(newcomer);
    let decided = CoreMessage::View(ViewMessage::Decided(next_view));
    let input = from_keeper(&coordinator, NodeId(2), decided);
    let mut plan = coordinator.step(input, now);
    let mut later = now;
    while sent_members(&plan).is_empty() {
        later = later + HEARTBEAT_INTERVAL;
        assert!(later < now + Span::seconds(5), "it is never sent");
        plan = coordinator.step(Input::Tick, later);
    }
    assert_eq!(sent_members(&plan), [[NodeId(1), NodeId(2)]]);
    assert_eq!(sent_kinds(&coordinator.step(Input::Tick, later)), [""; 0], "once");
}
