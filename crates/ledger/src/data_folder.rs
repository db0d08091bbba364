//! The ledger's tables: reading, writing in batches, and reopening after a disk error.

use crate::prelude::*;

const FORMAT: u64 = 2;
const KEY_VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("plain");
const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
/// Key of the number of batches stored, by which a reopened ledger that lost some is recognised.
const SERIAL: &str = "serial";
/// Small, since a keeper has little memory and reads its ledger only once.
const CACHE_BYTES: usize = 8 << 20;

/// The ledger of a daemon: key-value rows and numbered records.
pub struct DataFolder {
    medium: Box<dyn Medium>,
    /// `None` until first opened, and after an error until reopened.
    database: Option<Database>,
    /// The serial of the last batch known to be synced; `None` until the ledger is first opened in this process.
    synced: Option<u64>,
    /// A sync of the ledger failed: reads may return data that is not on the disk, and no later sync would write
    /// it, since the kernel marks the pages as clean after a failed sync.
    sync_failed: Arc<AtomicBool>,
    /// A rename of the ledger file may not be synced yet.
    is_folder_sync_pending: bool,
}

/// One change of a batch.
#[derive(Debug)]
pub enum Row {
    /// Sets the value of a key.
    KeyValue { key: &'static str, bytes: Vec<u8> },
    /// Stores a record under its number.
    Record { number: u64, bytes: Vec<u8> },
    /// Deletes the records up to and including this number.
    DeleteThrough(u64),
}

impl Row {
    /// A key with an encoded value.
    pub fn key_value<T: Serialize>(key: &'static str, value: &T) -> Result<Row, DiskFault> {
        Ok(Row::KeyValue { key, bytes: encode(value)? })
    }

    /// A numbered record, encoded.
    pub fn record<T: Serialize>(number: u64, value: &T) -> Result<Row, DiskFault> {
        Ok(Row::Record { number, bytes: encode(value)? })
    }

    /// The size of the encoded value in bytes.
    pub fn size(&self) -> usize {
        match self {
            Row::KeyValue { bytes, .. } | Row::Record { bytes, .. } => bytes.len(),
            Row::DeleteThrough(_) => 0,
        }
    }
}

impl DataFolder {
    /// A data folder that is opened on first use, or by `ensure_open`.
    pub fn at(data_folder: &Path) -> DataFolder {
        DataFolder::on(Box::new(FolderMedium { folder: data_folder.to_owned() }))
    }

    /// Opens the folder's ledger, creating it if there is none.
    pub fn open(data_folder: &Path) -> Result<DataFolder, DiskFault> {
        let mut folder = DataFolder::at(data_folder);
        folder.ensure_open()?;
        Ok(folder)
    }

    /// A ledger on a simulated disk.
    #[cfg(feature = "faults")]
    pub fn on_simulated_disk(disk: &SimulatedDisk) -> DataFolder {
        DataFolder::on(Box::new(disk.clone()))
    }

    /// A ledger on a disk whose errors are set by a control file.
    #[cfg(feature = "faults")]
    pub fn on_faulty_disk(data_folder: &Path, control: &Path) -> DataFolder {
        DataFolder::on(Box::new(FaultyMedium::new(data_folder, control)))
    }

    fn on(medium: Box<dyn Medium>) -> DataFolder {
        DataFolder { medium, database: None, synced: None, sync_failed: Arc::default(), is_folder_sync_pending: true }
    }

    /// Opens the ledger if it is not open, which is so at first (it is created if there is none) and after an
    /// error. A reopened ledger must hold every synced batch; a batch whose store failed may be in it or not.
    pub fn ensure_open(&mut self) -> Result<(), DiskFault> {
        if self.database.is_some() {
            return Ok(());
        }
        let outcome = self.open_database();
        self.mark_failed_sync();
        outcome
    }

    /// Records a failed sync for later starts of this process.
    fn mark_failed_sync(&self) {
        if self.sync_failed.load(Ordering::SeqCst) && !self.medium.has_failed_sync_mark() {
            self.medium.mark_failed_sync();
        }
    }

