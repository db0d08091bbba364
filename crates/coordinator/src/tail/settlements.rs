//! Requests that wait for their settlement: a keeper is answered once the change is in force on every node
//! that may serve, a node once it is committed.

use crate::prelude::*;

/// How long a request is kept after it was last asked about.
const PENDING_SPAN: Span = Span::seconds(2);

/// Who waits for a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    /// A keeper, for an operator; until the change is in force.
    Keeper(KeeperLife),
    /// A node; until the change is committed.
    Node(NodeId),
}

/// A request whose settlement somebody waits for.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) from: Requester,
    /// The requester's own number of it.
    pub(crate) ticket: u64,
    pub(crate) request: RequestId,
    /// What was submitted under the request's id.
    pub(crate) fingerprint: Option<BlockHash>,
    /// When it was asked about last.
    pub(crate) since: Instant,
}

impl TailRole {
    /// A keeper asks about a request, for the first time or again.
    pub(crate) fn await_settlement(&mut self, asked: PendingRequest) {
        let is_same = |pending: &&mut PendingRequest| pending.from == asked.from && pending.ticket == asked.ticket;
        match self.pending.iter_mut().find(is_same) {
            Some(pending) => pending.since = asked.since,
            None => self.pending.push(asked),
        }
    }

    /// Whether an outcome may be told: a change that was taken, to a keeper, only once it is in force.
    fn may_tell(&self, from: Requester, outcome: &Settled, now: Instant) -> bool {
        match (from, outcome) {
            (Requester::Keeper(_), Settled::Taken(edition)) => {
                self.leases.may_acknowledge(now) && *edition <= self.leases.in_force()
            }
            _ => true,
        }
    }
}

impl Coordinator {
    /// Answers what is settled and may be told; what nobody asked about for long is forgotten.
    pub(crate) fn settle_pending(&mut self, now: Instant, read_until: Instant) {
        let Some(tail) = self.tail.as_mut() else { return };
        let mut answered = Vec::new();
        for pending in std::mem::take(&mut tail.pending) {
            let state = self.log.state();
            let in_use = state.id_in_use(pending.request, pending.fingerprint);
            let outcome = in_use.or_else(|| state.settled_before(pending.request));
            match outcome.filter(|outcome| tail.may_tell(pending.from, outcome, now)) {
                Some(outcome) => answered.push((pending, outcome)),
                None if now.since(pending.since) < PENDING_SPAN => tail.pending.push(pending),
                None => {}
            }
        }
        for (pending, outcome) in answered {
            self.answer_pending(&pending, outcome, read_until);
        }
        self.take_own_outcomes();
    }

    fn answer_pending(&mut self, pending: &PendingRequest, outcome: Settled, read_until: Instant) {
        let ticket = pending.ticket;
        match pending.from {
            Requester::Keeper(keeper) => {
                let outcome = AskOutcome::Settled(outcome);
                self.send_to_life(keeper, CoreMessage::Outcome { ticket, outcome }, Some(read_until));
            }
            Requester::Node(node) => self.tell(node, NodeDown::Settled { ticket, outcome }, Some(read_until)),
        }
    }

    /// Takes what this keeper, as the tail, has said to itself in this step.
    pub(crate) fn take_own_outcomes(&mut self) {
        while let Some(message) = self.inbox.pop_front() {
            match message {
                CoreMessage::Outcome { ticket, outcome } => self.hear_outcome(ticket, outcome),
                CoreMessage::Submit(submission) => self.hear_submit(submission),
                _ => {}
            }
        }
    }
}
