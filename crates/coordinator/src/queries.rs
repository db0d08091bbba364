//! Queries of operators: sent to the head and tail, and retried until answered or past the deadline. Retrying is safe
//! because submissions are deduplicated by request id.

use crate::prelude::*;
/// The time after which an unanswered query is sent again.
const QUERY_RETRY_INTERVAL: Span = Span::millis(300);

/// A query that waits for its outcome.
#[derive(Clone, Debug)]
pub struct PendingQuery {
    query: CoreQuery,
    deadline: Instant,
    sent_at: Instant,
}

impl Coordinator {
    pub(crate) fn start_query(&mut self, ticket: u64, query: CoreQuery, deadline: Instant, now: Instant) {
        let pending = PendingQuery { query, deadline, sent_at: now };
        self.send_query(ticket, &pending);
        self.pending_queries.insert(ticket, pending);
    }

    fn send_query(&mut self, ticket: u64, pending: &PendingQuery) {
        let (Some(head), Some(tail)) = (self.view.head(), self.view.tail()) else { return };
        let tail_query = match &pending.query {
            CoreQuery::Submit(submission) => {
                self.send(head, CoreMessage::Submit(submission.clone()));
                CoreQuery::Settled {
                    request: submission.request,
                    fingerprint: submission.command.order_fingerprint(),
                }
            }
            other => other.clone(),
        };
        self.send(tail, CoreMessage::Query { ticket, query: tail_query });
    }

    pub(crate) fn retry_queries(&mut self, now: Instant) {
        let mut to_retry = Vec::new();
        let mut timed_out = Vec::new();
        for (ticket, pending) in self.pending_queries.iter_mut() {
            if now >= pending.deadline {
                timed_out.push(*ticket);
            } else if now.since(pending.sent_at) >= QUERY_RETRY_INTERVAL {
                pending.sent_at = now;
                to_retry.push((*ticket, pending.clone()));
            }
        }
        for ticket in timed_out {
            self.handle_outcome(ticket, QueryOutcome::Unknown);
        }
        for (ticket, pending) in to_retry {
            self.send_query(ticket, &pending);
        }
    }

    pub(crate) fn handle_outcome(&mut self, ticket: u64, outcome: QueryOutcome) {
        if self.pending_queries.remove(&ticket).is_some() {
            self.effects.push(Effect::Outcome { ticket, outcome });
        }
    }

    /// Answers a keeper's query, as the tail.
    pub(crate) fn handle_query(&mut self, from: KeeperIncarnation, ticket: u64, query: CoreQuery, now: Instant) {
        if !self.tail_is_active(now) {
            return;
        }
        let read_until = self.read_until();
        let outcome = match query {
            CoreQuery::Submit(_) => return,
            CoreQuery::Settled { request, fingerprint } => {
                if let Some(tail) = self.tail.as_mut() {
                    let from = Requester::Keeper(from);
                    tail.await_settlement(PendingRequest { from, ticket, request, fingerprint, since: now });
                }
                return;
            }
            CoreQuery::Configuration => {
                let configuration = &self.log.state().configuration;
                QueryOutcome::Configuration { revision: configuration.revision, source: configuration.source.clone() }
            }
            CoreQuery::State => QueryOutcome::State(Box::new(self.log.state().without_claims())),
            CoreQuery::Demand => QueryOutcome::Demand(self.aged_demand_reports(now)),
            CoreQuery::Nodes => {
                let Some(tail) = &self.tail else { return };
                let reports = tail
                    .leases
                    .nodes()
                    .map(|(node, entry)| NodeReport {
                        node: *node,
                        applied: entry.applied,
                        lease_left: entry.until.since(now),
                    })
                    .collect();
                QueryOutcome::Nodes(reports)
            }
        };
        self.send_to_incarnation(from, CoreMessage::Outcome { ticket, outcome }, Some(read_until));
    }
}
