//! Writes recordings as files of bounded size, of which the oldest are deleted. A disk error ends the recording, not
//! the router.

use crate::prelude::*;

/// The number of files that are kept.
pub const KEPT_FILES: u64 = 4;

/// Writes runs to a folder of recordings.
pub struct DayWriter {
    folder: PathBuf,
    router: String,
    max_file_bytes: u64,
    file: BufWriter<std::fs::File>,
    written_bytes: u64,
    file_number: u64,
}

fn file_name(router: &str, number: u64) -> String {
    format!("{router}-{number:06}.day")
}

impl DayWriter {
    /// Creates the folder and the first file.
    pub fn create(folder: &Path, router: &str, max_file_bytes: u64) -> std::io::Result<DayWriter> {
        std::fs::create_dir_all(folder)?;
        let file = DayWriter::create_file(folder, router, 1)?;
        let (folder, router) = (folder.to_owned(), router.to_owned());
        Ok(DayWriter { folder, router, max_file_bytes, file, written_bytes: 0, file_number: 1 })
    }

    fn create_file(folder: &Path, router: &str, number: u64) -> std::io::Result<BufWriter<std::fs::File>> {
        let mut file = BufWriter::new(std::fs::File::create(folder.join(file_name(router, number)))?);
        file.write_all(write_line(&DayHeader { format: FORMAT, router: router.to_owned() }).as_bytes())?;
        Ok(file)
    }

    /// Writes a run, and starts a new file first if the current one would exceed its size.
    pub fn write(&mut self, run: &RecordedRun) -> std::io::Result<()> {
        let line = write_line(run);
        if self.written_bytes + line.len() as u64 > self.max_file_bytes {
            self.file.flush()?;
            self.file_number += 1;
            self.file = DayWriter::create_file(&self.folder, &self.router, self.file_number)?;
            self.written_bytes = 0;
            if let Some(dropped) = self.file_number.checked_sub(KEPT_FILES).filter(|number| *number > 0) {
                let _ = std::fs::remove_file(self.folder.join(file_name(&self.router, dropped)));
            }
        }
        self.written_bytes += line.len() as u64;
        self.file.write_all(line.as_bytes())
    }

    /// Writes buffered lines to the file.
    pub fn flush(&mut self) -> std::io::Result<()> {
        self.file.flush()
    }
}
