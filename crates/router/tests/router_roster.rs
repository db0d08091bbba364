//! Routers that a list leaves out are still counted for a limited time.

use router::prelude::*;

fn at(millis: u64) -> Instant {
    Instant(0) + Span::seconds(100) + Span::millis(millis)
}

fn address(router: u64, host: u64) -> RouterAddress {
    RouterAddress { router: NodeId(router), address: format!("10.0.0.{host}:1"), zone: "z".into(), relay: None }
}

fn list(routers: std::ops::Range<u64>) -> Vec<RouterAddress> {
    routers.map(|router| address(router, router)).collect()
}

fn counted(roster: &mut RouterRoster, now: Instant) -> Vec<u64> {
    let mut counted: Vec<u64> = roster.counted(now).iter().map(|listed| listed.router.0).collect();
    counted.sort_unstable();
    counted
}

#[test]
fn an_incomplete_list_removes_no_router_at_once() {
    let mut roster = RouterRoster::default();
    roster.take(list(0..89), at(0));
    roster.take(list(0..1), at(1000));
    assert_eq!(counted(&mut roster, at(1000)).len(), 89);
    roster.take(list(0..30), at(2000));
    assert_eq!(counted(&mut roster, at(5900)).len(), 89);
    roster.take(list(0..89), at(5950));
    assert_eq!(counted(&mut roster, at(60_000)).len(), 89);
}

#[test]
fn a_router_left_out_for_the_retention_time_is_removed_however_many_lists_come() {
    let mut roster = RouterRoster::default();
    roster.take(list(0..4), at(0));
    for step in 1..=12 {
        roster.take(list(0..3), at(step * 500));
        let expected = if step * 500 < 5500 { vec![0, 1, 2, 3] } else { vec![0, 1, 2] };
        assert_eq!(counted(&mut roster, at(step * 500)), expected, "after {} ms", step * 500);
    }
}

#[test]
fn a_restarted_router_replaces_its_earlier_entry() {
    let mut roster = RouterRoster::default();
    roster.take(list(0..3), at(0));
    roster.take(vec![address(0, 0), address(1, 1), address(77, 2)], at(100));
    assert_eq!(counted(&mut roster, at(100)), [0, 1, 77]);
}
