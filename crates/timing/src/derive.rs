//! The derived durations, and how they follow from the bounds.

use crate::prelude::*;

/// Added by whoever waits for another process's lease to expire, to allow for clock drift.
pub const LEASE_MARGIN: Span = Span::millis(100);
/// The part of `revoke` reserved for requests in transit, and for the acknowledgement's way to the operator.
const REVOKE_MARGIN: Span = Span::millis(700);
/// The part of `ack` reserved for everything but waiting for a silent node. For example, an operator's client that
/// gave up on one core address pauses before it tries the next.
const ACK_MARGIN: Span = Span::millis(1800);
/// A shorter node lease would expire between two renewals.
const MIN_NODE_LEASE: Span = Span::millis(1200);
const MAX_NODE_LEASE: Span = Span::seconds(30);
/// The node lease, and how long to wait for a silent node, if the bound on revoked keys does not apply to machines
/// out of contact.
const RELAXED_NODE_LEASE: Span = Span::seconds(15);
const RELAXED_SILENCE_WAIT: Span = Span::millis(2000);
/// The number of renewals in the duration of a lease.
const RENEWALS_PER_LEASE: u64 = 5;
/// The maximum time between two renewals, however long the lease: the loss of the tail is detected by its silence.
const MAX_RENEWAL_INTERVAL: Span = Span::millis(600);
/// A peer's answer that took longer than this is too old to confirm anything.
pub const PEER_ANSWER_LIMIT: Span = Span::millis(200);
/// The part of `apply` that a node without a new grant leaves unused, because its last requests are still in transit.
const APPLY_MARGIN: Span = Span::millis(1000);
const DUTY_LEASE: Span = Span::millis(1000);
/// Added to the bound on the gap between the orders of two holders, for an order in transit.
const ORDER_MARGIN: Span = Span::millis(300);
const REPLACE_MARGIN: Span = Span::millis(1000);
const MIN_REPLACE_AFTER: Span = Span::millis(2500);
/// The part of `version` in which no request is sent to an engine on superseded weights; those on their way may
/// still begin.
const VERSION_MARGIN: Span = Span::millis(1500);
/// The part of `version` in which no response may begin on superseded weights, as closing a connection takes time.
const VERSION_START_MARGIN: Span = Span::millis(300);
/// How long requests still arrive at a router that is no longer ready: its readiness is probed every second, and it
/// is taken out of service after two failed probes.
const UNREADY_INTAKE: Span = Span::millis(2600);
/// The part of `grace` that a stopping process leaves unused.
const GRACE_MARGIN: Span = Span::millis(600);
const MIN_GRACE: Span = Span::seconds(1);

/// The derived durations, used by all components.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a node may start requests after a renewal, if it is confirmed in the meantime.
    pub node_lease: Span,
    /// A change counts as in force once each leased node has applied it, or has at most this much of its lease left.
    pub revoke_slack: Span,
    /// How long a node may start requests after a renewal without confirmation by a peer.
    pub unconfirmed_span: Span,
    /// A node is passed over if another one was granted a lease at least this much later than it was.
    pub passed_over_span: Span,
    /// How long a duty's holder may act after a renewal.
    pub duty_lease: Span,
    /// How long a new holder of the duty that gives orders waits first: the previous holder may have been granted a
    /// lease up to the commit of the new appointment, and its last order may still be in transit.
    pub duty_gap: Span,
    /// A voter silent for this long is replaced by a spare.
    pub replace_after: Span,
    /// How long routers continue to send requests to engines on superseded weights.
    pub old_weights_span: Span,
    /// How long responses may begin on superseded weights; requests that have not begun by then are cancelled.
    pub old_weights_start_span: Span,
    /// How long after a restart of a keeper the core counts as unsettled.
    pub settle_span: Span,
    /// The lease of a node that has not applied a change this old is not renewed.
    pub lag_limit: Span,
    /// How long a stopping router continues to accept requests.
    pub intake_span: Span,
    /// How long a stopping router may run in total.
    pub drain_span: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Timing::DEFAULT
    }
}

/// Subtracts, down to zero.
fn saturating_sub(span: Span, taken: Span) -> Span {
    Span(span.0.saturating_sub(taken.0))
}

