//! Node leases that may outlast an acknowledgement by the revocation slack.

use lease::prelude::*;
use units::prelude::*;

fn timing() -> Timing {
    Timing { node_lease: Span::millis(7000), revoke_slack: Span::millis(4000), ..Timing::DEFAULT }
}

fn at(millis: u64) -> Instant {
    Instant(0) + Span::millis(millis)
}

#[test]
fn a_node_within_the_slack_of_its_lease_end_does_not_delay_a_change() {
    let mut leases = NodeLeases::with_timing(timing(), Edition(1), at(0));
    let embargo = timing().embargo().as_millis();
    assert_eq!(embargo, 3100);
    assert!(!leases.may_acknowledge(at(embargo - 1)) && leases.may_acknowledge(at(embargo)));
    assert!(leases.renew(NodeId(1), Edition(1), Edition(0), at(4000)));
    assert_eq!(leases.advance_in_force(Edition(2), at(7099)), Edition(1), "the remaining lease exceeds the slack");
    assert!(leases.nodes_behind().is_empty());
    assert_eq!(leases.advance_in_force(Edition(2), at(7100)), Edition(2));
    assert_eq!(leases.nodes_behind(), [NodeId(1)]);
    assert!(
        !leases.renew(NodeId(1), Edition(1), Edition(0), at(7200)),
        "a node must apply the edition in force before it is renewed"
    );
    assert!(leases.renew(NodeId(1), Edition(2), Edition(0), at(7200)));
}

#[test]
fn a_removed_node_does_not_delay_a_change() {
    let mut leases = NodeLeases::with_timing(timing(), Edition(1), at(0));
    assert!(leases.renew(NodeId(1), Edition(1), Edition(0), at(4000)));
    assert_eq!(leases.advance_in_force(Edition(2), at(4001)), Edition(1));
    leases.remove(NodeId(1));
    assert_eq!(leases.advance_in_force(Edition(2), at(4002)), Edition(2));
}
