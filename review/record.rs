//! The record of a run: one line for each event, with the time since the start of the run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Writes `record.txt` in the folder of the case.
pub struct Record {
    started_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create() -> std::io::Result<Record> {
        let file = Mutex::new(BufWriter::new(File::create("record.txt")?));
        Ok(Record { started_at: Instant::now(), file })
    }

    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes one line, with the current time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.4} {text}", self.started_at.elapsed().as_secs_f64());
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.file.lock().unwrap().flush();
    }
}
