//! Durations derived from bounds, and bounds that cannot be met.

use timing::prelude::*;
use units::prelude::*;

#[test]
fn the_lease_is_as_long_as_acknowledgement_and_revocation_allow() {
    let bounds = Bounds::default();
    let timing = Timing::derive(&bounds).unwrap();
    assert_eq!(timing.revoke_slack, Span::millis(4300));
    assert_eq!(timing.node_lease, Span::millis(6500));
    assert!(timing.embargo() < bounds.ack, "a new tail acknowledges in time");
    let last_start = timing.revoke_slack;
    assert!(last_start < bounds.revoke, "no lease outlasts the bound on withdrawn keys");
}

#[test]
fn without_strict_revocation_the_wait_for_a_silent_node_is_short() {
    let bounds = Bounds { strict_revoke: false, ..Bounds::default() };
    let timing = Timing::derive(&bounds).unwrap();
    assert!(timing.node_lease > Span::seconds(10));
    assert_eq!(timing.embargo(), Span::millis(2000));
}

#[test]
fn a_node_without_a_grant_stops_within_the_bound_on_changes() {
    for strict_revoke in [true, false] {
        for apply in [300, 1000, 2000, 2500, 3000] {
            for ack in [2000, 4000, 5000, 6000] {
                let bounds =
                    Bounds { strict_revoke, apply: Span::millis(apply), ack: Span::millis(ack), ..Bounds::default() };
                let timing = Timing::derive(&bounds).unwrap();
                assert!(timing.unconfirmed_span <= timing.node_lease);
                let earliest_acknowledgement = timing.embargo();
                assert!(timing.unconfirmed_span < earliest_acknowledgement + bounds.apply);
                assert!(timing.passed_over_span < earliest_acknowledgement, "{bounds:?}");
            }
        }
    }
    let usual = Timing::derive(&Bounds { strict_revoke: false, ..Bounds::default() }).unwrap();
    let renewals = renewal_interval(usual.node_lease);
    assert!(usual.passed_over_span > renewals, "an outage of the core must not make nodes appear passed over");
}

#[test]
fn the_gap_between_two_holders_orders_exceeds_the_bound() {
    let bounds = Bounds { lease: Span::millis(6000), ..Bounds::default() };
    let timing = Timing::derive(&bounds).unwrap();
    assert!(timing.duty_gap >= timing.duty_lease + LEASE_MARGIN + bounds.lease);
}

#[test]
fn replacement_and_old_weights_follow_their_bounds() {
    let bounds = Bounds { catch_up: Span::seconds(10), version: Span::seconds(20), ..Bounds::default() };
    let timing = Timing::derive(&bounds).unwrap();
    assert_eq!(timing.replace_after, Span::seconds(9));
    assert_eq!(timing.old_weights_span, Span::millis(18_500));
    assert_eq!(timing.old_weights_start_span, Span::millis(19_700));
    let hasty = Timing::derive(&Bounds { catch_up: Span::seconds(1), ..Bounds::default() }).unwrap();
    assert_eq!(hasty.replace_after, Span::millis(2500));
}

#[test]
fn impossible_bounds_are_rejected_by_name() {
    let refused = |bounds: Bounds| Timing::derive(&bounds).unwrap_err().join("; ");
    assert!(refused(Bounds { ack: Span::millis(500), ..Bounds::default() }).contains("ack_ms: 500 ms"));
    assert!(refused(Bounds { revoke: Span::millis(300), ..Bounds::default() }).contains("revoke_ms"));
    assert!(refused(Bounds { version: Span::millis(1000), ..Bounds::default() }).contains("version_ms"));
}

#[test]
fn the_default_timing_applies_without_bounds() {
    let usual = Timing::default();
    assert_eq!((usual.node_lease, usual.revoke_slack), (Span::millis(2000), Span(0)));
    assert_eq!(usual.embargo(), Span::millis(2100));
}

#[test]
fn a_stopping_router_leaves_time_for_its_last_requests() {
    let usual = Timing::derive(&Bounds::default()).unwrap();
    assert_eq!((usual.intake_span, usual.drain_span), (Span::millis(2600), Span::millis(7400)));
    let hasty = Timing::derive(&Bounds { grace: Span::seconds(4), ..Bounds::default() }).unwrap();
    assert_eq!((hasty.intake_span, hasty.drain_span), (Span::millis(1600), Span::millis(3400)));
    let none = Timing::derive(&Bounds { grace: Span::millis(200), ..Bounds::default() }).unwrap_err();
    assert!(none.join("; ").contains("grace: 200 ms"));
}
