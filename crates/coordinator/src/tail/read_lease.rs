//! The read lease: a tail acts only while a majority of its view's voters has granted it within the lease duration.

use crate::prelude::*;

impl Coordinator {
    /// When the read lease expires; an instant in the past if there is none.
    pub(crate) fn read_until(&self) -> Instant {
        let Some(tail) = &self.tail else { return Instant(0) };
        tail.read_lease.until(&self.view.voters, self.view.majority())
    }

    /// Requests the read lease from every voter.
    pub(crate) fn request_read_lease(&mut self, now: Instant) {
        if self.tail.is_none() || self.sealed() {
            return;
        }
        for voter in self.view.voters.clone() {
            self.send(voter, CoreMessage::ReadLeaseRequest { view: self.view.number, sent: now });
        }
    }

    /// Grants a read lease, as a voter, unless the vote is promised to a next view.
    pub(crate) fn handle_read_lease_request(&mut self, from: NodeId, view: ViewNumber, sent: Instant) {
        let agrees = view == self.view.number
            && self.view.tail() == Some(from)
            && !self.sealed()
            && self.view.is_voter(self.me.id);
        if agrees {
            self.send(from, CoreMessage::ReadLeaseGranted { view, sent });
        }
    }

    /// Records a voter's grant; the lease counts from when the request was sent.
    pub(crate) fn handle_read_lease_granted(&mut self, from: NodeId, view: ViewNumber, sent: Instant) {
        if view == self.view.number
            && let Some(tail) = &mut self.tail
        {
            tail.read_lease.record_grant(from, sent);
        }
    }
}
