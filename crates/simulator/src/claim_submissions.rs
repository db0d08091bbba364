//! Submissions of routers to the core (claims of idempotency keys and their release), resent until they are settled
//! or time out.

use crate::prelude::*;

const CLAIM_TIMEOUT: Span = Span::millis(2500);
const CLAIM_RETRY_INTERVAL: Span = Span::millis(400);

impl World {
    pub(crate) fn submit_from_router(
        &mut self,
        node: usize,
        router: NodeId,
        run: u64,
        command: Command,
        is_claim: bool,
    ) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let submission = Submission { request: RequestId(self.rng.next_u64() | 1), command };
        if is_claim {
            self.claim_tickets.insert(ticket, (node, router, run));
        }
        let until = self.now + CLAIM_TIMEOUT;
        self.send_submission(node, router, ticket, submission, until);
    }

    /// Sends a submission to the agent and resends it until it is settled or its time limit has passed.
    pub fn send_submission(
        &mut self,
        node: usize,
        router: NodeId,
        ticket: u64,
        submission: Submission,
        until: Instant,
    ) {
        let woken_at = self.nodes[node].frozen_until;
        let retry = |submission| SimEvent::RetrySubmission { node, router, ticket, submission, until };
        if woken_at > self.now {
            return self.defer(woken_at, retry(submission));
        }
        let is_here = self.nodes[node].router.as_ref().is_some_and(|known| known.id == router);
        if !is_here {
            return;
        }
        if self.now >= until {
            if let Some((_, _, run)) = self.claim_tickets.remove(&ticket) {
                self.drive(node, router, run, AttemptInput::ClaimSettled(ClaimOutcome::Unknown));
            }
            return;
        }
        if self.nodes[node].connected_router == Some(router) {
            let input = SubscriptionInput::Router(RouterToAgent::Submit { ticket, submission: submission.clone() });
            self.send_to_subscription(node, input);
        }
        self.schedule_after(CLAIM_RETRY_INTERVAL, retry(submission));
    }

    /// Passes the outcome of a claim on to its run.
    pub fn settle_claim(&mut self, node: usize, ticket: u64, outcome: CommandOutcome) {
        let Some((_, router, run)) = self.claim_tickets.remove(&ticket) else { return };
        self.drive(node, router, run, AttemptInput::ClaimSettled(ClaimOutcome::of(Some(outcome))));
    }
}
