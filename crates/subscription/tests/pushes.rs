//! A router applies changes without gaps only: no change is forwarded to a router without a state to apply it to.

use coordinator::prelude::{Command, FleetState, KeeperToAgent, Submission};
use subscription::prelude::*;
use units::prelude::*;

const NOW: Instant = Instant(1_000_000_000);

/// Whether a push that arrives now is forwarded to the router.
fn forwards_push(subscription: &mut Subscription) -> bool {
    let submission = Submission { request: RequestId(1), command: Command::Merge { base: None, patch: "{}".into() } };
    let push = KeeperToAgent::Push { number: Edition(7), submission, age: Some(Span(0)) };
    let plan = subscription.step(SubscriptionInput::Core(push), NOW);
    plan.iter().any(|effect| matches!(effect, SubscriptionEffect::SendToRouter(AgentToRouter::Push { .. })))
}

#[test]
fn no_change_is_forwarded_to_a_router_without_a_state() {
    let mut subscription = Subscription::new(vec!["k".into()], 0);
    subscription.step(SubscriptionInput::Tick, NOW);
    subscription.step(SubscriptionInput::CoreConnected, NOW);
    subscription.step(SubscriptionInput::RouterConnected, NOW);
    assert!(!forwards_push(&mut subscription), "it was pushed for another incarnation of the router");
    let state = Box::new(FleetState::default());
    subscription.step(SubscriptionInput::Core(KeeperToAgent::Snapshot { state, gave_way: Vec::new() }), NOW);
    assert!(forwards_push(&mut subscription), "it follows the snapshot");
    subscription.step(SubscriptionInput::RouterDisconnected, NOW);
    subscription.step(SubscriptionInput::RouterConnected, NOW);
    assert!(!forwards_push(&mut subscription), "the router has restarted without a state");
    subscription.step(SubscriptionInput::Router(RouterToAgent::Applied { edition: Edition(6) }), NOW);
    assert!(forwards_push(&mut subscription), "it has kept its state");
}
