//! Reads and writes the state files that outlive the process.
//!
//! Files are replaced atomically: the new contents are written to a temporary file in the same folder, which is then
//! renamed, so that readers see either the old or the new contents. Nothing is synced to the disk: after a power loss a
//! file may be outdated or empty, so each reader checks what it reads.

use std::fmt;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Why a stored file cannot be read. The contents are checked by the caller.
#[derive(Debug)]
pub enum StorageError {
    /// The system failed to open or read the file.
    Io(io::Error),
    /// The file is longer than `limit` bytes, the maximum for its kind, and its contents are not used.
    TooLong { limit: u64 },
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StorageError::Io(error) => error.fmt(f),
            StorageError::TooLong { limit } => write!(f, "the file is longer than {limit} bytes"),
        }
    }
}

impl std::error::Error for StorageError {}

impl From<io::Error> for StorageError {
    fn from(error: io::Error) -> StorageError {
        StorageError::Io(error)
    }
}

/// How the name of a temporary file is derived from the name of the file that it replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TemporaryName {
    /// The extension is replaced by `new`; for files with a single writer.
    Extension,
    /// The extension is replaced by `new` and the process id; for files that both processes of an upgrade write.
    ExtensionOfProcess,
    /// `.new` is appended to the name; for files that are written under a lock.
    Suffix,
}

impl TemporaryName {
    /// The path of the temporary file that replaces the file at `path`.
    fn path_for(self, path: &Path) -> PathBuf {
        match self {
            TemporaryName::Extension => path.with_extension("new"),
            TemporaryName::ExtensionOfProcess => path.with_extension(format!("new{}", std::process::id())),
            TemporaryName::Suffix => with_suffix(path, "new"),
        }
    }
}

/// A sidecar's name as part of a file name: each character other than ASCII letters, digits and `-` becomes `_`.
pub fn file_name_of(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect()
}

/// Appends a dot and the suffix to the file name of the path.
pub fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut path = path.as_os_str().to_os_string();
    path.push(".");
    path.push(suffix);
    path.into()
}

/// Reads a whole file of at most `limit` bytes.
///
/// # Errors
/// The file cannot be opened or read, or is longer than the limit.
pub fn read_within(path: &Path, limit: u64) -> Result<Vec<u8>, StorageError> {
    let bytes = read_prefix(path, limit.saturating_add(1))?;
    if bytes.len() as u64 > limit {
        return Err(StorageError::TooLong { limit });
    }
    Ok(bytes)
}

/// Reads at most the first `max_bytes` bytes of a file.
pub fn read_prefix(path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(max_bytes).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Reads a whole file. Returns None if the file does not exist.
pub fn read_if_present(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        result => result.map(Some),
    }
}

/// Atomically replaces the contents of a file.
///
/// # Errors
/// The temporary file cannot be written or renamed; the old contents stay.
pub fn replace(path: &Path, temporary: TemporaryName, bytes: &[u8]) -> io::Result<()> {
    let temporary_path = temporary.path_for(path);
    std::fs::write(&temporary_path, bytes)?;
    std::fs::rename(&temporary_path, path)
}

/// Opens a lock file, creating it if it does not exist. Its contents are never read.
pub fn open_lock(path: &Path) -> io::Result<File> {
    File::options().create(true).truncate(false).write(true).open(path)
}

/// Permits one file write at a time on a background thread, so that a slow disk delays no request. While a write hangs,
/// further writes are skipped.
#[derive(Default)]
pub struct BackgroundWriter {
    busy: Arc<AtomicBool>,
}

/// Permission for one write; dropping it allows the next write.
pub struct WritePermit {
    busy: Arc<AtomicBool>,
}

impl BackgroundWriter {
    /// Returns a permit for one write, or None while an earlier write is in progress.
    pub fn permit(&self) -> Option<WritePermit> {
        if self.busy.swap(true, Ordering::AcqRel) {
            return None;
        }
        Some(WritePermit { busy: self.busy.clone() })
    }

    /// Whether a write is in progress.
    #[cfg(test)]
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Acquire)
    }
}

impl WritePermit {
    /// Runs the write on a new thread and then releases the permit.
    pub fn spawn(self, write: impl FnOnce() + Send + 'static) {
        std::thread::spawn(move || {
            write();
            drop(self);
        });
    }
}

impl Drop for WritePermit {
    fn drop(&mut self) {
        self.busy.store(false, Ordering::Release);
    }
}

#[cfg(test)]
#[path = "storage_tests.rs"]
mod tests;
