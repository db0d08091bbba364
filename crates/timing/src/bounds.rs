//! The guarantees of a deployment, as configured in its settings.

use crate::prelude::*;

/// Upper and lower bounds that a deployment guarantees.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The maximum lag of the operators' list of core addresses.
    pub seed_lag: Span,
    /// The time after an engine's end from which its address may be reused by another service.
    pub reuse_after: Span,
    /// The time bounds apply to a machine that has been undisturbed for this long.
    pub contact: Span,
    /// The maximum time until a valid change is acknowledged.
    pub ack: Span,
    /// How long a machine still counts as lost after it is back.
    pub catch_up: Span,
    /// The maximum time from the listing of an engine as leaving to the last request that reaches it.
    pub drain: Span,
    /// The maximum time from the stop signal to the end of the process.
    pub grace: Span,
    pub loss_slack: Span,
    /// The maximum time from the acknowledgement of a change until it is in force everywhere.
    pub apply: Span,
    pub revert_slack: Span,
    pub stretch: Span,
    /// Whether `revoke` holds for every machine, including those out of contact with the core.
    pub strict_revoke: bool,
    /// The maximum time from the acknowledged revocation of a key to the last request that runs under it.
    pub revoke: Span,
    /// The retry budget: retries allowed per request within `retry_window`, plus `retry_slack`.
    pub retry_ratio: f64,
    pub retry_window: Span,
    pub retry_slack: f64,
    pub recovery: Span,
    /// The maximum time for an event of a stream to reach the caller.
    pub transit: Span,
    /// Whether engines reject an order with a fencing token lower than the highest seen.
    pub fence_checked: bool,
    /// The minimum gap between the orders of two successive holders of a duty.
    pub lease: Span,
    pub thaw: Span,
    /// The maximum time from the acknowledgement of new weights to the last request on older ones.
    pub version: Span,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            seed_lag: Span::seconds(3),
            reuse_after: Span::seconds(2),
            contact: Span::millis(3000),
            ack: Span::millis(4000),
            catch_up: Span::seconds(4),
            drain: Span::millis(3000),
            grace: Span::seconds(8),
            loss_slack: Span::millis(200),
            apply: Span::millis(2000),
            revert_slack: Span::millis(250),
            stretch: Span::millis(5000),
            strict_revoke: true,
            revoke: Span::millis(5000),
            retry_ratio: 0.2,
            retry_window: Span::seconds(10),
            retry_slack: 58.0,
            recovery: Span::seconds(12),
            transit: Span::millis(120),
            fence_checked: true,
            lease: Span::millis(3000),
            thaw: Span::millis(300),
            version: Span::millis(15_000),
        }
    }
}
