//! The record of servers that operators took out for maintenance: one file that both processes of an upgrade read and
//! write, under a lock. Of each server the newest entry counts. It owns the form of the file; what follows from an entry
//! is left to the decisions.

use crate::clock::unix_ms;
use crate::storage::{self, TemporaryName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// The version of the file's form.
const FORMAT_VERSION: u32 = 1;
/// An entry of a server that is used again tells when it came back, as it may be warming up; later it says nothing.
const RETURN_ENTRY_LIFETIME: Duration = Duration::from_secs(600);
/// The most servers that may be in maintenance at a time.
pub const MAX_ENTRIES: usize = 4096;

/// What operators last asked for one server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceEntry {
    #[serde(rename = "out")]
    pub in_maintenance: bool,
    pub at_unix_ms: u64,
}

impl MaintenanceEntry {
    /// How long ago operators asked for it, by the wall clock.
    pub fn age(&self) -> Duration {
        Duration::from_millis(unix_ms().saturating_sub(self.at_unix_ms))
    }

    /// Whether it is worth keeping: in maintenance, or back not long ago.
    pub fn is_relevant(&self) -> bool {
        self.in_maintenance || self.age() < RETURN_ENTRY_LIFETIME
    }
}

/// Entries by the server's id.
pub type MaintenanceEntries = BTreeMap<String, MaintenanceEntry>;

/// The form of the file.
#[derive(Serialize, Deserialize)]
struct RecordFile {
    version: u32,
    #[serde(rename = "words")]
    entries: MaintenanceEntries,
}

/// Why the record can't be read or written.
#[derive(Debug)]
pub enum RecordError {
    /// The system refused to lock, read or write a file.
    Io(io::Error),
    /// The file is torn, or was written by something else.
    NotJson(serde_json::Error),
    /// The file has a form that this release does not know.
    Version(u32),
    /// No more servers may be in maintenance.
    Full,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::Io(error) => error.fmt(f),
            RecordError::NotJson(error) => error.fmt(f),
            RecordError::Version(version) => write!(f, "version: {version} is not {FORMAT_VERSION}"),
            RecordError::Full => write!(f, "over {MAX_ENTRIES} servers are in maintenance"),
        }
    }
}

impl std::error::Error for RecordError {}

impl From<io::Error> for RecordError {
    fn from(error: io::Error) -> RecordError {
        RecordError::Io(error)
    }
}

impl From<serde_json::Error> for RecordError {
    fn from(error: serde_json::Error) -> RecordError {
        RecordError::NotJson(error)
    }
}

/// Tells one state of the file from another without reading it.
#[derive(Clone, Copy, PartialEq)]
struct FileStamp {
    modified: SystemTime,
    length: u64,
}

/// One process's view of the record.
pub struct MaintenanceRecord {
    path: PathBuf,
    /// The file's state when it was last read or written; None where there was none.
    last_stamp: Option<FileStamp>,
    pub entries: MaintenanceEntries,
}

impl MaintenanceRecord {
    /// Reads the record of a sidecar, if there is one.
    pub fn open(folder: &Path, name: &str) -> MaintenanceRecord {
        let path = folder.join(format!("{}.maintenance", storage::file_name_of(name)));
        let mut record = MaintenanceRecord { path, last_stamp: None, entries: MaintenanceEntries::new() };
        record.refresh();
        record
    }

    fn stamp(&self) -> Option<FileStamp> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        Some(FileStamp { modified: metadata.modified().ok()?, length: metadata.len() })
    }

    /// Reads the file if it has changed. Whether it had.
    pub fn refresh(&mut self) -> bool {
        let stamp = self.stamp();
        if stamp == self.last_stamp {
            return false;
        }
        self.last_stamp = stamp;
        match self.read() {
            Ok(entries) => self.entries = entries,
            // The entries read last stay in force: maintenance must not end by a torn file.
            Err(error) => {
                tracing::error!("{}: {error}; the entries read last stay in force", self.path.display());
            }
        }
        true
    }

    fn read(&self) -> Result<MaintenanceEntries, RecordError> {
        let Some(bytes) = storage::read_if_present(&self.path)? else {
            return Ok(MaintenanceEntries::new());
        };
        let file: RecordFile = serde_json::from_slice(&bytes)?;
        if file.version != FORMAT_VERSION {
            return Err(RecordError::Version(file.version));
        }
        Ok(file.entries)
    }

    /// Adds one entry to what the file holds by now.
    ///
    /// # Errors
    /// The file can't be locked, read or written, or has no room for the entry; it stays as it is then.
    pub fn set(&mut self, server: &str, in_maintenance: bool) -> Result<(), RecordError> {
        let lock = storage::open_lock(&storage::with_suffix(&self.path, "lock"))?;
        lock.lock()?;
        let now = unix_ms();
        let mut entries = self.read()?;
        entries.retain(|_, entry| entry.is_relevant());
        entries.insert(server.to_string(), MaintenanceEntry { in_maintenance, at_unix_ms: now });
        if entries.len() > MAX_ENTRIES {
            return Err(RecordError::Full);
        }
        let file = RecordFile { version: FORMAT_VERSION, entries };
        storage::replace(&self.path, TemporaryName::Suffix, &serde_json::to_vec(&file)?)?;
        self.entries = file.entries;
        self.last_stamp = self.stamp();
        Ok(())
    }
}

#[cfg(test)]
#[path = "maintenance_record_tests.rs"]
mod tests;
