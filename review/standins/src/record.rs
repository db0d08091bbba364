//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A log that all parts of a run share.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let text = format!("{:8.3} {}\n", self.began.elapsed().as_secs_f64(), line.as_ref());
        let mut file = self.file.lock().expect("no holder of this lock panics");
        let _ = file.write_all(text.as_bytes());
    }
}