    fn open_database(&mut self) -> Result<(), DiskFault> {
        self.medium.prepare().disk_context("create data folder")?;
        if !self.medium.has_current().disk_context("find ledger")? {
            if self.synced.is_some() {
                return Err(DiskFault::permanent("the ledger file is missing".into()));
            }
            self.create()?;
        }
        if self.is_folder_sync_pending {
            self.medium.sync_folder().disk_context("sync data folder")?;
            self.is_folder_sync_pending = false;
        }
        if self.sync_failed.load(Ordering::SeqCst) || self.medium.has_failed_sync_mark() {
            self.rewrite()?;
        }
        if self.synced.is_none() {
            self.medium.remove_replacement();
        }
        let storage = self.medium.open(LedgerFile::Current).disk_context("open ledger")?;
        let database = open_ledger(storage, Arc::clone(&self.sync_failed))?;
        let serial = read_key::<u64>(&database, SERIAL)?.unwrap_or(0);
        if let Some(synced) = self.synced
            && serial != synced
            && serial != synced + 1
        {
            return Err(DiskFault::permanent(format!("the ledger holds {serial} batches but {synced} were synced")));
        }
        match read_key::<u64>(&database, "format")? {
            Some(FORMAT) => {}
            None => write(&database, &[Row::key_value("format", &FORMAT)?], serial)?,
            Some(other) => {
                let reason = format!("the ledger has format {other}, but this program uses format {FORMAT}");
                return Err(DiskFault::permanent(reason));
            }
        }
        self.synced = Some(serial);
        self.database = Some(database);
        Ok(())
    }

    /// Creates the ledger in the replacement file, so that an incomplete one is never used.
    fn create(&mut self) -> Result<(), DiskFault> {
        let storage = self.medium.open(LedgerFile::Replacement).disk_context("create ledger")?;
        let database = open_ledger(storage, Arc::default())?;
        write(&database, &[Row::key_value("format", &FORMAT)?, Row::key_value("identity", &NodeId::random())?], 0)?;
        database.close().disk_context("create ledger")?;
        self.install_replacement()
    }

    /// Replaces the ledger by a fully synced copy, after a failed sync left data that may not be on the disk.
    fn rewrite(&mut self) -> Result<(), DiskFault> {
        let from = self.medium.open(LedgerFile::Current).disk_context("open ledger")?;
        let to = self.medium.open(LedgerFile::Replacement).disk_context("copy ledger")?;
        copy_bytes(&*from, &*to).disk_context("copy ledger")?;
        self.install_replacement()?;
        self.sync_failed.store(false, Ordering::SeqCst);
        self.medium.clear_failed_sync_mark();
        Ok(())
    }

    /// Renames the replacement over the ledger and syncs the folder.
    fn install_replacement(&mut self) -> Result<(), DiskFault> {
        self.is_folder_sync_pending = true;
        self.medium.replace().disk_context("rename ledger")?;
        self.medium.sync_folder().disk_context("sync data folder")?;
        self.is_folder_sync_pending = false;
        Ok(())
    }

    /// Runs an operation on the open ledger. After an error the ledger is reopened before its next use.
    fn with<T>(&mut self, work: impl FnOnce(&Database) -> Result<T, DiskFault>) -> Result<T, DiskFault> {
        self.ensure_open()?;
        let Some(database) = &self.database else {
            return Err(DiskFault::permanent("the ledger is not open".into()));
        };
        let outcome = work(database);
        if outcome.is_err() {
            self.database = None;
            self.mark_failed_sync();
        }
        outcome
    }

    /// The identity that was generated when this folder was created.
    pub fn identity(&mut self) -> Result<NodeId, DiskFault> {
        if let Some(known_identity) = self.read_value("identity")? {
            return Ok(known_identity);
        }
        let new_identity = NodeId::random();
        self.write_value("identity", &new_identity)?;
        Ok(new_identity)
    }

    /// The member addresses last stored, tried in addition to the seeds.
    pub fn remembered_addresses(&mut self) -> Result<Vec<String>, DiskFault> {
        Ok(self.read_value("addresses")?.unwrap_or_default())
    }

    /// Stores the member addresses.
    pub fn remember_addresses(&mut self, addresses: &[String]) -> Result<(), DiskFault> {
        self.write_value("addresses", &addresses.to_vec())
    }

    /// Stores a batch in one synced transaction. After an error the same batch may be stored again.
    pub fn store(&mut self, batch: &[Row]) -> Result<(), DiskFault> {
        if batch.is_empty() {
            return Ok(());
        }
        self.ensure_open()?;
        let serial = self.synced.unwrap_or(0) + 1;
        self.with(|database| write(database, batch, serial))?;
        self.synced = Some(serial);
        Ok(())
    }

