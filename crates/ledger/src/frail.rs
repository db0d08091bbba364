//! A pretended disk behind a real file, for keepers in tests: writes stay in memory until synced, so a
//! killed process loses what was not; and a control file says, at each sync, how the disk misbehaves:
//! `slow MILLIS`, `stall` (until it says otherwise), `full`, `fail`, or nothing.

use crate::prelude::*;
use std::sync::atomic::Ordering;

#[derive(Debug)]
pub struct FrailStorage {
    disk: PretendedDisk,
    storage: PretendedStorage,
    file: PathBuf,
    control: PathBuf,
}

impl FrailStorage {
    pub fn open(file: &Path, control: &Path) -> std::io::Result<FrailStorage> {
        let disk = PretendedDisk::default();
        if file.exists() {
            disk.fill(std::fs::read(file)?);
        }
        let (storage, file, control) = (disk.open(), file.to_owned(), control.to_owned());
        Ok(FrailStorage { disk, storage, file, control })
    }

    /// Sets the disk to what the control file says now; true while it says to stall.
    fn obey(&self) -> bool {
        let wish = std::fs::read_to_string(&self.control).unwrap_or_default();
        let mut words = wish.split_whitespace();
        let word = words.next().unwrap_or("");
        let millis = words.next().and_then(|text| text.parse().ok()).unwrap_or(0);
        self.disk.sync_millis.store(if word == "slow" { millis } else { 0 }, Ordering::SeqCst);
        self.disk.sync_faults.store(word == "fail", Ordering::SeqCst);
        self.disk.is_full.store(word == "full", Ordering::SeqCst);
        word == "stall"
    }
}

impl redb::StorageBackend for FrailStorage {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.storage.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        self.storage.read(offset, out)
    }

    fn set_len(&self, length: u64) -> Result<(), std::io::Error> {
        self.obey();
        self.storage.set_len(length)
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        while self.obey() {
            std::thread::park_timeout(std::time::Duration::from_millis(5));
        }
        self.storage.sync_data()?;
        let synced = self.file.with_extension("synced");
        std::fs::write(&synced, self.disk.durable())?;
        std::fs::rename(&synced, &self.file)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.obey();
        self.storage.write(offset, data)
    }
}
