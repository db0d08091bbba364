//! Numbered pushes to linked nodes: each node gets every change after the edition it has, or a snapshot.

use crate::prelude::*;

/// A linked node: the life of the router behind it, and how far it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PushPlace {
    pub(crate) life: u64,
    /// The edition it was pushed last; none if it needs a snapshot.
    pub(crate) pushed: Option<Edition>,
    /// The number of the list of routers it was told last.
    pub(crate) routers: u64,
    /// The number of the view it was told last.
    pub(crate) view: ViewNumber,
}

impl PushPlace {
    /// A message for this node was planned and never sent.
    fn take_back(&mut self, message: &NodeDown) {
        match message {
            NodeDown::Push { number, .. } => {
                let before = Edition(number.0.saturating_sub(1));
                self.pushed = self.pushed.min(Some(before));
            }
            NodeDown::Snapshot { .. } => self.pushed = None,
            NodeDown::Routers(_) => self.routers = NO_ROUTER_LIST,
            NodeDown::Membership(_) => self.view = NO_VIEW,
            // The rest is asked for again, or said again anyway.
            NodeDown::Granted { .. } | NodeDown::NotNow | NodeDown::Behind | NodeDown::Settled { .. } => {}
        }
    }
}

/// A change as routers get it: they need no operators' own words.
fn for_routers(mut submission: Submission) -> Submission {
    if let Command::Configure(change) = &mut submission.command {
        change.source.clear();
    }
    submission
}

impl TailRole {
    /// A renewal tells what a node has: it is pushed from there on if its router began anew, has nothing, or
    /// has more than it was pushed.
    pub(crate) fn note_place(&mut self, node: NodeId, life: u64, known_edition: Option<Edition>) {
        let fresh_place = PushPlace { life, pushed: known_edition, routers: NO_ROUTER_LIST, view: NO_VIEW };
        let place = self.pushed.entry(node).or_insert(fresh_place);
        if place.life != life || place.pushed < known_edition || known_edition.is_none() {
            *place = fresh_place;
        }
    }
}

impl Coordinator {
    /// Pushes to every linked node what it lacks.
    pub(crate) fn push_news(&mut self, now: Instant, read_until: Instant) {
        let last_edition = self.log.last().edition;
        let Some(tail) = self.tail.as_mut() else { return };
        let mut lacking = Vec::new();
        for (node, place) in tail.pushed.iter_mut().filter(|(_, place)| place.pushed != Some(last_edition)) {
            lacking.push((*node, place.pushed));
            place.pushed = Some(last_edition);
        }
        for (node, pushed) in lacking {
            for message in self.news_after(pushed, now) {
                self.tell(node, message, Some(read_until));
            }
        }
    }

    /// The changes after an edition, or a snapshot if the log does not reach back to it.
    fn news_after(&self, pushed: Option<Edition>, now: Instant) -> Vec<NodeDown> {
        match pushed.and_then(|edition| self.log.records_after(edition)) {
            Some(records) => records.into_iter().map(|record| self.push_of(record, now)).collect(),
            None => vec![self.snapshot(now)],
        }
    }

    fn push_of(&self, record: Record, now: Instant) -> NodeDown {
        let number = record.mark.edition;
        let age = self.committed_at.get(&number).map(|committed| now.since(*committed));
        NodeDown::Push { number, submission: for_routers(record.submission), age }
    }

    fn snapshot(&self, now: Instant) -> NodeDown {
        let gave_way = self.gave_way.iter();
        let gave_way =
            gave_way.map(|((model, weights), since)| (model.clone(), *weights, now.since(*since))).collect();
        NodeDown::Snapshot { state: Box::new(self.log.state().without_claims()), gave_way }
    }

    /// What was dropped is pushed again from there on, as soon as this tail acts.
    pub(crate) fn take_back(&mut self, node: NodeId, messages: &[NodeDown]) {
        let Some(place) = self.tail.as_mut().and_then(|tail| tail.pushed.get_mut(&node)) else { return };
        for message in messages {
            place.take_back(message);
        }
    }

    /// A node's link ended.
    pub(crate) fn lose_node(&mut self, node: NodeId) {
        if let Some(tail) = &mut self.tail {
            tail.pushed.remove(&node);
        }
    }
}
