//! Numbered pushes to connected nodes: each gets every change after its edition, or a snapshot.

use crate::prelude::*;

/// What a connected node has been sent, and its router's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PushState {
    pub(crate) incarnation: u64,
    /// The last edition pushed; none if the node needs a snapshot.
    pub(crate) pushed: Option<Edition>,
    /// The number of the router list sent last.
    pub(crate) routers: u64,
    /// The number of the view sent last.
    pub(crate) view: ViewNumber,
}

impl PushState {
    /// Undoes the progress recorded for a message that was never sent.
    fn roll_back(&mut self, message: &KeeperToAgent) {
        match message {
            KeeperToAgent::Push { number, .. } => {
                let before = Edition(number.0.saturating_sub(1));
                self.pushed = self.pushed.min(Some(before));
            }
            KeeperToAgent::Snapshot { .. } => self.pushed = None,
            KeeperToAgent::Routers(_) => self.routers = NO_ROUTER_LIST,
            KeeperToAgent::Membership(_) => self.view = NO_VIEW,
            // The rest is requested again or sent periodically.
            KeeperToAgent::Granted { .. }
            | KeeperToAgent::NotNow
            | KeeperToAgent::Behind
            | KeeperToAgent::Settled { .. } => {}
        }
    }
}

/// A change as sent to routers, which do not need the source text of the configuration.
fn without_source(mut submission: Submission) -> Submission {
    if let Command::Configure(change) = &mut submission.command {
        change.source.clear();
    }
    submission
}

impl TailRole {
    /// Updates a node's progress from its renewal: pushes restart there if its router restarted, has no state, or has
    /// more than was pushed.
    pub(crate) fn record_push_state(&mut self, node: NodeId, incarnation: u64, known_edition: Option<Edition>) {
        let fresh_state = PushState { incarnation, pushed: known_edition, routers: NO_ROUTER_LIST, view: NO_VIEW };
        let place = self.pushed.entry(node).or_insert(fresh_state);
        if place.incarnation != incarnation || place.pushed < known_edition || known_edition.is_none() {
            *place = fresh_state;
        }
    }
}

impl Coordinator {
    /// Pushes the missing changes to every connected node.
    pub(crate) fn push_changes(&mut self, now: Instant, read_until: Instant) {
        let last_edition = self.log.last().edition;
        let Some(tail) = self.tail.as_mut() else { return };
        let mut behind_nodes = Vec::new();
        for (node, place) in tail.pushed.iter_mut().filter(|(_, place)| place.pushed != Some(last_edition)) {
            behind_nodes.push((*node, place.pushed));
            place.pushed = Some(last_edition);
        }
        for (node, pushed) in behind_nodes {
            for message in self.changes_after(pushed, now) {
                self.send_to_node(node, message, Some(read_until));
            }
        }
    }

    /// The changes after an edition, or a snapshot if the log does not reach back that far.
    fn changes_after(&self, pushed: Option<Edition>, now: Instant) -> Vec<KeeperToAgent> {
        match pushed.and_then(|edition| self.log.records_after(edition)) {
            Some(records) => records.into_iter().map(|record| self.push_of(record, now)).collect(),
            None => vec![self.snapshot(now)],
        }
    }

    fn push_of(&self, record: Record, now: Instant) -> KeeperToAgent {
        let number = record.mark.edition;
        let age = self.committed_at.get(&number).map(|committed| now.since(*committed));
        KeeperToAgent::Push { number, submission: without_source(record.submission), age }
    }

    fn snapshot(&self, now: Instant) -> KeeperToAgent {
        let gave_way = self.superseded_at.iter();
        let gave_way =
            gave_way.map(|((model, weights), since)| (model.clone(), *weights, now.since(*since))).collect();
        KeeperToAgent::Snapshot { state: Box::new(self.log.state().without_claims()), gave_way }
    }

    /// Rolls a node's progress back to before the dropped messages, so that the acting tail sends them again.
    pub(crate) fn roll_back(&mut self, node: NodeId, messages: &[KeeperToAgent]) {
        let Some(place) = self.tail.as_mut().and_then(|tail| tail.pushed.get_mut(&node)) else { return };
        for message in messages {
            place.roll_back(message);
        }
    }

    /// Forgets the progress of a node whose connection ended.
    pub(crate) fn forget_node(&mut self, node: NodeId) {
        if let Some(tail) = &mut self.tail {
            tail.pushed.remove(&node);
        }
    }
}
