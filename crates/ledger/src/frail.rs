//! A pretended disk behind a real file, for keepers in tests: writes stay in memory until synced, so a
//! killed process loses what was not; and a control file says, at each sync, how the disk misbehaves:
//! `slow MILLIS`, `stall` (until it says otherwise), `full`, `fail`, or nothing.

use crate::prelude::*;

#[derive(Clone, Debug)]
pub(crate) struct FrailMedium {
    disk: SimulatedDisk,
    file: PathBuf,
    control: PathBuf,
}

#[derive(Debug)]
struct FrailStorage {
    medium: FrailMedium,
    storage: SimulatedStorage,
    part: Part,
}

impl FrailMedium {
    pub(crate) fn new(data_folder: &Path, control: &Path) -> FrailMedium {
        let medium = FrailMedium {
            disk: SimulatedDisk::default(),
            file: data_folder.join("ledger.redb"),
            control: control.to_owned(),
        };
        if let Ok(bytes) = std::fs::read(&medium.file) {
            medium.disk.fill(bytes);
        }
        medium
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

    fn stand_while_stalled(&self) {
        while self.obey() {
            std::thread::park_timeout(std::time::Duration::from_millis(5));
        }
    }

    fn write_durable(&self) -> io::Result<()> {
        let synced = self.file.with_extension("synced");
        std::fs::write(&synced, self.disk.durable())?;
        std::fs::rename(&synced, &self.file)
    }
}

impl Medium for FrailMedium {
    fn prepare(&self) -> io::Result<()> {
        self.file.parent().map_or(Ok(()), std::fs::create_dir_all)
    }

    fn has_current(&self) -> io::Result<bool> {
        self.disk.has_current()
    }

    fn open(&self, part: Part) -> io::Result<Box<dyn StorageBackend>> {
        self.obey();
        let storage = self.disk.open_part(part)?;
        Ok(Box::new(FrailStorage { medium: self.clone(), storage, part }))
    }

    fn replace(&self) -> io::Result<()> {
        self.obey();
        self.disk.replace()?;
        self.write_durable()
    }

    fn settle(&self) -> io::Result<()> {
        self.stand_while_stalled();
        self.disk.settle()
    }

    fn drop_new(&self) {
        self.disk.drop_new();
    }
}

impl StorageBackend for FrailStorage {
    fn len(&self) -> io::Result<u64> {
        self.storage.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.storage.read(offset, out)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.medium.obey();
        self.storage.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.medium.stand_while_stalled();
        let outcome = self.storage.sync_data();
        if self.part == Part::Current {
            self.medium.write_durable()?;
        }
        outcome
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.medium.obey();
        self.storage.write(offset, data)
    }
}
