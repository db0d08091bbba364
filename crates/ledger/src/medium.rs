//! Storage under the ledger: the ledger file and its replacement in the data folder, or a simulated disk in
//! tests.

use crate::prelude::*;

/// The two files of a data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LedgerFile {
    /// The ledger in use.
    Current,
    /// A new ledger, renamed over the current one when it is complete.
    Replacement,
}

/// Where the ledger file and its replacement are stored.
pub(crate) trait Medium: Send {
    /// Creates the folder if it does not exist.
    fn prepare(&self) -> io::Result<()>;
    /// Whether a ledger that is not empty exists.
    fn has_current(&self) -> io::Result<bool>;
    /// Opens the current ledger, or truncates and opens the replacement.
    fn open(&self, file: LedgerFile) -> io::Result<Box<dyn StorageBackend>>;
    /// Renames the replacement over the current ledger.
    fn replace(&self) -> io::Result<()>;
    /// Syncs the folder, so that a rename survives a power loss.
    fn sync_folder(&self) -> io::Result<()>;
    /// Removes a replacement that was left unfinished.
    fn remove_replacement(&self);
    /// Records for later starts of the process that a sync of the ledger failed, on a best-effort basis. The
    /// mark need not survive a power loss, which also discards the unsynced data that it warns of.
    fn mark_failed_sync(&self) {}
    fn has_failed_sync_mark(&self) -> bool {
        false
    }
    fn clear_failed_sync_mark(&self) {}
}

/// A data folder in the file system.
pub(crate) struct FolderMedium {
    pub(crate) folder: PathBuf,
}

impl FolderMedium {
    fn path(&self, file: LedgerFile) -> PathBuf {
        self.folder.join(if file == LedgerFile::Current { "ledger.redb" } else { "ledger.new" })
    }

    fn failed_sync_mark_path(&self) -> PathBuf {
        self.folder.join("ledger.doubt")
    }
}

impl Medium for FolderMedium {
    fn prepare(&self) -> io::Result<()> {
        std::fs::create_dir_all(&self.folder)
    }

    fn has_current(&self) -> io::Result<bool> {
        match std::fs::metadata(self.path(LedgerFile::Current)) {
            Ok(found) => Ok(found.len() > 0),
            Err(fault) if fault.kind() == io::ErrorKind::NotFound => Ok(false),
            Err(fault) => Err(fault),
        }
    }

    fn open(&self, file: LedgerFile) -> io::Result<Box<dyn StorageBackend>> {
        let mut options = std::fs::OpenOptions::new();
        options.read(true).write(true);
        if file == LedgerFile::Replacement {
            options.create(true).truncate(true);
        }
        let backend = FileBackend::new(options.open(self.path(file))?).map_err(io::Error::other)?;
        Ok(Box::new(backend))
    }

    fn replace(&self) -> io::Result<()> {
        std::fs::rename(self.path(LedgerFile::Replacement), self.path(LedgerFile::Current))
    }

    fn sync_folder(&self) -> io::Result<()> {
        std::fs::File::open(&self.folder)?.sync_all()
    }

    fn remove_replacement(&self) {
        let _ = std::fs::remove_file(self.path(LedgerFile::Replacement));
    }

    fn mark_failed_sync(&self) {
        let _ = std::fs::File::create(self.failed_sync_mark_path());
    }

    fn has_failed_sync_mark(&self) -> bool {
        self.failed_sync_mark_path().exists()
    }

    fn clear_failed_sync_mark(&self) {
        let _ = std::fs::remove_file(self.failed_sync_mark_path());
    }
}

/// Passes every call to the inner storage and sets a flag when a sync fails.
#[derive(Debug)]
pub(crate) struct SyncObserver {
    pub(crate) inner: Box<dyn StorageBackend>,
    pub(crate) sync_failed: Arc<AtomicBool>,
}

impl StorageBackend for SyncObserver {
    fn len(&self) -> io::Result<u64> {
        self.inner.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.inner.read(offset, out)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.inner.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        let outcome = self.inner.sync_data();
        if outcome.is_err() {
            self.sync_failed.store(true, Ordering::SeqCst);
        }
        outcome
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.inner.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.inner.close()
    }

    fn try_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.inner.try_lock_range(start, end)
    }

    fn try_lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.inner.try_lock_shared_range(start, end)
    }

    fn lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.inner.lock_range(start, end)
    }

    fn lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.inner.lock_shared_range(start, end)
    }

    fn unlock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.inner.unlock_range(start, end)
    }

    fn query_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.inner.query_lock_range(start, end)
    }
}

/// Copies a whole ledger and syncs the copy. The first chunk is synced by itself, so that a disk that still fails
/// is noticed before the rest is copied.
pub(crate) fn copy_bytes(from: &dyn StorageBackend, to: &dyn StorageBackend) -> io::Result<()> {
    let length = from.len()?;
    let mut chunk = vec![0u8; 64 << 10];
    let mut offset = 0;
    to.set_len(length)?;
    while offset < length {
        let count = (length - offset).min(chunk.len() as u64) as usize;
        from.read(offset, &mut chunk[..count])?;
        to.write(offset, &chunk[..count])?;
        if offset == 0 {
            to.sync_data()?;
        }
        offset += count as u64;
    }
    to.sync_data()
}
