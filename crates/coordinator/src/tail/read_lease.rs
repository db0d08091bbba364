//! The read lease: a tail acts only while a majority of its view's voters has agreed within the lease.

use crate::prelude::*;

impl Coordinator {
    /// Until when the read lease lasts; an instant long past without one.
    pub(crate) fn read_until(&self) -> Instant {
        let Some(tail) = &self.tail else { return Instant(0) };
        tail.read_lease.until(&self.view.voters, self.view.majority())
    }

    /// Asks every voter for the read lease.
    pub(crate) fn ask_read_lease(&mut self, now: Instant) {
        if self.tail.is_none() || self.sealed() {
            return;
        }
        for voter in self.view.voters.clone() {
            self.send(voter, CoreMessage::ReadLeaseAsk { view: self.view.number, sent: now });
        }
    }

    /// The voter's side: agrees unless it has promised its vote to a next view.
    pub(crate) fn hear_read_lease_ask(&mut self, from: NodeId, view: ViewNumber, sent: Instant) {
        let agrees = view == self.view.number
            && self.view.tail() == Some(from)
            && !self.sealed()
            && self.view.is_voter(self.me.id);
        if agrees {
            self.send(from, CoreMessage::ReadLeaseGiven { view, sent });
        }
    }

    /// One voter agreed; the lease counts from when it was asked.
    pub(crate) fn hear_read_lease_given(&mut self, from: NodeId, view: ViewNumber, sent: Instant) {
        if view == self.view.number
            && let Some(tail) = &mut self.tail
        {
            tail.read_lease.record_grant(from, sent);
        }
    }
}
