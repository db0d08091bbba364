//! Who waits for a duty is woken when it is held again, also if its lapse was never shown.

use keeper::prelude::*;
use units::prelude::*;

const TERM: Term = Term(3);

fn at(millis: u64) -> Instant {
    Instant(0) + Span::millis(millis)
}

fn holding(until: u64) -> Seen {
    Seen { census: Some((TERM, at(until))), ..Seen::default() }
}

#[test]
fn a_duty_renewed_in_time_is_no_news() {
    assert!(!holding(1200).is_news_after(&holding(1000), at(400)));
}

#[test]
fn a_duty_renewed_after_it_had_lapsed_is_news() {
    let (before, renewed) = (holding(1000), holding(2500));
    assert!(!before.holds_census(at(1600)), "whoever looked meanwhile waits");
    assert!(renewed.is_news_after(&before, at(1600)));
}

#[test]
fn a_duty_taken_over_or_lost_is_news() {
    assert!(holding(1000).is_news_after(&Seen::default(), at(1)));
    assert!(Seen::default().is_news_after(&holding(1000), at(1)));
    let next = Seen { census: Some((TERM.next(), at(1000))), ..Seen::default() };
    assert!(next.is_news_after(&holding(1000), at(1)));
}
