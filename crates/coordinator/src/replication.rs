//! Chain replication: numbering at the head and forwarding to the successor.

use crate::prelude::*;
/// The head accepts no submissions while this many records are uncommitted.
const UNCOMMITTED_LIMIT: u64 = 256;
impl Coordinator {
    pub(crate) fn handle_submit(&mut self, submission: Submission) {
        let may_take = self.view.head() == Some(self.me.id)
            && self.is_synced()
            && !self.sealed()
            && self.view.accepts_writes()
            && self.log.last().edition.0 < self.committed.0 + UNCOMMITTED_LIMIT;
        if !may_take || self.log.state().previous_outcome(submission.request).is_some() {
            return;
        }
        let previous = self.log.last();
        let record = self.log.append_submission(self.view.number, submission);
        self.store(Stored::Record(record.clone()));
        self.pass_on(previous, vec![record]);
    }

    fn pass_on(&mut self, previous: LogPosition, records: Vec<Record>) {
        let Some(successor) = self.view.successor(self.me.id) else { return };
        let append = ChainMessage::Append { view: self.view.number, previous, records };
        self.send(successor, CoreMessage::Chain(append));
    }

    pub(crate) fn handle_chain(&mut self, from: NodeId, message: ChainMessage, now: Instant) {
        match message {
            ChainMessage::Append { view, previous, records } => {
                self.handle_append(from, view, previous, records, now)
            }
            ChainMessage::Have { view, last, nonce } => self.serve_catch_up(from, view, last, nonce, now),
            ChainMessage::Level { view, nonce, previous, records, ages, source } => {
                let Some(purpose) = self.catch_up_purpose(from, view, nonce, source) else { return };
                if previous == self.log.last() {
                    self.take_missing_records(purpose, previous, records, &ages);
                }
            }
            ChainMessage::Snapshot { view, nonce, mark: position, state, ages, source } => {
                let Some(purpose) = self.catch_up_purpose(from, view, nonce, source) else { return };
                if self.may_replace_log(position, source) {
                    self.take_snapshot(purpose, position, state, &ages);
                }
            }
        }
    }

    fn handle_append(
        &mut self,
        from: NodeId,
        view: ViewNumber,
        previous: LogPosition,
        records: Vec<Record>,
        now: Instant,
    ) {
        let from_before = self.view.predecessor(self.me.id) == Some(from);
        if view != self.view.number || !from_before || !self.is_synced() || self.sealed() {
            return;
        }
        let last = self.log.last();
        if previous.edition > last.edition {
            self.request_catch_up_from(from, now);
            return;
        }
        let new_records: Vec<Record> =
            records.into_iter().filter(|record| record.mark.edition > last.edition).collect();
        self.take_records(last, new_records);
    }

    pub(crate) fn take_records(&mut self, previous: LogPosition, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        for record in &records {
            self.log.append(record.clone());
            self.store(Stored::Record(record.clone()));
        }
        if self.is_synced() {
            self.pass_on(previous, records);
        }
    }

    /// Resends records to a successor whose log lagged and did not advance between two heartbeats, so it has missed a
    /// message.
    pub(crate) fn resend_to_successor(
        &mut self,
        from: NodeId,
        status: &KeeperStatus,
        last_status: Option<&KeeperStatus>,
    ) {
        let is_successor = self.view.successor(self.me.id) == Some(from);
        let both_synced =
            self.is_synced() && status.synced_view == self.view.number && status.view == self.view.number;
        let is_unchanged = last_status.is_some_and(|earlier| earlier.last == status.last);
        if !is_successor || !both_synced || !is_unchanged || status.last.edition >= self.log.last().edition {
            return;
        }
        let Some(records) = self.log.records_after(status.last.edition) else { return };
        let append = ChainMessage::Append { view: self.view.number, previous: status.last, records };
        self.send(from, CoreMessage::Chain(append));
    }
}