/// The time between two renewals of a lease.
pub fn renewal_interval(lease: Span) -> Span {
    Span(lease.0 / RENEWALS_PER_LEASE).min(MAX_RENEWAL_INTERVAL)
}

/// How long to accept requests within a grace period. The greater part of it is left for the last ones to finish.
fn intake_within(grace: Span) -> Span {
    Span(grace.0 * 2 / 5)
}

impl Timing {
    /// The durations used if no bounds are configured.
    pub const DEFAULT: Timing = Timing {
        node_lease: Span::millis(2000),
        revoke_slack: Span(0),
        unconfirmed_span: Span::millis(2000),
        passed_over_span: Span::millis(1500),
        duty_lease: Span::millis(2000),
        duty_gap: Span::millis(5300),
        replace_after: Span::seconds(8),
        old_weights_span: Span::seconds(15),
        old_weights_start_span: Span::millis(16_200),
        settle_span: Span(0),
        lag_limit: Span::millis(800),
        intake_span: UNREADY_INTAKE,
        drain_span: Span::millis(7400),
    };

    /// Derives durations that meet the bounds. If that is impossible, returns one message for each bound that cannot
    /// be met.
    pub fn derive(bounds: &Bounds) -> Result<Timing, Vec<String>> {
        let mut faults = Vec::new();
        let mut require = |name: &str, span: Span, least: Span| {
            if span < least {
                faults.push(format!(
                    "{name}: {} ms is too short, at least {} ms required",
                    span.as_millis(),
                    least.as_millis()
                ));
            }
        };
        require("ack_ms", bounds.ack, ACK_MARGIN + LEASE_MARGIN);
        require("version_ms", bounds.version, VERSION_MARGIN.times(2));
        require("apply_ms", bounds.apply, Span::millis(300));
        require("grace", bounds.grace, MIN_GRACE);
        if bounds.strict_revoke {
            require("revoke_ms", bounds.revoke, REVOKE_MARGIN);
        }
        let wait = saturating_sub(bounds.ack, ACK_MARGIN);
        let (node_lease, revoke_slack) = match bounds.strict_revoke {
            true => {
                let slack = saturating_sub(bounds.revoke, REVOKE_MARGIN);
                ((slack + wait).min(MAX_NODE_LEASE), slack)
            }
            false => (
                RELAXED_NODE_LEASE,
                saturating_sub(RELAXED_NODE_LEASE + LEASE_MARGIN, RELAXED_SILENCE_WAIT.min(wait)),
            ),
        };
        require("ack_ms and revoke_ms", node_lease, MIN_NODE_LEASE);
        if !faults.is_empty() {
            return Err(faults);
        }
        let silence = saturating_sub(node_lease, revoke_slack);
        Ok(Timing {
            node_lease,
            revoke_slack,
            unconfirmed_span: node_lease.min(silence + saturating_sub(bounds.apply, APPLY_MARGIN)),
            passed_over_span: saturating_sub(silence, renewal_interval(node_lease) + PEER_ANSWER_LIMIT),
            duty_lease: DUTY_LEASE,
            duty_gap: DUTY_LEASE + LEASE_MARGIN + bounds.lease + ORDER_MARGIN,
            replace_after: saturating_sub(bounds.catch_up, REPLACE_MARGIN).max(MIN_REPLACE_AFTER),
            old_weights_span: saturating_sub(bounds.version, VERSION_MARGIN),
            old_weights_start_span: saturating_sub(bounds.version, VERSION_START_MARGIN),
            settle_span: bounds.contact,
            lag_limit: Timing::DEFAULT.lag_limit.min(bounds.apply),
            intake_span: UNREADY_INTAKE.min(intake_within(bounds.grace)),
            drain_span: saturating_sub(bounds.grace, GRACE_MARGIN),
        })
    }

    /// How long a new tail acknowledges nothing: until every lease that its predecessor may have granted has at most
    /// the revocation slack left.
    pub fn embargo(&self) -> Span {
        saturating_sub(self.node_lease + LEASE_MARGIN, self.revoke_slack)
    }
}
