//! A lease as its holder sees it.

use crate::prelude::*;

#[derive(Clone, Copy, Debug, Default)]
pub struct HeldLease {
    until: Instant,
}

impl HeldLease {
    /// A grant answering a renewal sent at `sent`.
    pub fn renew(&mut self, sent: Instant, span: Span) {
        self.until = self.until.max(sent + span);
    }

    pub fn until(&self) -> Instant {
        self.until
    }

    pub fn holds(&self, now: Instant) -> bool {
        now < self.until
    }
}
