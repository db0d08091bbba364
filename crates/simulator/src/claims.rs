//! Claims of idempotency keys, told to the core until they are settled or their time is over.

use crate::prelude::*;

const CLAIM_LIMIT: Span = Span::millis(2500);
const CLAIM_AGAIN: Span = Span::millis(400);

impl World {
    pub(crate) fn ask_core(&mut self, node: usize, router: NodeId, run: u64, command: Command, is_claim: bool) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let submission = Submission { request: RequestId(self.draw.next_u64() | 1), command };
        if is_claim {
            self.tickets.insert(ticket, (node, router, run));
        }
        let until = self.now + CLAIM_LIMIT;
        self.say_submission(node, router, ticket, submission, until);
    }

    /// Says a submission to the agent, again and again until it is settled or its limit has passed.
    pub fn say_submission(
        &mut self,
        node: usize,
        router: NodeId,
        ticket: u64,
        submission: Submission,
        until: Instant,
    ) {
        let woken_at = self.nodes[node].frozen_until;
        let again = |submission| SimEvent::ClaimAgain { node, router, ticket, submission, until };
        if woken_at > self.now {
            return self.defer(woken_at, again(submission));
        }
        let is_here = self.nodes[node].router.as_ref().is_some_and(|known| known.id == router);
        if !is_here {
            return;
        }
        if self.now >= until {
            if let Some((_, _, run)) = self.tickets.remove(&ticket) {
                self.drive(node, router, run, AttemptInput::ClaimSettled(ClaimOutcome::Unknown));
            }
            return;
        }
        if self.nodes[node].fed_router == Some(router) {
            let input = SubscriptionInput::Router(RouterToAgent::Submit { ticket, submission: submission.clone() });
            self.tell_node(node, input);
        }
        self.later(CLAIM_AGAIN, again(submission));
    }

    pub fn settle_claim(&mut self, node: usize, ticket: u64, outcome: CommandOutcome) {
        let Some((_, router, run)) = self.tickets.remove(&ticket) else { return };
        self.drive(node, router, run, AttemptInput::ClaimSettled(ClaimOutcome::of(Some(outcome))));
    }
}
