//! Claims of idempotency keys: they come from nodes, and the tail has the book of claims turned.

use crate::prelude::*;

impl Coordinator {
    /// Claims and their giving back go from nodes to the head; the node is told once that is committed.
    pub(crate) fn hear_claim(&mut self, node: NodeId, ticket: u64, submission: Submission, now: Instant) {
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

    /// Has the book of claims turned once this tail has seen its page for the whole span.
    pub(crate) fn turn_claims(&mut self, now: Instant) {
        let turn = self.log.state().claim_table.rotation;
        let (Some(head), Some(tail)) = (self.view.head(), self.tail.as_mut()) else { return };
        if tail.claim_turn.0 != turn {
            tail.claim_turn = (turn, now);
        }
        if now.since(tail.claim_turn.1) < CLAIM_RETENTION {
            return;
        }
        tail.claim_turn.1 = now;
        let request = request_of(b"turn", &[turn]);
        self.send(
            head,
            CoreMessage::Submit(Submission { request, command: Command::RotateClaims { rotation: turn } }),
        );
        self.take_own_outcomes();
    }
}
