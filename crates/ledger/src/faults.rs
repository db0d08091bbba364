//! A disk for tests. Writes are seen at once and reach the disk only when synced; syncs can be slow or fail,
//! the disk can be full, power can be lost. As on a real system, what a failed sync was to bring to the disk
//! stays seen, is taken for written, and is not brought there by a later sync. Names of files reach the disk when
//! their folder is synced; at a loss of power each name made, renamed or removed since is kept or lost by itself.

use crate::prelude::*;

const BLOCK_BYTES: usize = 4096;

/// The pretended disk; it outlives the storages opened on it.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    contents: Arc<Mutex<Contents>>,
    pub sync_millis: Arc<AtomicU64>,
    pub sync_faults: Arc<AtomicBool>,
    pub is_full: Arc<AtomicBool>,
    /// So many writes and syncs succeed, the same number after it fail, and the rest succeeds; nothing for all.
    pub fault_window: Arc<Mutex<Option<FaultWindow>>>,
}

/// A time of faults, counted in writes and syncs.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    pub successes: u64,
    pub failures: u64,
}

/// A name in the folder, as a loss of power may treat it by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskName {
    /// The ledger.
    Ledger,
    /// What is to take its place.
    Replacement,
    /// The mark of a failed sync.
    DoubtMark,
}

/// The files, by their numbers; and which of them each name stands for, as seen and as synced.
#[derive(Debug, Default)]
struct Contents {
    files: Vec<SimulatedFile>,
    seen: Names,
    synced: Names,
}

#[derive(Clone, Copy, Debug, Default)]
struct Names {
    current: Option<usize>,
    new: Option<usize>,
    has_doubt: bool,
}

