//! The record of servers that operators put into maintenance, in a file that both processes of an upgrade read, and write
//! under a lock. Each server has one entry, the newest. This module owns the file format; the decision engine applies the
//! entries.

use crate::clock::unix_ms;
use crate::storage::{self, TemporaryName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// The version of the file format.
const FORMAT_VERSION: u32 = 1;
/// How long the entry of a returned server is kept: a server may be in slow start after its return, and the entry holds
/// the time of the return.
const RETURN_ENTRY_LIFETIME: Duration = Duration::from_secs(600);
/// The most entries in a record, which include servers that returned within [`RETURN_ENTRY_LIFETIME`].
pub const MAX_ENTRIES: usize = 4096;

/// The last order of an operator for one server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceEntry {
    /// Whether the server is in maintenance, or has returned from it.
    #[serde(rename = "out")]
    pub in_maintenance: bool,
    /// The time of the order, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

impl MaintenanceEntry {
    /// The time since the order, by the wall clock.
    pub fn age(&self) -> Duration {
        Duration::from_millis(unix_ms().saturating_sub(self.at_unix_ms))
    }

    /// Whether the entry must be kept: the server is in maintenance, or returned within [`RETURN_ENTRY_LIFETIME`].
    pub fn is_relevant(&self) -> bool {
        self.in_maintenance || self.age() < RETURN_ENTRY_LIFETIME
    }
}

/// Maintenance entries by server id.
pub type MaintenanceEntries = BTreeMap<String, MaintenanceEntry>;

/// The contents of the file.
#[derive(Serialize, Deserialize)]
struct RecordFile {
    version: u32,
    #[serde(rename = "words")]
    entries: MaintenanceEntries,
}

/// Why the record cannot be read or written.
#[derive(Debug)]
pub enum RecordError {
    /// The system failed to lock, read or write a file.
    Io(io::Error),
    /// The file is truncated, or is not a maintenance record.
    NotJson(serde_json::Error),
    /// The file has a format version that this release does not support.
    Version(u32),
    /// The record would exceed [`MAX_ENTRIES`].
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

/// Identifies a state of the file, to detect changes without reading it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FileStamp {
    /// Each write replaces the file by another one.
    inode: u64,
    modified: SystemTime,
    length: u64,
}

/// One process's view of the record.
pub struct MaintenanceRecord {
    path: PathBuf,
    /// The file's state when `refresh` last read it; None if the file did not exist, or was written here since.
    last_stamp: Option<FileStamp>,
    /// The last state of the file that could not be read, for which an error was logged.
    unreadable_stamp: Option<FileStamp>,
    /// The entries that `refresh` has read last.
    pub entries: MaintenanceEntries,
}

impl MaintenanceRecord {
    /// Opens the record of the sidecar with this name, which is empty if the file does not exist.
    pub fn open(folder: &Path, name: &str) -> MaintenanceRecord {
        let path = folder.join(format!("{}.maintenance", storage::file_name_of(name)));
        let entries = MaintenanceEntries::new();
        let mut record = MaintenanceRecord { path, last_stamp: None, unreadable_stamp: None, entries };
        record.refresh();
        record
    }

    fn stamp(&self) -> Option<FileStamp> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        let modified = metadata.modified().ok()?;
        Some(FileStamp { inode: metadata.ino(), modified, length: metadata.len() })
    }

    /// Reads the file if it has changed since the last call. Returns whether its entries were read.
    pub fn refresh(&mut self) -> bool {
        let stamp = self.stamp();
        if stamp == self.last_stamp {
            return false;
        }
        match self.read() {
            Ok(entries) => {
                self.entries = entries;
                self.last_stamp = stamp;
                true
            }
            // The entries read last stay in force: a truncated file must not end the maintenance of servers. The next
            // call tries again, as the failure may be temporary.
            Err(error) => {
                if std::mem::replace(&mut self.unreadable_stamp, stamp) != stamp {
                    tracing::error!("{}: {error}; the entries read last stay in force", self.path.display());
                }
                false
            }
        }
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

    /// Sets the entry of a server, keeping the current entries of the file for other servers. These may be new to this
    /// process, so the next call of `refresh` reads the file.
    ///
    /// # Errors
    /// The file cannot be locked, read or written, or would exceed [`MAX_ENTRIES`]; it stays unchanged.
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
        self.last_stamp = None;
        Ok(())
    }
}

#[cfg(test)]
#[path = "maintenance_record_tests.rs"]
mod tests;
