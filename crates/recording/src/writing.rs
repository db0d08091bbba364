//! Writing: files of bounded size, the oldest dropped. A fault of the disk ends the recording, never the
//! router.

use crate::prelude::*;

pub const KEPT_FILES: u64 = 4;

pub struct DayWriter {
    folder: PathBuf,
    router: String,
    most_bytes: u64,
    file: BufWriter<std::fs::File>,
    written: u64,
    number: u64,
}

fn file_name(router: &str, number: u64) -> String {
    format!("{router}-{number:06}.day")
}

impl DayWriter {
    pub fn create(folder: &Path, router: &str, most_bytes: u64) -> std::io::Result<DayWriter> {
        std::fs::create_dir_all(folder)?;
        let file = DayWriter::begin(folder, router, 1)?;
        let (folder, router) = (folder.to_owned(), router.to_owned());
        Ok(DayWriter { folder, router, most_bytes, file, written: 0, number: 1 })
    }

    fn begin(folder: &Path, router: &str, number: u64) -> std::io::Result<BufWriter<std::fs::File>> {
        let mut file = BufWriter::new(std::fs::File::create(folder.join(file_name(router, number)))?);
        file.write_all(write_line(&DayHeader { format: FORMAT, router: router.to_owned() }).as_bytes())?;
        Ok(file)
    }

    pub fn write(&mut self, run: &RecordedRun) -> std::io::Result<()> {
        let line = write_line(run);
        if self.written + line.len() as u64 > self.most_bytes {
            self.file.flush()?;
            self.number += 1;
            self.file = DayWriter::begin(&self.folder, &self.router, self.number)?;
            self.written = 0;
            if let Some(dropped) = self.number.checked_sub(KEPT_FILES).filter(|number| *number > 0) {
                let _ = std::fs::remove_file(self.folder.join(file_name(&self.router, dropped)));
            }
        }
        self.written += line.len() as u64;
        self.file.write_all(line.as_bytes())
    }

    pub fn flush(&mut self) -> std::io::Result<()> {
        self.file.flush()
    }
}
