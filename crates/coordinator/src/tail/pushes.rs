//! Numbered pushes to linked nodes: each node gets every change after the edition it has, or a snapshot.

use crate::prelude::*;

/// A linked node: the incarnation of the router behind it, and how far it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PushState {
    pub(crate) incarnation: u64,
    /// The edition it was pushed last; none if it needs a snapshot.
    pub(crate) pushed: Option<Edition>,
    /// The number of the list of routers it was told last.
    pub(crate) routers: u64,
    /// The number of the view it was told last.
    pub(crate) view: ViewNumber,
}

impl PushState {
    /// A message for this node was planned and never sent.
    fn roll_back(&mut self, message: &KeeperToAgent) {
        match message {
            KeeperToAgent::Push { number, .. } => {
                let before = Edition(number.0.saturating_sub(1));
                self.pushed = self.pushed.min(Some(before));
            }
            KeeperToAgent::Snapshot { .. } => self.pushed = None,
            KeeperToAgent::Routers(_) => self.routers = NO_ROUTER_LIST,
            KeeperToAgent::Membership(_) => self.view = NO_VIEW,
            // The rest is asked for again, or said again anyway.
            KeeperToAgent::Granted { .. }
            | KeeperToAgent::NotNow
            | KeeperToAgent::Behind
            | KeeperToAgent::Settled { .. } => {}
        }
    }
}

/// A change as routers get it: they need no operators' own words.
fn without_source(mut submission: Submission) -> Submission {
    if let Command::Configure(change) = &mut submission.command {
        change.source.clear();
    }
    submission
}

impl TailRole {
    /// A renewal tells what a node has: it is pushed from there on if its router began anew, has nothing, or
    /// has more than it was pushed.
    pub(crate) fn record_push_state(&mut self, node: NodeId, incarnation: u64, known_edition: Option<Edition>) {
        let fresh_state = PushState { incarnation, pushed: known_edition, routers: NO_ROUTER_LIST, view: NO_VIEW };
        let place = self.pushed.entry(node).or_insert(fresh_state);
        if place.incarnation != incarnation || place.pushed < known_edition || known_edition.is_none() {
            *place = fresh_state;
        }
    }
}

impl Coordinator {
    /// Pushes to every linked node what it lacks.
    pub(crate) fn push_changes(&mut self, now: Instant, read_until: Instant) {
        let last_edition = self.log.last().edition;
        let Some(tail) = self.tail.as_mut() else { return };
        let mut lacking = Vec::new();
        for (node, place) in tail.pushed.iter_mut().filter(|(_, place)| place.pushed != Some(last_edition)) {
            lacking.push((*node, place.pushed));
            place.pushed = Some(last_edition);
        }
        for (node, pushed) in lacking {
            for message in self.changes_after(pushed, now) {
                self.send_to_node(node, message, Some(read_until));
            }
        }
    }

    /// The changes after an edition, or a snapshot if the log does not reach back to it.
    fn changes_after(&self, pushed: Option<Edition>, now: Instant) -> Vec<KeeperToAgent> {
        match pushed.and_then(|edition| self.log.after(edition)) {
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

    /// What was dropped is pushed again from there on, as soon as this tail acts.
    pub(crate) fn roll_back(&mut self, node: NodeId, messages: &[KeeperToAgent]) {
        let Some(place) = self.tail.as_mut().and_then(|tail| tail.pushed.get_mut(&node)) else { return };
        for message in messages {
            place.roll_back(message);
        }
    }

    /// A node's link ended.
    pub(crate) fn forget_node(&mut self, node: NodeId) {
        if let Some(tail) = &mut self.tail {
            tail.pushed.remove(&node);
        }
    }
}
