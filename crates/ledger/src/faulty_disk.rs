//! A simulated disk in front of a real file, for keepers in tests. Writes stay in memory until synced, so a
//! killed process loses what was not synced. A control file, read at each operation, sets how the disk fails:
//! `slow MILLIS`, `stall` (until the file changes), `full`, `fail`, or nothing.

use crate::prelude::*;

/// The simulated disk, with the file that holds its synced content and the control file.
#[derive(Clone, Debug)]
pub(crate) struct FaultyMedium {
    disk: SimulatedDisk,
    file: PathBuf,
    control: PathBuf,
}

#[derive(Debug)]
struct FaultyStorage {
    medium: FaultyMedium,
    storage: SimulatedStorage,
    which: LedgerFile,
}

impl FaultyMedium {
    pub(crate) fn new(data_folder: &Path, control: &Path) -> FaultyMedium {
        let medium = FaultyMedium {
            disk: SimulatedDisk::default(),
            file: data_folder.join("ledger.redb"),
            control: control.to_owned(),
        };
        if let Ok(bytes) = std::fs::read(&medium.file) {
            medium.disk.fill(bytes);
        }
        medium
    }

    /// Applies the control file to the disk and returns whether it asks for a stall.
    fn apply_control_file(&self) -> bool {
        let command = std::fs::read_to_string(&self.control).unwrap_or_default();
        let mut words = command.split_whitespace();
        let word = words.next().unwrap_or("");
        let millis = words.next().and_then(|text| text.parse().ok()).unwrap_or(0);
        self.disk.sync_millis.store(if word == "slow" { millis } else { 0 }, Ordering::SeqCst);
        self.disk.sync_faults.store(word == "fail", Ordering::SeqCst);
        self.disk.is_full.store(word == "full", Ordering::SeqCst);
        word == "stall"
    }

    fn wait_while_stalled(&self) {
        while self.apply_control_file() {
            std::thread::park_timeout(std::time::Duration::from_millis(5));
        }
    }

    fn write_durable(&self) -> io::Result<()> {
        let synced = self.file.with_extension("synced");
        std::fs::write(&synced, self.disk.durable())?;
        std::fs::rename(&synced, &self.file)
    }
}

impl Medium for FaultyMedium {
    fn prepare(&self) -> io::Result<()> {
        self.file.parent().map_or(Ok(()), std::fs::create_dir_all)
    }

    fn has_current(&self) -> io::Result<bool> {
        self.disk.has_current()
    }

    fn open(&self, which: LedgerFile) -> io::Result<Box<dyn StorageBackend>> {
        self.apply_control_file();
        let storage = self.disk.open_file(which)?;
        Ok(Box::new(FaultyStorage { medium: self.clone(), storage, which }))
    }

    fn replace(&self) -> io::Result<()> {
        self.apply_control_file();
        self.disk.replace()?;
        self.write_durable()
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.wait_while_stalled();
        self.disk.sync_folder()
    }

    fn remove_replacement(&self) {
        self.disk.remove_replacement();
    }
}

impl StorageBackend for FaultyStorage {
    fn len(&self) -> io::Result<u64> {
        self.storage.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.storage.read(offset, out)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.medium.apply_control_file();
        self.storage.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.medium.wait_while_stalled();
        let outcome = self.storage.sync_data();
        if self.which == LedgerFile::Current {
            self.medium.write_durable()?;
        }
        outcome
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.medium.apply_control_file();
        self.storage.write(offset, data)
    }
}
