//! A lease as seen by its holder.

use crate::prelude::*;

/// The time until which the holder may act.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldLease {
    until: Instant,
}

impl HeldLease {
    /// Records the grant of a renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Instant, span: Span) {
        self.until = self.until.max(sent + span);
    }

    /// The end of the lease.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Whether the lease is still valid.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.until
    }
}
