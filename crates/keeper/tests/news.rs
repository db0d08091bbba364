//! Tasks that wait for a duty are notified when it is held again, even if its expiry was never published.

use keeper::prelude::*;
use units::prelude::*;

const TERM: Term = Term(3);

fn at(millis: u64) -> Instant {
    Instant(0) + Span::millis(millis)
}

fn holding(until: u64) -> KeeperSnapshot {
    KeeperSnapshot { census: Some((TERM, at(until))), ..KeeperSnapshot::default() }
}

#[test]
fn a_duty_renewed_in_time_needs_no_notification() {
    assert!(!holding(1200).requires_notification_after(&holding(1000), at(400)));
}

#[test]
fn a_duty_renewed_after_it_expired_needs_a_notification() {
    let (before, renewed) = (holding(1000), holding(2500));
    assert!(!before.holds_census(at(1600)), "a task that checked meanwhile is waiting");
    assert!(renewed.requires_notification_after(&before, at(1600)));
}

#[test]
fn a_duty_taken_over_or_lost_needs_a_notification() {
    assert!(holding(1000).requires_notification_after(&KeeperSnapshot::default(), at(1)));
    assert!(KeeperSnapshot::default().requires_notification_after(&holding(1000), at(1)));
    let next = KeeperSnapshot { census: Some((TERM.next(), at(1000))), ..KeeperSnapshot::default() };
    assert!(next.requires_notification_after(&holding(1000), at(1)));
}
