//! A simulated disk for tests. Writes are visible at once and become durable only when synced. Syncs can be slow
//! or fail, the disk can be full, and power can be lost. As on a real system, data whose sync failed stays
//! visible, counts as written, and is not made durable by a later sync. File names become durable when their
//! folder is synced; a power loss keeps or discards each name changed since then independently.

use crate::prelude::*;

const BLOCK_BYTES: usize = 4096;

/// The simulated disk; it outlives the storages opened on it.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    contents: Arc<Mutex<Contents>>,
    /// How long each sync takes, in milliseconds.
    pub sync_millis: Arc<AtomicU64>,
    /// Whether syncs fail.
    pub sync_faults: Arc<AtomicBool>,
    /// Whether writes fail for lack of space.
    pub is_full: Arc<AtomicBool>,
    /// A run of failing operations; with `None` all succeed.
    pub fault_window: Arc<Mutex<Option<FaultWindow>>>,
}

/// A run of failing writes and syncs, counted in operations; all operations after it succeed.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    /// How many operations succeed first.
    pub successes: u64,
    /// How many operations fail next.
    pub failures: u64,
}

/// A file name in the folder that a power loss may keep or discard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskName {
    /// The ledger file.
    Ledger,
    /// The replacement of the ledger file.
    Replacement,
    /// The mark that a sync failed.
    FailedSyncMark,
}

/// The files by index, and the file behind each name, as visible and as durable.
#[derive(Debug, Default)]
struct Contents {
    files: Vec<SimulatedFile>,
    visible: Names,
    durable: Names,
}

/// Which file each name refers to.
#[derive(Clone, Copy, Debug, Default)]
struct Names {
    current: Option<usize>,
    replacement: Option<usize>,
    has_failed_sync_mark: bool,
}

