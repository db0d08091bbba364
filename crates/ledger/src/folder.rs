//! Tables and their reading and writing; and how the ledger is opened again after the disk refused.

use crate::prelude::*;

const FORMAT: u64 = 2;
const PLAIN: TableDefinition<&str, &[u8]> = TableDefinition::new("plain");
const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
/// Counts the batches stored, so that a ledger opened again can be told from one that lost some.
const SERIAL: &str = "serial";
/// A keeper has little memory, and reads its ledger once.
const CACHE_BYTES: usize = 8 << 20;

pub struct DataFolder {
    medium: Box<dyn Medium>,
    /// Nothing before it is opened, and after a fault until it is opened again.
    database: Option<Database>,
    /// The batch up to which all is known to be synced, once the ledger was opened in this life.
    synced: Option<u64>,
    /// A sync of the ledger failed: it may show what is not on the disk, and no later sync would bring that
    /// there, since the system takes it for written.
    is_doubtful: Arc<AtomicBool>,
    /// Which file is the ledger may not be synced.
    is_unsettled: bool,
}

/// One row of a batch.
#[derive(Debug)]
pub enum Row {
    KeyValue {
        key: &'static str,
        bytes: Vec<u8>,
    },
    Record {
        number: u64,
        bytes: Vec<u8>,
    },
    /// Numbered rows up to this one are no longer needed.
    DeleteThrough(u64),
}

impl Row {
    pub fn key_value<T: Serialize>(key: &'static str, value: &T) -> Result<Row, DiskFault> {
        Ok(Row::KeyValue { key, bytes: encode(value)? })
    }

    pub fn record<T: Serialize>(number: u64, value: &T) -> Result<Row, DiskFault> {
        Ok(Row::Record { number, bytes: encode(value)? })
    }

    pub fn size(&self) -> usize {
        match self {
            Row::KeyValue { bytes, .. } | Row::Record { bytes, .. } => bytes.len(),
            Row::DeleteThrough(_) => 0,
        }
    }
}

impl DataFolder {
    /// A data folder that is opened when it is first used, or by `ensure_open`.
    pub fn at(data_folder: &Path) -> DataFolder {
        DataFolder::on(Box::new(FolderMedium { folder: data_folder.to_owned() }))
    }

    /// Opens the folder's ledger, making it if there is none.
    pub fn open(data_folder: &Path) -> Result<DataFolder, DiskFault> {
        let mut folder = DataFolder::at(data_folder);
        folder.ensure_open()?;
        Ok(folder)
    }

    /// A ledger on a pretended disk.
    #[cfg(feature = "faults")]
    pub fn on_simulated_disk(disk: &SimulatedDisk) -> DataFolder {
        DataFolder::on(Box::new(disk.clone()))
    }

    /// A ledger on a disk that misbehaves as a control file says.
    #[cfg(feature = "faults")]
    pub fn on_faulty_disk(data_folder: &Path, control: &Path) -> DataFolder {
        DataFolder::on(Box::new(FrailMedium::new(data_folder, control)))
    }

    fn on(medium: Box<dyn Medium>) -> DataFolder {
        DataFolder { medium, database: None, synced: None, is_doubtful: Arc::default(), is_unsettled: true }
    }

    /// Opens the ledger if it is not open: at first, making it if there is none, and after a fault. What was
    /// synced before must still be in it then; a batch that failed may or may not.
    pub fn ensure_open(&mut self) -> Result<(), DiskFault> {
        if self.database.is_some() {
            return Ok(());
        }
        let outcome = self.open_again();
        self.note_doubt();
        outcome
    }

    /// A later life of this process must know, too.
    fn note_doubt(&self) {
        if self.is_doubtful.load(Ordering::SeqCst) && !self.medium.has_doubt() {
            self.medium.note_doubt();
        }
    }

