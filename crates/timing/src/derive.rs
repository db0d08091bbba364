//! The spans themselves, and how they follow from the bounds.

use crate::prelude::*;

/// Added by whoever waits for another's lease to run out, against clocks of unequal rate.
pub const LEASE_MARGIN: Span = Span::millis(100);
/// Between the end of a node's lease and the bound on withdrawn keys: requests on their way, and the
/// answer's own way to the operator.
const REVOKE_MARGIN: Span = Span::millis(700);
/// Of the time for an acknowledgement, what everything but the waiting for a silent node may take: an
/// operator that gave up on one door pauses before the next.
const ACK_MARGIN: Span = Span::millis(1800);
/// A lease shorter than this runs out between two renewals.
const SHORTEST_LEASE: Span = Span::millis(1200);
const LONGEST_LEASE: Span = Span::seconds(30);
/// Where withdrawn keys bind no machine that is out of touch: the lease, and how long a silent node is
/// waited for.
const EASY_LEASE: Span = Span::seconds(15);
const EASY_WAIT: Span = Span::millis(2000);
/// A lease is renewed so many times over its span, and no more seldom than the longest pause: a tail that is
/// lost must be noticed by its silence.
const RENEWALS: u64 = 5;
const LONGEST_RENEWAL: Span = Span::millis(600);
/// An answer of another node that took longer than this says nothing about the present.
pub const PEER_ANSWER_LIMIT: Span = Span::millis(200);
/// Of the bound on changes in force, what a node without a new grant leaves unused: its last requests are still
/// on their way.
const APPLY_MARGIN: Span = Span::millis(1000);
const DUTY_LEASE: Span = Span::millis(1000);
/// Between the orders of two holders, besides the bound: an order on its way.
const ORDER_MARGIN: Span = Span::millis(300);
const REPLACE_MARGIN: Span = Span::millis(1000);
const SOONEST_REPLACEMENT: Span = Span::millis(2500);
const VERSION_MARGIN: Span = Span::millis(1500);
/// How long callers still arrive at a router that is not ready any more: it is asked every second and counts
/// as out after two misses.
const ARRIVALS_WHILE_UNREADY: Span = Span::millis(2600);
/// Of the time a stopping process is given, what it leaves unused.
const GRACE_MARGIN: Span = Span::millis(600);
const SHORTEST_GRACE: Span = Span::seconds(1);

/// Spans that every part of the product takes from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a node may start requests after a renewal.
    pub node_lease: Span,
    /// A change counts as in force once each leased node has applied it or has at most this left.
    pub revoke_slack: Span,
    /// How long a node may start requests after a renewal on nobody's word but its own.
    pub unconfirmed_span: Span,
    /// A node is passed over if another one was granted a lease so much later than it was.
    pub passed_over_span: Span,
    /// How long a duty's holder may act after a renewal.
    pub duty_lease: Span,
    /// How long a new holder of the orders' duty waits: the one before may have been granted a lease up to
    /// the moment the appointment was committed, and its last order may still be on its way.
    pub duty_gap: Span,
    /// A voter silent for so long gives its seat to a spare.
    pub replace_after: Span,
    /// How long routers go on with weights that gave way.
    pub old_weights_span: Span,
    /// A node that has not applied a change this old is not renewed.
    pub lag_limit: Span,
    /// How long a router that was told to stop goes on taking requests.
    pub intake_span: Span,
    /// How long a router that was told to stop may go on in all.
    pub drain_span: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Timing::DEFAULT
    }
}

fn less(span: Span, taken: Span) -> Span {
    Span(span.0.saturating_sub(taken.0))
}

/// Between two renewals of a lease of that span.
pub fn renewal_interval(lease: Span) -> Span {
    Span(lease.0 / RENEWALS).min(LONGEST_RENEWAL)
}

/// What is taken late is given the greater part of the grace to end.
fn intake_within(grace: Span) -> Span {
    Span(grace.0 * 2 / 5)
}

impl Timing {
    /// Where no bounds are stated.
    pub const DEFAULT: Timing = Timing {
        node_lease: Span::millis(2000),
        revoke_slack: Span(0),
        unconfirmed_span: Span::millis(2000),
        passed_over_span: Span::millis(1500),
        duty_lease: Span::millis(2000),
        duty_gap: Span::millis(5300),
        replace_after: Span::seconds(8),
        old_weights_span: Span::seconds(15),
        lag_limit: Span::millis(800),
        intake_span: ARRIVALS_WHILE_UNREADY,
        drain_span: Span::millis(7400),
    };

    /// The spans that keep to the bounds, or which bounds cannot be kept to, and why.
    pub fn derive(bounds: &Bounds) -> Result<Timing, Vec<String>> {
        let mut faults = Vec::new();
        let mut at_least = |name: &str, span: Span, least: Span| {
            if span < least {
                faults.push(format!("{name}: {} ms, at least {} needed", span.as_millis(), least.as_millis()));
            }
        };
        at_least("ack_ms", bounds.ack, ACK_MARGIN + LEASE_MARGIN);
        at_least("version_ms", bounds.version, VERSION_MARGIN.times(2));
        at_least("apply_ms", bounds.apply, Span::millis(300));
        at_least("grace", bounds.grace, SHORTEST_GRACE);
        if bounds.strict_revoke {
            at_least("revoke_ms", bounds.revoke, REVOKE_MARGIN);
        }
        let wait = less(bounds.ack, ACK_MARGIN);
        let (node_lease, revoke_slack) = match bounds.strict_revoke {
            true => {
                let slack = less(bounds.revoke, REVOKE_MARGIN);
                ((slack + wait).min(LONGEST_LEASE), slack)
            }
            false => (EASY_LEASE, less(EASY_LEASE + LEASE_MARGIN, EASY_WAIT.min(wait))),
        };
        at_least("ack_ms and revoke_ms", node_lease, SHORTEST_LEASE);
        if !faults.is_empty() {
            return Err(faults);
        }
        let silence = less(node_lease, revoke_slack);
        Ok(Timing {
            node_lease,
            revoke_slack,
            unconfirmed_span: node_lease.min(silence + less(bounds.apply, APPLY_MARGIN)),
            passed_over_span: less(silence, renewal_interval(node_lease) + PEER_ANSWER_LIMIT),
            duty_lease: DUTY_LEASE,
            duty_gap: DUTY_LEASE + LEASE_MARGIN + bounds.lease + ORDER_MARGIN,
            replace_after: less(bounds.catch_up, REPLACE_MARGIN).max(SOONEST_REPLACEMENT),
            old_weights_span: less(bounds.version, VERSION_MARGIN),
            lag_limit: Timing::DEFAULT.lag_limit.min(bounds.apply),
            intake_span: ARRIVALS_WHILE_UNREADY.min(intake_within(bounds.grace)),
            drain_span: less(bounds.grace, GRACE_MARGIN),
        })
    }

    /// How long a new tail acknowledges nothing: until every lease that its forerunner may have granted is
    /// short of the slack.
    pub fn embargo(&self) -> Span {
        less(self.node_lease + LEASE_MARGIN, self.revoke_slack)
    }
}
