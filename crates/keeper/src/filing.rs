//! How what the coordinator stores becomes rows of the data folder, and the way back.

use crate::prelude::*;

const SNAPSHOT_EVERY: u64 = 512;
/// Records of so many bytes are dropped for a snapshot, whatever their number: the disk is small.
const MOST_BYTES: u64 = 8 << 20;
/// What a folder must take at the start, lest its first record be the one that fails.
const TRIAL_BYTES: usize = 64 << 10;

pub struct Filing {
    folder: DataFolder,
    snapshot_edition: Edition,
    /// Of the records since the latest snapshot.
    record_bytes: u64,
}

impl Filing {
    pub fn of(folder: DataFolder) -> Filing {
        Filing { folder, snapshot_edition: Edition(0), record_bytes: 0 }
    }

    /// Opens a data folder; also tells its identity.
    pub fn open(data_folder: &Path) -> Result<(Filing, NodeId), DiskFault> {
        let mut filing = Filing::of(DataFolder::open(data_folder)?);
        let identity = filing.identity()?;
        Ok((filing, identity))
    }

    pub fn identity(&mut self) -> Result<NodeId, DiskFault> {
        self.folder.identity()
    }

    pub fn load(&mut self) -> Result<PersistedState, DiskFault> {
        let (mark, state): (LogPosition, FleetState) = self.folder.read_value("snapshot")?.unwrap_or_default();
        let records: Vec<Record> = self.folder.records_after(mark.edition.0)?;
        self.snapshot_edition = mark.edition;
        self.record_bytes = self.folder.records_size()?;
        Ok(PersistedState {
            view: self.folder.read_value("view")?,
            vote: self.folder.read_value("vote")?.unwrap_or_default(),
            synced_view: self.folder.read_value("aligned")?.unwrap_or_default(),
            complete_view: self.folder.read_value("whole")?.unwrap_or_default(),
            begun: self.folder.read_value("begun")?.unwrap_or_default(),
            mark,
            state,
            records,
        })
    }

    /// Writes something of size and takes it back: a keeper that cannot write has no part in the core.
    pub fn try_out(&mut self) -> Result<(), DiskFault> {
        self.folder.store(&[Row::key_value("trial", &vec![0u8; TRIAL_BYTES])?])?;
        self.folder.store(&[Row::key_value("trial", &())?])
    }

    pub fn remembered_addresses(&mut self) -> Result<Vec<String>, DiskFault> {
        self.folder.remembered_addresses()
    }

    pub fn remember_addresses(&mut self, addresses: &[String]) -> Result<(), DiskFault> {
        self.folder.remember_addresses(addresses)
    }

    /// Stores a batch, synced; `mark` and `state` are where the log stands after it. A batch that failed may
    /// be stored again.
    pub fn store(&mut self, batch: &[Stored], mark: LogPosition, state: &FleetState) -> Result<(), DiskFault> {
        self.folder.ensure_open()?;
        let mut rows = Vec::new();
        let mut snapshot_edition = self.snapshot_edition;
        let mut record_bytes = self.record_bytes;
        for stored in batch {
            match stored {
                Stored::Record(record) => {
                    let row = Row::record(record.mark.edition.0, record)?;
                    record_bytes += row.size() as u64;
                    rows.push(row);
                }
                Stored::Snapshot { mark, state } => {
                    rows.push(Row::key_value("snapshot", &(mark, state))?);
                    rows.push(Row::DeleteThrough(u64::MAX));
                    snapshot_edition = mark.edition;
                    record_bytes = 0;
                }
                Stored::View(view) => rows.push(Row::key_value("view", view)?),
                Stored::Vote(vote) => rows.push(Row::key_value("vote", vote)?),
                Stored::CompleteView(view_number) => rows.push(Row::key_value("whole", view_number)?),
                Stored::TailStarted(view_number) => rows.push(Row::key_value("begun", view_number)?),
                Stored::SyncedView(view_number) => rows.push(Row::key_value("aligned", view_number)?),
            }
        }
        let is_due = mark.edition.0 >= snapshot_edition.0 + SNAPSHOT_EVERY || record_bytes >= MOST_BYTES;
        if is_due {
            // The snapshot stands for them.
            rows.retain(|row| !matches!(row, Row::Record { .. }));
            rows.push(Row::key_value("snapshot", &(mark, state))?);
            rows.push(Row::DeleteThrough(mark.edition.0));
            snapshot_edition = mark.edition;
            record_bytes = 0;
        }
        self.folder.store(&rows)?;
        self.snapshot_edition = snapshot_edition;
        self.record_bytes = record_bytes;
        Ok(())
    }
}
