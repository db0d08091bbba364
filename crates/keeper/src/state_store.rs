//! Maps the coordinator's stored items to rows of the data folder and reads them back.

use crate::prelude::*;

const SNAPSHOT_INTERVAL_RECORDS: u64 = 512;
/// Record bytes since the latest snapshot that trigger a new one, whatever their number, because the disk is small.
const MAX_RECORD_BYTES: u64 = 8 << 20;
/// Size of the trial write at startup, which finds an unwritable disk before the first record does.
const WRITE_CHECK_BYTES: usize = 64 << 10;

/// Stores the coordinator's state in the data folder as a snapshot and the records after it.
pub struct StateStore {
    folder: DataFolder,
    snapshot_edition: Edition,
    /// Total size of the records since the latest snapshot.
    record_bytes: u64,
}

impl StateStore {
    pub fn new(folder: DataFolder) -> StateStore {
        StateStore { folder, snapshot_edition: Edition(0), record_bytes: 0 }
    }

    /// Opens a data folder and reads its identity.
    pub fn open(data_folder: &Path) -> Result<(StateStore, NodeId), DiskFault> {
        let mut state_store = StateStore::new(DataFolder::open(data_folder)?);
        let identity = state_store.identity()?;
        Ok((state_store, identity))
    }

    pub fn identity(&mut self) -> Result<NodeId, DiskFault> {
        self.folder.identity()
    }

    /// Reads everything that was stored.
    pub fn load(&mut self) -> Result<PersistedState, DiskFault> {
        let (position, state): (LogPosition, FleetState) = self.folder.read_value("snapshot")?.unwrap_or_default();
        let records: Vec<Record> = self.folder.records_after(position.edition.0)?;
        self.snapshot_edition = position.edition;
        self.record_bytes = self.folder.records_size()?;
        Ok(PersistedState {
            view: self.folder.read_value("view")?,
            vote: self.folder.read_value("vote")?.unwrap_or_default(),
            synced_view: self.folder.read_value("aligned")?.unwrap_or_default(),
            complete_view: self.folder.read_value("whole")?.unwrap_or_default(),
            begun: self.folder.read_value("begun")?.unwrap_or_default(),
            position,
            state,
            records,
        })
    }

    /// Writes a trial row and replaces it by an empty one: a keeper that cannot write must not join the core.
    pub fn check_writable(&mut self) -> Result<(), DiskFault> {
        self.folder.store(&[Row::key_value("trial", &vec![0u8; WRITE_CHECK_BYTES])?])?;
        self.folder.store(&[Row::key_value("trial", &())?])
    }

    pub fn remembered_addresses(&mut self) -> Result<Vec<String>, DiskFault> {
        self.folder.remembered_addresses()
    }

    pub fn remember_addresses(&mut self, addresses: &[String]) -> Result<(), DiskFault> {
        self.folder.remember_addresses(addresses)
    }

    /// Stores a batch and syncs it; `position` and `state` are the log's last position and state after it. A batch
    /// that failed can be stored again.
    pub fn store(&mut self, batch: &[Stored], position: LogPosition, state: &FleetState) -> Result<(), DiskFault> {
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
                Stored::Snapshot { position, state } => {
                    rows.push(Row::key_value("snapshot", &(position, state))?);
                    rows.push(Row::DeleteThrough(u64::MAX));
                    snapshot_edition = position.edition;
                    record_bytes = 0;
                }
                Stored::View(view) => rows.push(Row::key_value("view", view)?),
                Stored::Vote(vote) => rows.push(Row::key_value("vote", vote)?),
                Stored::CompleteView(view_number) => rows.push(Row::key_value("whole", view_number)?),
                Stored::TailStarted(view_number) => rows.push(Row::key_value("begun", view_number)?),
                Stored::SyncedView(view_number) => rows.push(Row::key_value("aligned", view_number)?),
            }
        }
        let is_due =
            position.edition.0 >= snapshot_edition.0 + SNAPSHOT_INTERVAL_RECORDS || record_bytes >= MAX_RECORD_BYTES;
        if is_due {
            // The snapshot contains the batch's records.
            rows.retain(|row| !matches!(row, Row::Record { .. }));
            rows.push(Row::key_value("snapshot", &(position, state))?);
            rows.push(Row::DeleteThrough(position.edition.0));
            snapshot_edition = position.edition;
            record_bytes = 0;
        }
        self.folder.store(&rows)?;
        self.snapshot_edition = snapshot_edition;
        self.record_bytes = record_bytes;
        Ok(())
    }
}
