//! A router takes changes without gaps only: none is passed on to one that has no state they could follow.

use courier::prelude::*;
use units::prelude::*;
use warden::prelude::{Command, FleetState, NodeDown, Submission};

const NOW: Instant = Instant(1_000_000_000);

/// Whether a push that comes now is passed on to the router.
fn passes_on(courier: &mut Courier) -> bool {
    let submission = Submission { request: RequestId(1), command: Command::Merge { base: None, patch: "{}".into() } };
    let push = NodeDown::Push { number: Edition(7), submission, age: Some(Span(0)) };
    let plan = courier.step(CourierInput::Core(push), NOW);
    plan.iter().any(|effect| matches!(effect, CourierEffect::SayRouter(RouterDown::Push { .. })))
}

#[test]
fn a_router_without_a_state_is_pushed_no_change() {
    let mut courier = Courier::new(vec!["k".into()], 0);
    courier.step(CourierInput::Pulse, NOW);
    courier.step(CourierInput::CoreUp, NOW);
    courier.step(CourierInput::RouterUp, NOW);
    assert!(!passes_on(&mut courier), "it was pushed for another life of the router");
    let state = Box::new(FleetState::default());
    courier.step(CourierInput::Core(NodeDown::Snapshot { state, gave_way: Vec::new() }), NOW);
    assert!(passes_on(&mut courier), "it follows the snapshot");
    courier.step(CourierInput::RouterDown, NOW);
    courier.step(CourierInput::RouterUp, NOW);
    assert!(!passes_on(&mut courier), "the router has begun again without a state");
    courier.step(CourierInput::Router(RouterUp::Applied { edition: Edition(6) }), NOW);
    assert!(passes_on(&mut courier), "it has kept its state");
}
