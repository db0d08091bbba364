//! How long an engine may work on an attempt unless its router extends the time: no longer than the router's
//! own work may outlive its lease. A frozen or lost router cannot cancel anything, so its engines stop its
//! attempts by themselves. A live router extends the allowance before it runs out.

use crate::prelude::*;

/// How long before an allowance ends the router asks for an extension.
const EXTEND_AHEAD: Span = Span::seconds(2);
/// Lets a live router stop its attempts before the engine does, so that the caller is told the reason.
const ENGINE_SLACK: Span = Span::millis(300);

/// The time until which an engine may work on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    until: Instant,
}

impl Allowance {
    /// The allowance under a router's lease and the request's own time limit.
    pub fn under(lease_until: Instant, limit: Instant) -> Allowance {
        Allowance { until: limit.min(lease_until + LEASE_GRACE + ENGINE_SLACK) }
    }

    /// The time left.
    pub fn left(&self, now: Instant) -> Span {
        self.until.since(now)
    }

    /// When to ask for an extension; `None` if the request's own limit comes first.
    pub fn due(&self, limit: Instant) -> Option<Instant> {
        (self.until < limit).then(|| Instant(self.until.0.saturating_sub(EXTEND_AHEAD.0)))
    }

    /// The extended allowance, if an extension is due and the lease, in force or not, allows a later end.
    pub fn more(&self, lease_until: Instant, limit: Instant, now: Instant) -> Option<Allowance> {
        let is_due = self.due(limit).is_some_and(|due| now >= due);
        let next = Allowance::under(lease_until, limit);
        (is_due && next.until > self.until).then_some(next)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn at(seconds: u64) -> Instant {
        Instant(0) + Span::seconds(seconds)
    }

    #[test]
    fn an_allowance_ends_with_the_routers_lease_and_grace() {
        let limit = at(30);
        let first = Allowance::under(at(2), limit);
        assert_eq!(first.left(at(0)), Span::millis(6300));
        assert_eq!(first.more(at(5), limit, at(4)), None, "not due yet");
        assert_eq!(first.more(at(2), limit, at(5)), None, "the lease was not renewed");
        let second = first.more(at(6), limit, at(5)).unwrap();
        assert_eq!(second.left(at(4)), Span::millis(6300));
        assert_eq!(Allowance::under(at(40), limit).due(limit), None, "the limit comes first");
        assert_eq!(Allowance::under(at(2), at(3)).left(at(0)), Span::seconds(3));
    }
}
