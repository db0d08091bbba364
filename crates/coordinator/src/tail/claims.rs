//! Claims of idempotency keys: submitted by nodes, and expired by rotation of the claim book, which the tail
//! triggers.

use crate::prelude::*;

impl Coordinator {
    /// Forwards a node's claim or release to the head; the node is answered once it is committed.
    pub(crate) fn handle_claim(&mut self, node: NodeId, ticket: u64, submission: Submission, now: Instant) {
        if !matches!(submission.command, Command::Claim { .. } | Command::Release { .. }) {
            return;
        }
        let (from, request) = (Requester::Node(node), submission.request);
        if let Some(tail) = self.tail.as_mut() {
            tail.pending.push(PendingRequest { from, ticket, request, fingerprint: None, since: now });
        }
        if let Some(head) = self.view.head() {
            self.send(head, CoreMessage::Submit(submission));
        }
    }

    /// Submits a rotation of the claim book once this tail has seen the current turn for `CLAIM_SPAN`.
    pub(crate) fn rotate_claims(&mut self, now: Instant) {
        let turn = self.log.state().claim_table.rotation;
        let (Some(head), Some(tail)) = (self.view.head(), self.tail.as_mut()) else { return };
        if tail.claim_rotation.0 != turn {
            tail.claim_rotation = (turn, now);
        }
        if now.since(tail.claim_rotation.1) < CLAIM_RETENTION {
            return;
        }
        tail.claim_rotation.1 = now;
        let request = derived_request_id(b"turn", &[turn]);
        self.send(
            head,
            CoreMessage::Submit(Submission { request, command: Command::RotateClaims { rotation: turn } }),
        );
        self.process_inbox();
    }
}