impl Names {
    fn of(&mut self, which: LedgerFile) -> &mut Option<usize> {
        match which {
            LedgerFile::Current => &mut self.current,
            LedgerFile::Replacement => &mut self.replacement,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct SimulatedFile {
    durable: Vec<u8>,
    visible: Vec<u8>,
    /// Blocks written since the last sync, whether that sync succeeded or failed.
    unsynced: BTreeSet<usize>,
}

/// An open file of the simulated disk.
#[derive(Debug)]
pub struct SimulatedStorage {
    disk: SimulatedDisk,
    file: usize,
}

impl SimulatedFile {
    /// Makes the blocks written since the last sync durable, or only every second one if the sync is partial.
    fn sync(&mut self, is_complete: bool) {
        let blocks = std::mem::take(&mut self.unsynced);
        self.durable.resize(self.visible.len(), 0);
        for (index, block) in blocks.into_iter().enumerate() {
            let start = (block * BLOCK_BYTES).min(self.visible.len());
            let end = (start + BLOCK_BYTES).min(self.visible.len());
            if is_complete || index % 2 == 1 {
                self.durable[start..end].copy_from_slice(&self.visible[start..end]);
            }
        }
    }
}

impl Contents {
    fn add(&mut self, file: SimulatedFile) -> usize {
        self.files.push(file);
        self.files.len() - 1
    }

    /// Discards unsynced data. Of the names that were not synced, those that `keeps` accepts remain.
    fn lose_power(&mut self, mut keeps: impl FnMut(DiskName) -> bool) {
        let (visible, durable) = (self.visible, self.durable);
        let mut remaining = durable;
        if visible.current != durable.current && keeps(DiskName::Ledger) {
            remaining.current = visible.current;
        }
        if visible.replacement != durable.replacement && keeps(DiskName::Replacement) {
            remaining.replacement = visible.replacement;
        }
        if visible.has_failed_sync_mark != durable.has_failed_sync_mark && keeps(DiskName::FailedSyncMark) {
            remaining.has_failed_sync_mark = visible.has_failed_sync_mark;
        }
        (self.visible, self.durable) = (remaining, remaining);
        for file in &mut self.files {
            file.visible = file.durable.clone();
            file.unsynced.clear();
        }
    }
}

impl SimulatedDisk {
    fn contents(&self) -> std::sync::MutexGuard<'_, Contents> {
        self.contents.lock().expect("no holder of this lock panics")
    }

    /// The durable content of the ledger file.
    pub fn durable(&self) -> Vec<u8> {
        let contents = self.contents();
        contents.durable.current.map(|file| contents.files[file].durable.clone()).unwrap_or_default()
    }

    /// Replaces the ledger file by one with this durable content.
    pub fn fill(&self, bytes: Vec<u8>) {
        let mut contents = self.contents();
        let file = contents.add(SimulatedFile { durable: bytes.clone(), visible: bytes, unsynced: BTreeSet::new() });
        contents.visible.current = Some(file);
        contents.durable.current = Some(file);
    }

    /// Loses power: discards everything that was not synced.
    pub fn lose_power(&self) {
        self.contents().lose_power(|_| false);
    }

    /// Loses power, but keeps those names that `keeps` accepts, of the names that were created, renamed or removed
    /// since their folder was synced.
    pub fn lose_power_keeping(&self, keeps: impl FnMut(DiskName) -> bool) {
        self.contents().lose_power(keeps);
    }

    pub(crate) fn open_file(&self, which: LedgerFile) -> io::Result<SimulatedStorage> {
        let is_new = which == LedgerFile::Replacement;
        if is_new {
            self.check_writable()?;
        }
        let mut contents = self.contents();
        let known = *contents.visible.of(which);
        let file = match known.filter(|_| !is_new) {
            Some(file) => file,
            None => contents.add(SimulatedFile::default()),
        };
        *contents.visible.of(which) = Some(file);
        Ok(SimulatedStorage { disk: self.clone(), file })
    }

    fn check_writable(&self) -> io::Result<()> {
        self.count_operation()?;
        if self.is_full.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Counts an operation and fails it if it falls into the fault window.
    fn count_operation(&self) -> io::Result<()> {
        let mut window = self.fault_window.lock().expect("no holder of this lock panics");
        match window.as_mut() {
            Some(FaultWindow { successes: 0, failures: 0 }) | None => Ok(()),
            Some(FaultWindow { successes: 0, failures }) => {
                *failures -= 1;
                Err(io::Error::other("the operation is in the fault window"))
            }
            Some(FaultWindow { successes, .. }) => {
                *successes -= 1;
                Ok(())
            }
        }
    }
}

impl Medium for SimulatedDisk {
    fn prepare(&self) -> io::Result<()> {
        Ok(())
    }

    fn has_current(&self) -> io::Result<bool> {
        let contents = self.contents();
        Ok(contents.visible.current.is_some_and(|file| !contents.files[file].visible.is_empty()))
    }

    fn open(&self, which: LedgerFile) -> io::Result<Box<dyn StorageBackend>> {
        Ok(Box::new(self.open_file(which)?))
    }

    fn replace(&self) -> io::Result<()> {
        self.check_writable()?;
        let mut contents = self.contents();
        contents.visible.current = contents.visible.replacement.take();
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.count_operation()?;
        if self.sync_faults.load(Ordering::SeqCst) {
            return Err(io::Error::other("syncs are set to fail"));
        }
        let mut contents = self.contents();
        contents.durable = contents.visible;
        Ok(())
    }

    fn remove_replacement(&self) {
        self.contents().visible.replacement = None;
    }

    fn mark_failed_sync(&self) {
        self.contents().visible.has_failed_sync_mark = true;
    }

    fn has_failed_sync_mark(&self) -> bool {
        self.contents().visible.has_failed_sync_mark
    }

    fn clear_failed_sync_mark(&self) {
        self.contents().visible.has_failed_sync_mark = false;
    }
}

impl SimulatedStorage {
    fn with_file<T>(&self, work: impl FnOnce(&mut SimulatedFile) -> T) -> T {
        work(&mut self.disk.contents().files[self.file])
    }
}

impl StorageBackend for SimulatedStorage {
    fn len(&self) -> io::Result<u64> {
        Ok(self.with_file(|file| file.visible.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.with_file(|file| {
            let start = offset as usize;
            let Some(found) = file.visible.get(start..start + out.len()) else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            out.copy_from_slice(found);
            Ok(())
        })
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.disk.check_writable()?;
        self.with_file(|file| file.visible.resize(length as usize, 0));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let delay_millis = self.disk.sync_millis.load(Ordering::SeqCst);
        if delay_millis > 0 {
            std::thread::park_timeout(std::time::Duration::from_millis(delay_millis));
        }
        let mut outcome = self.disk.count_operation();
        if self.disk.sync_faults.load(Ordering::SeqCst) {
            outcome = Err(io::Error::other("syncs are set to fail"));
        }
        self.with_file(|file| file.sync(outcome.is_ok()));
        outcome
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.disk.check_writable()?;
        self.with_file(|file| {
            let start = offset as usize;
            let Some(place) = file.visible.get_mut(start..start + data.len()) else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            place.copy_from_slice(data);
            if !data.is_empty() {
                file.unsynced.extend(start / BLOCK_BYTES..=(start + data.len() - 1) / BLOCK_BYTES);
            }
            Ok(())
        })
    }
}
