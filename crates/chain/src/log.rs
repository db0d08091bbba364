//! One member's log and the fleet state at its end.

use crate::prelude::*;

pub(crate) const KEPT_RECORDS: usize = 1024;
const KEPT_BYTES: usize = 16 << 20;
const LEAST_RECORDS: usize = 8;

#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The mark before the first kept record.
    base: LogPosition,
    records: VecDeque<Record>,
    kept_bytes: usize,
    state: FleetState,
}

impl Log {
    pub fn restore(mark: LogPosition, state: FleetState, records: Vec<Record>) -> Log {
        let mut log = Log { base: mark, records: VecDeque::new(), kept_bytes: 0, state };
        for record in records {
            log.append(record);
        }
        log
    }

    pub fn last(&self) -> LogPosition {
        self.records.back().map_or(self.base, |record| record.mark)
    }

    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Takes the next record; one that is not next is a broken invariant of the caller.
    pub fn append(&mut self, record: Record) -> Settled {
        assert_eq!(record.mark.edition, self.last().edition.next(), "a record out of order");
        let outcome = self.state.apply(&record.submission);
        self.kept_bytes += record.submission.command.text_bytes();
        self.records.push_back(record);
        while self.records.len() > KEPT_RECORDS
            || (self.kept_bytes > KEPT_BYTES && self.records.len() > LEAST_RECORDS)
        {
            let Some(oldest_record) = self.records.pop_front() else { break };
            self.kept_bytes -= oldest_record.submission.command.text_bytes();
            self.base = oldest_record.mark;
        }
        outcome
    }

    /// The head numbers a submission.
    pub fn append_submission(&mut self, view: ViewNumber, submission: Submission) -> Record {
        let mark = LogPosition { edition: self.last().edition.next(), view };
        let record = Record { mark, submission };
        self.append(record.clone());
        record
    }

    pub fn contains(&self, mark: LogPosition) -> bool {
        if mark == self.base {
            return true;
        }
        let Some(place) = mark.edition.0.checked_sub(self.base.edition.0 + 1) else { return false };
        self.records.get(place as usize).is_some_and(|record| record.mark == mark)
    }

    /// The records after an edition, if all of them are still kept.
    pub fn records_after(&self, edition: Edition) -> Option<Vec<Record>> {
        let skipped_count = edition.0.checked_sub(self.base.edition.0)? as usize;
        if skipped_count > self.records.len() {
            return None;
        }
        Some(self.records.iter().skip(skipped_count).cloned().collect())
    }

    pub fn position_at(&self, edition: Edition) -> Option<LogPosition> {
        if edition == self.base.edition {
            return Some(self.base);
        }
        let place = edition.0.checked_sub(self.base.edition.0 + 1)?;
        self.records.get(place as usize).map(|record| record.mark)
    }

    /// The answer to a member that asked to be brought level.
    pub fn catch_up_reply(
        &self,
        view: ViewNumber,
        asked_from: LogPosition,
        nonce: u64,
        ages: CommitAges,
    ) -> ChainMessage {
        if self.contains(asked_from)
            && let Some(records) = self.records_after(asked_from.edition)
        {
            return ChainMessage::Level { view, nonce, previous: asked_from, records, ages };
        }
        ChainMessage::Snapshot { view, nonce, mark: self.last(), state: Box::new(self.state.clone()), ages }
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
    fn a_log_levels_by_records_where_marks_agree_and_by_snapshot_where_not() {
        let mut log = Log::default();
        for number in 1..=3 {
            log.append_submission(ViewNumber(1), submission(number));
        }
        let known_mark = LogPosition { edition: Edition(2), view: ViewNumber(1) };
        let ChainMessage::Level { records, .. } =
            log.catch_up_reply(ViewNumber(2), known_mark, 0, CommitAges::default())
        else {
            panic!("a known mark is levelled by records")
        };
        assert_eq!(records.len(), 1);
        let foreign_mark = LogPosition { edition: Edition(2), view: ViewNumber(9) };
        assert!(matches!(
            log.catch_up_reply(ViewNumber(2), foreign_mark, 0, CommitAges::default()),
            ChainMessage::Snapshot { .. }
        ));
        let longer_mark = LogPosition { edition: Edition(4), view: ViewNumber(1) };
        assert!(matches!(
            log.catch_up_reply(ViewNumber(2), longer_mark, 0, CommitAges::default()),
            ChainMessage::Snapshot { .. }
        ));
        assert!(log.records_after(Edition(4)).is_none());
    }

    #[test]
    fn old_records_are_dropped_and_then_a_snapshot_is_given() {
        let mut log = Log::default();
        for number in 1..=(KEPT_RECORDS as u64 + 10) {
            log.append_submission(ViewNumber(1), submission(number));
        }
        assert!(log.records_after(Edition(5)).is_none());
        assert_eq!(log.records_after(Edition(10)).map(|records| records.len()), Some(KEPT_RECORDS));
        assert!(matches!(
            log.catch_up_reply(ViewNumber(1), LogPosition::default(), 0, CommitAges::default()),
            ChainMessage::Snapshot { .. }
        ));
    }
}