impl Names {
    fn of(&mut self, part: Part) -> &mut Option<usize> {
        match part {
            Part::Current => &mut self.current,
            Part::New => &mut self.new,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct SimulatedFile {
    durable: Vec<u8>,
    seen: Vec<u8>,
    /// Blocks written since the last sync, failed or not.
    unsynced: BTreeSet<usize>,
}

#[derive(Debug)]
pub struct SimulatedStorage {
    disk: SimulatedDisk,
    file: usize,
}

impl SimulatedFile {
    /// Brings the blocks written since the last sync to the disk, or every second one of them.
    fn sync(&mut self, is_whole: bool) {
        let blocks = std::mem::take(&mut self.unsynced);
        self.durable.resize(self.seen.len(), 0);
        for (place, block) in blocks.into_iter().enumerate() {
            let start = (block * BLOCK_BYTES).min(self.seen.len());
            let end = (start + BLOCK_BYTES).min(self.seen.len());
            if is_whole || place % 2 == 1 {
                self.durable[start..end].copy_from_slice(&self.seen[start..end]);
            }
        }
    }
}

impl Contents {
    fn add(&mut self, file: SimulatedFile) -> usize {
        self.files.push(file);
        self.files.len() - 1
    }

    /// Only what was synced is left; of names that differ from the synced ones, those that are to be kept.
    fn lose_power(&mut self, mut keeps: impl FnMut(DiskName) -> bool) {
        let (seen, synced) = (self.seen, self.synced);
        let mut left = synced;
        if seen.current != synced.current && keeps(DiskName::Ledger) {
            left.current = seen.current;
        }
        if seen.new != synced.new && keeps(DiskName::Replacement) {
            left.new = seen.new;
        }
        if seen.has_doubt != synced.has_doubt && keeps(DiskName::DoubtMark) {
            left.has_doubt = seen.has_doubt;
        }
        (self.seen, self.synced) = (left, left);
        for file in &mut self.files {
            file.seen = file.durable.clone();
            file.unsynced.clear();
        }
    }
}

impl SimulatedDisk {
    fn contents(&self) -> std::sync::MutexGuard<'_, Contents> {
        self.contents.lock().expect("no holder of this lock panics")
    }

    /// What stands on the disk now of the ledger.
    pub fn durable(&self) -> Vec<u8> {
        let contents = self.contents();
        contents.synced.current.map(|file| contents.files[file].durable.clone()).unwrap_or_default()
    }

    pub fn fill(&self, bytes: Vec<u8>) {
        let mut contents = self.contents();
        let file = contents.add(SimulatedFile { durable: bytes.clone(), seen: bytes, unsynced: BTreeSet::new() });
        contents.seen.current = Some(file);
        contents.synced.current = Some(file);
    }

    /// Only what was synced is left.
    pub fn lose_power(&self) {
        self.contents().lose_power(|_| false);
    }

    /// The same, but for names that were made, renamed or removed since their folder was synced: each is kept if
    /// that is said of it.
    pub fn lose_power_keeping(&self, keeps: impl FnMut(DiskName) -> bool) {
        self.contents().lose_power(keeps);
    }

    pub(crate) fn open_part(&self, part: Part) -> io::Result<SimulatedStorage> {
        let is_new = part == Part::New;
        if is_new {
            self.check_room()?;
        }
        let mut contents = self.contents();
        let known = *contents.seen.of(part);
        let file = match known.filter(|_| !is_new) {
            Some(file) => file,
            None => contents.add(SimulatedFile::default()),
        };
        *contents.seen.of(part) = Some(file);
        Ok(SimulatedStorage { disk: self.clone(), file })
    }

    fn check_room(&self) -> io::Result<()> {
        self.count_operation()?;
        if self.is_full.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn count_operation(&self) -> io::Result<()> {
        let mut window = self.fault_window.lock().expect("no holder of this lock panics");
        match window.as_mut() {
            Some(FaultWindow { successes: 0, failures: 0 }) | None => Ok(()),
            Some(FaultWindow { successes: 0, failures }) => {
                *failures -= 1;
                Err(io::Error::other("the disk is in a spell of faults"))
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
        Ok(contents.seen.current.is_some_and(|file| !contents.files[file].seen.is_empty()))
    }

    fn open(&self, part: Part) -> io::Result<Box<dyn StorageBackend>> {
        Ok(Box::new(self.open_part(part)?))
    }

    fn replace(&self) -> io::Result<()> {
        self.check_room()?;
        let mut contents = self.contents();
        contents.seen.current = contents.seen.new.take();
        Ok(())
    }

    fn settle(&self) -> io::Result<()> {
        self.count_operation()?;
        if self.sync_faults.load(Ordering::SeqCst) {
            return Err(io::Error::other("the disk does not sync"));
        }
        let mut contents = self.contents();
        contents.synced = contents.seen;
        Ok(())
    }

    fn drop_new(&self) {
        self.contents().seen.new = None;
    }

    fn note_doubt(&self) {
        self.contents().seen.has_doubt = true;
    }

    fn has_doubt(&self) -> bool {
        self.contents().seen.has_doubt
    }

    fn drop_doubt(&self) {
        self.contents().seen.has_doubt = false;
    }
}

impl SimulatedStorage {
    fn with_file<T>(&self, work: impl FnOnce(&mut SimulatedFile) -> T) -> T {
        work(&mut self.disk.contents().files[self.file])
    }
}

impl StorageBackend for SimulatedStorage {
    fn len(&self) -> io::Result<u64> {
        Ok(self.with_file(|file| file.seen.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.with_file(|file| {
            let start = offset as usize;
            let Some(found) = file.seen.get(start..start + out.len()) else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            out.copy_from_slice(found);
            Ok(())
        })
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.disk.check_room()?;
        self.with_file(|file| file.seen.resize(length as usize, 0));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let pause = self.disk.sync_millis.load(Ordering::SeqCst);
        if pause > 0 {
            std::thread::park_timeout(std::time::Duration::from_millis(pause));
        }
        let mut outcome = self.disk.count_operation();
        if self.disk.sync_faults.load(Ordering::SeqCst) {
            outcome = Err(io::Error::other("the disk does not sync"));
        }
        self.with_file(|file| file.sync(outcome.is_ok()));
        outcome
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.disk.check_room()?;
        self.with_file(|file| {
            let start = offset as usize;
            let Some(place) = file.seen.get_mut(start..start + data.len()) else {
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