    fn open_again(&mut self) -> Result<(), DiskFault> {
        self.medium.prepare().or_disk("make data folder")?;
        if !self.medium.has_current().or_disk("find ledger")? {
            if self.synced.is_some() {
                return Err(DiskFault::lasting("the ledger is gone".into()));
            }
            self.make()?;
        }
        if self.is_unsettled {
            self.medium.settle().or_disk("sync data folder")?;
            self.is_unsettled = false;
        }
        if self.is_doubtful.load(Ordering::SeqCst) || self.medium.has_doubt() {
            self.copy()?;
        }
        if self.synced.is_none() {
            self.medium.drop_new();
        }
        let storage = self.medium.open(Part::Current).or_disk("open ledger")?;
        let database = open_ledger(storage, Arc::clone(&self.is_doubtful))?;
        let serial = read_plain::<u64>(&database, SERIAL)?.unwrap_or(0);
        if let Some(synced) = self.synced
            && serial != synced
            && serial != synced + 1
        {
            return Err(DiskFault::lasting(format!("the ledger holds {serial} batches, {synced} were synced")));
        }
        match read_plain::<u64>(&database, "format")? {
            Some(FORMAT) => {}
            None => write(&database, &[Row::key_value("format", &FORMAT)?], serial)?,
            Some(other) => {
                let reason = format!("ledger has format {other}, this program writes format {FORMAT}");
                return Err(DiskFault::lasting(reason));
            }
        }
        self.synced = Some(serial);
        self.database = Some(database);
        Ok(())
    }

    /// Makes the ledger apart, so that there is a whole one or none.
    fn make(&mut self) -> Result<(), DiskFault> {
        let storage = self.medium.open(Part::New).or_disk("make ledger")?;
        let database = open_ledger(storage, Arc::default())?;
        write(&database, &[Row::key_value("format", &FORMAT)?, Row::key_value("identity", &NodeId::random())?], 0)?;
        database.close().or_disk("make ledger")?;
        self.put_in_place()
    }

    /// A copy that is synced whole takes the place of a ledger that shows what may not be on the disk.
    fn copy(&mut self) -> Result<(), DiskFault> {
        let from = self.medium.open(Part::Current).or_disk("open ledger")?;
        let to = self.medium.open(Part::New).or_disk("copy ledger")?;
        copy_bytes(&*from, &*to).or_disk("copy ledger")?;
        self.put_in_place()?;
        self.is_doubtful.store(false, Ordering::SeqCst);
        self.medium.drop_doubt();
        Ok(())
    }

    fn put_in_place(&mut self) -> Result<(), DiskFault> {
        self.is_unsettled = true;
        self.medium.replace().or_disk("put ledger in place")?;
        self.medium.settle().or_disk("sync data folder")?;
        self.is_unsettled = false;
        Ok(())
    }

    /// Does something with the open ledger; after a fault it is to be opened again.
    fn with<T>(&mut self, work: impl FnOnce(&Database) -> Result<T, DiskFault>) -> Result<T, DiskFault> {
        self.ensure_open()?;
        let Some(database) = &self.database else {
            return Err(DiskFault::lasting("the ledger is not open".into()));
        };
        let outcome = work(database);
        if outcome.is_err() {
            self.database = None;
            self.note_doubt();
        }
        outcome
    }

    /// This folder's identity, made with it.
    pub fn identity(&mut self) -> Result<NodeId, DiskFault> {
        if let Some(known_identity) = self.read_value("identity")? {
            return Ok(known_identity);
        }
        let new_identity = NodeId::random();
        self.write_value("identity", &new_identity)?;
        Ok(new_identity)
    }

    /// Member addresses heard of last, tried besides the seeds.
    pub fn remembered_addresses(&mut self) -> Result<Vec<String>, DiskFault> {
        Ok(self.read_value("addresses")?.unwrap_or_default())
    }

    pub fn remember_addresses(&mut self, addresses: &[String]) -> Result<(), DiskFault> {
        self.write_value("addresses", &addresses.to_vec())
    }

    /// Stores a batch of rows in one synced transaction. A batch that failed may be stored again.
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

    /// The numbered rows after a number, which must follow it without a gap.
    pub fn records_after<T: DeserializeOwned>(&mut self, last_known: u64) -> Result<Vec<T>, DiskFault> {
        self.with(|database| read_numbered(database, last_known))
    }

