//! Requests that wait for their outcome. A keeper is answered once the change is in force on every node that may
//! serve, a node once it is committed.

use crate::prelude::*;

/// How long a request is kept after it was last queried.
const PENDING_TIMEOUT: Span = Span::seconds(2);

/// Who waits for an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    /// A keeper on behalf of an operator; waits until the change is in force.
    Keeper(KeeperIncarnation),
    /// A node; waits until the change is committed.
    Node(NodeId),
}

/// A request whose requester waits for the outcome.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) from: Requester,
    /// The requester's own identifier for it.
    pub(crate) ticket: u64,
    pub(crate) request: RequestId,
    /// The fingerprint of the command submitted under the request id.
    pub(crate) fingerprint: Option<BlockHash>,
    /// When it was last queried.
    pub(crate) since: Instant,
}

impl TailRole {
    /// Registers a keeper's query about a request, or refreshes the one registered.
    pub(crate) fn await_settlement(&mut self, request: PendingRequest) {
        let is_same =
            |pending: &&mut PendingRequest| pending.from == request.from && pending.ticket == request.ticket;
        match self.pending.iter_mut().find(is_same) {
            Some(pending) => pending.since = request.since,
            None => self.pending.push(request),
        }
    }

    /// Whether an outcome may be sent: an accepted change is reported to a keeper only once it is in force.
    fn may_answer_with(&self, from: Requester, outcome: &CommandOutcome, now: Instant) -> bool {
        match (from, outcome) {
            (Requester::Keeper(_), CommandOutcome::Applied(edition)) => {
                self.leases.may_acknowledge(now) && *edition <= self.leases.in_force()
            }
            _ => true,
        }
    }
}

impl Coordinator {
    /// Answers all requests with a final outcome, and drops those not queried for a long time.
    pub(crate) fn settle_pending(&mut self, now: Instant, read_until: Instant) {
        let Some(tail) = self.tail.as_mut() else { return };
        let mut answered = Vec::new();
        for pending in std::mem::take(&mut tail.pending) {
            let state = self.log.state();
            let in_use = state.request_id_conflict(pending.request, pending.fingerprint);
            let outcome = in_use.or_else(|| state.previous_outcome(pending.request));
            match outcome.filter(|outcome| tail.may_answer_with(pending.from, outcome, now)) {
                Some(outcome) => answered.push((pending, outcome)),
                None if now.since(pending.since) < PENDING_TIMEOUT => tail.pending.push(pending),
                None => {}
            }
        }
        for (pending, outcome) in answered {
            self.answer_pending(&pending, outcome, read_until);
        }
        self.process_inbox();
    }

    fn answer_pending(&mut self, pending: &PendingRequest, outcome: CommandOutcome, read_until: Instant) {
        let ticket = pending.ticket;
        match pending.from {
            Requester::Keeper(keeper) => {
                let outcome = QueryOutcome::Settled(outcome);
                self.send_to_incarnation(keeper, CoreMessage::Outcome { ticket, outcome }, Some(read_until));
            }
            Requester::Node(node) => {
                self.send_to_node(node, KeeperToAgent::Settled { ticket, outcome }, Some(read_until))
            }
        }
    }

    /// Handles the messages that this keeper, as the tail, sent to itself in this step.
    pub(crate) fn process_inbox(&mut self) {
        while let Some(message) = self.inbox.pop_front() {
            match message {
                CoreMessage::Outcome { ticket, outcome } => self.handle_outcome(ticket, outcome),
                CoreMessage::Submit(submission) => self.handle_submit(submission),
                _ => {}
            }
        }
    }
}
