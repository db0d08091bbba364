//! A member's log, and the fleet state after its last record.

use crate::prelude::*;

/// The maximum number of records held in memory.
pub(crate) const MAX_RECORDS: usize = 1024;
/// The maximum total size of the held records' commands, in bytes.
const MAX_BYTES: usize = 16 << 20;
/// Records that are held regardless of their size.
const MIN_RECORDS: usize = 8;

/// The most recent records and the state they lead to; older records are dropped.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The position before the first held record.
    base: LogPosition,
    records: VecDeque<Record>,
    held_bytes: usize,
    state: FleetState,
}

impl Log {
    /// Rebuilds a log from a state at position `mark` and the records that follow it.
    pub fn restore(mark: LogPosition, state: FleetState, records: Vec<Record>) -> Log {
        let mut log = Log { base: mark, records: VecDeque::new(), held_bytes: 0, state };
        for record in records {
            log.append(record);
        }
        log
    }

    /// The position of the last record.
    pub fn last(&self) -> LogPosition {
        self.records.back().map_or(self.base, |record| record.mark)
    }

    /// The fleet state after the last record.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Appends and applies the next record. Panics if the record is not the next one.
    pub fn append(&mut self, record: Record) -> CommandOutcome {
        assert_eq!(record.mark.edition, self.last().edition.next(), "record appended out of order");
        let outcome = self.state.apply(&record.submission);
        self.held_bytes += record.submission.command.text_bytes();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || (self.held_bytes > MAX_BYTES && self.records.len() > MIN_RECORDS) {
            let Some(oldest_record) = self.records.pop_front() else { break };
            self.held_bytes -= oldest_record.submission.command.text_bytes();
            self.base = oldest_record.mark;
        }
        outcome
    }

    /// Numbers a submission and appends it. Called by the head of the chain.
    pub fn append_submission(&mut self, view: ViewNumber, submission: Submission) -> Record {
        let mark = LogPosition { edition: self.last().edition.next(), view };
        let record = Record { mark, submission };
        self.append(record.clone());
        record
    }

    /// Whether the log is known to contain a position. False for positions that have been dropped.
    pub fn contains(&self, mark: LogPosition) -> bool {
        if mark == self.base {
            return true;
        }
        let Some(index) = mark.edition.0.checked_sub(self.base.edition.0 + 1) else { return false };
        self.records.get(index as usize).is_some_and(|record| record.mark == mark)
    }

    /// The records after an edition, if all of them are still held.
    pub fn records_after(&self, edition: Edition) -> Option<Vec<Record>> {
        let skipped_count = edition.0.checked_sub(self.base.edition.0)? as usize;
        if skipped_count > self.records.len() {
            return None;
        }
        Some(self.records.iter().skip(skipped_count).cloned().collect())
    }

    /// The position of an edition, if it is still held.
    pub fn position_at(&self, edition: Edition) -> Option<LogPosition> {
        if edition == self.base.edition {
            return Some(self.base);
        }
        let index = edition.0.checked_sub(self.base.edition.0 + 1)?;
        self.records.get(index as usize).map(|record| record.mark)
    }

    /// The reply to a member that asked to catch up from a position.
    pub fn catch_up_reply(
        &self,
        view: ViewNumber,
        asked_from: LogPosition,
        nonce: u64,
        ages: CommitAges,
        source: SourceState,
    ) -> ChainMessage {
        if self.contains(asked_from)
            && let Some(records) = self.records_after(asked_from.edition)
        {
            return ChainMessage::Level { view, nonce, previous: asked_from, records, ages, source };
        }
        ChainMessage::Snapshot { view, nonce, mark: self.last(), state: Box::new(self.state.clone()), ages, source }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;
    use desired::prelude::Command;

    fn submission(number: u64) -> Submission {
        Submission { request: RequestId(number), command: Command::Merge { base: None, patch: "{}".into() } }
    }

    #[test]
    fn catch_up_uses_records_if_the_position_is_contained_and_a_snapshot_if_not() {
        let mut log = Log::default();
        for number in 1..=3 {
            log.append_submission(ViewNumber(1), submission(number));
        }
        let known_position = LogPosition { edition: Edition(2), view: ViewNumber(1) };
        let ChainMessage::Level { records, .. } =
            log.catch_up_reply(ViewNumber(2), known_position, 0, CommitAges::default(), SourceState::default())
        else {
            panic!("a contained position is answered with records")
        };
        assert_eq!(records.len(), 1);
        let foreign_position = LogPosition { edition: Edition(2), view: ViewNumber(9) };
        assert!(matches!(
            log.catch_up_reply(ViewNumber(2), foreign_position, 0, CommitAges::default(), SourceState::default()),
            ChainMessage::Snapshot { .. }
        ));
        let later_position = LogPosition { edition: Edition(4), view: ViewNumber(1) };
        assert!(matches!(
            log.catch_up_reply(ViewNumber(2), later_position, 0, CommitAges::default(), SourceState::default()),
            ChainMessage::Snapshot { .. }
        ));
        assert!(log.records_after(Edition(4)).is_none());
    }

    #[test]
    fn catch_up_from_a_dropped_record_uses_a_snapshot() {
        let mut log = Log::default();
        for number in 1..=(MAX_RECORDS as u64 + 10) {
            log.append_submission(ViewNumber(1), submission(number));
        }
        assert!(log.records_after(Edition(5)).is_none());
        assert_eq!(log.records_after(Edition(10)).map(|records| records.len()), Some(MAX_RECORDS));
        assert!(matches!(
            log.catch_up_reply(
                ViewNumber(1),
                LogPosition::default(),
                0,
                CommitAges::default(),
                SourceState::default()
            ),
            ChainMessage::Snapshot { .. }
        ));
    }
}