    /// The size of all numbered rows together.
    pub fn records_size(&mut self) -> Result<u64, DiskFault> {
        self.with(measure_numbered)
    }

    pub fn read_value<T: DeserializeOwned>(&mut self, key: &str) -> Result<Option<T>, DiskFault> {
        self.with(|database| read_plain(database, key))
    }

    pub fn write_value<T: Serialize>(&mut self, key: &'static str, value: &T) -> Result<(), DiskFault> {
        self.store(&[Row::key_value(key, value)?])
    }
}

fn open_ledger(inner: Box<dyn StorageBackend>, sync_failed: Arc<AtomicBool>) -> Result<Database, DiskFault> {
    let storage = WatchedStorage { inner, sync_failed };
    Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(storage).or_disk("open ledger")
}

fn write(database: &Database, batch: &[Row], serial: u64) -> Result<(), DiskFault> {
    let counted = Row::key_value(SERIAL, &serial)?;
    let writing = database.begin_write().or_disk("begin")?;
    for row in batch.iter().chain([&counted]) {
        match row {
            Row::KeyValue { key, bytes } => {
                let mut table = writing.open_table(PLAIN).or_disk("open table")?;
                table.insert(*key, bytes.as_slice()).or_disk("write")?;
            }
            Row::Record { number, bytes } => {
                let mut records = writing.open_table(RECORDS).or_disk("open records")?;
                records.insert(*number, bytes.as_slice()).or_disk("write a record")?;
            }
            Row::DeleteThrough(last_dropped) => {
                let mut records = writing.open_table(RECORDS).or_disk("open records")?;
                records.retain(|number, _| number > *last_dropped).or_disk("drop records")?;
            }
        }
    }
    writing.commit().or_disk("sync")
}

type Records = ReadOnlyTable<u64, &'static [u8]>;

fn open_records(database: &Database) -> Result<Option<Records>, DiskFault> {
    let reading = database.begin_read().or_disk("read records")?;
    match reading.open_table(RECORDS) {
        Ok(records) => Ok(Some(records)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(other) => Err(other).or_disk("read records"),
    }
}

fn read_numbered<T: DeserializeOwned>(database: &Database, last_known: u64) -> Result<Vec<T>, DiskFault> {
    let Some(records) = open_records(database)? else { return Ok(Vec::new()) };
    let mut found = Vec::new();
    for (place, row) in records.range(last_known + 1..).or_disk("read records")?.enumerate() {
        let (number, bytes) = row.or_disk("read records")?;
        let expected = last_known + 1 + place as u64;
        if number.value() != expected {
            return Err(DiskFault::lasting(format!("record {} stands where {expected} should", number.value())));
        }
        found.push(decode(bytes.value(), &format!("record {expected}"))?);
    }
    Ok(found)
}

fn measure_numbered(database: &Database) -> Result<u64, DiskFault> {
    let Some(records) = open_records(database)? else { return Ok(0) };
    let mut size = 0;
    for row in records.range::<u64>(..).or_disk("read records")? {
        size += row.or_disk("read records")?.1.value().len() as u64;
    }
    Ok(size)
}

fn read_plain<T: DeserializeOwned>(database: &Database, key: &str) -> Result<Option<T>, DiskFault> {
    let reading = database.begin_read().or_disk("read")?;
    let table = match reading.open_table(PLAIN) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(other) => return Err(other).or_disk(&format!("read {key}")),
    };
    let Some(row) = table.get(key).or_disk("read")? else { return Ok(None) };
    decode(row.value(), key).map(Some)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, DiskFault> {
    rmp_serde::to_vec_named(value).map_err(|reason| DiskFault::lasting(format!("encode: {reason}")))
}

fn decode<T: DeserializeOwned>(bytes: &[u8], what: &str) -> Result<T, DiskFault> {
    rmp_serde::from_slice(bytes).map_err(|reason| DiskFault::lasting(format!("{what} is damaged: {reason}")))
}