    /// The records after a number, which must follow it without a gap.
    pub fn records_after<T: DeserializeOwned>(&mut self, last_known: u64) -> Result<Vec<T>, DiskFault> {
        self.with(|database| read_records(database, last_known))
    }

    /// The total size of all records in bytes.
    pub fn records_size(&mut self) -> Result<u64, DiskFault> {
        self.with(measure_records)
    }

    /// The value of a key, if it is set.
    pub fn read_value<T: DeserializeOwned>(&mut self, key: &str) -> Result<Option<T>, DiskFault> {
        self.with(|database| read_key(database, key))
    }

    /// Sets the value of a key, as a batch of its own.
    pub fn write_value<T: Serialize>(&mut self, key: &'static str, value: &T) -> Result<(), DiskFault> {
        self.store(&[Row::key_value(key, value)?])
    }
}

fn open_ledger(inner: Box<dyn StorageBackend>, sync_failed: Arc<AtomicBool>) -> Result<Database, DiskFault> {
    let storage = SyncObserver { inner, sync_failed };
    Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(storage).disk_context("open ledger")
}

fn write(database: &Database, batch: &[Row], serial: u64) -> Result<(), DiskFault> {
    let serial_row = Row::key_value(SERIAL, &serial)?;
    let transaction = database.begin_write().disk_context("begin transaction")?;
    for row in batch.iter().chain([&serial_row]) {
        match row {
            Row::KeyValue { key, bytes } => {
                let mut table = transaction.open_table(KEY_VALUES).disk_context("open table")?;
                table.insert(*key, bytes.as_slice()).disk_context("write")?;
            }
            Row::Record { number, bytes } => {
                let mut records = transaction.open_table(RECORDS).disk_context("open records")?;
                records.insert(*number, bytes.as_slice()).disk_context("write record")?;
            }
            Row::DeleteThrough(last_deleted) => {
                let mut records = transaction.open_table(RECORDS).disk_context("open records")?;
                records.retain(|number, _| number > *last_deleted).disk_context("delete records")?;
            }
        }
    }
    transaction.commit().disk_context("commit")
}

type Records = ReadOnlyTable<u64, &'static [u8]>;

fn open_records(database: &Database) -> Result<Option<Records>, DiskFault> {
    let transaction = database.begin_read().disk_context("read records")?;
    match transaction.open_table(RECORDS) {
        Ok(records) => Ok(Some(records)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(other) => Err(other).disk_context("read records"),
    }
}

fn read_records<T: DeserializeOwned>(database: &Database, last_known: u64) -> Result<Vec<T>, DiskFault> {
    let Some(records) = open_records(database)? else { return Ok(Vec::new()) };
    let mut found = Vec::new();
    for (index, row) in records.range(last_known + 1..).disk_context("read records")?.enumerate() {
        let (number, bytes) = row.disk_context("read records")?;
        let expected = last_known + 1 + index as u64;
        if number.value() != expected {
            return Err(DiskFault::permanent(format!("record {} stands where {expected} should", number.value())));
        }
        found.push(decode(bytes.value(), &format!("record {expected}"))?);
    }
    Ok(found)
}

fn measure_records(database: &Database) -> Result<u64, DiskFault> {
    let Some(records) = open_records(database)? else { return Ok(0) };
    let mut size = 0;
    for row in records.range::<u64>(..).disk_context("read records")? {
        size += row.disk_context("read records")?.1.value().len() as u64;
    }
    Ok(size)
}

fn read_key<T: DeserializeOwned>(database: &Database, key: &str) -> Result<Option<T>, DiskFault> {
    let transaction = database.begin_read().disk_context("read")?;
    let table = match transaction.open_table(KEY_VALUES) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(other) => return Err(other).disk_context(&format!("read {key}")),
    };
    let Some(row) = table.get(key).disk_context("read")? else { return Ok(None) };
    decode(row.value(), key).map(Some)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, DiskFault> {
    rmp_serde::to_vec_named(value).map_err(|reason| DiskFault::permanent(format!("encode: {reason}")))
}

fn decode<T: DeserializeOwned>(bytes: &[u8], what: &str) -> Result<T, DiskFault> {
    rmp_serde::from_slice(bytes).map_err(|reason| DiskFault::permanent(format!("{what} is damaged: {reason}")))
}
