//! Reads and writes the files that outlive the process.
//!
//! A file is replaced as a whole: it is written under a temporary name beside its own and then renamed, so that a reader
//! finds the old contents or the new, never a part. Nothing here is synced to the disk: after a loss of power a file may
//! be old or empty, and each reader checks what it reads.

use std::fmt;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Why a stored file can't be used, before its contents are looked at.
#[derive(Debug)]
pub enum StorageError {
    /// The system refused to open or to read it.
    Io(io::Error),
    /// It is longer than any file of its kind, and not read.
    TooLong { limit: u64 },
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StorageError::Io(error) => error.fmt(f),
            StorageError::TooLong { limit } => write!(f, "it is longer than {limit} bytes"),
        }
    }
}

impl std::error::Error for StorageError {}

impl From<io::Error> for StorageError {
    fn from(error: io::Error) -> StorageError {
        StorageError::Io(error)
    }
}

/// The name under which a file is written before it gets its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TemporaryName {
    /// `new` in the place of the extension, for files with one writer.
    Extension,
    /// `new` and the process's id in the place of the extension, for files that the processes of an upgrade both write.
    ExtensionOfProcess,
    /// `.new` behind the whole name, for files that are written under a lock.
    Suffix,
}

impl TemporaryName {
    fn beside(self, path: &Path) -> PathBuf {
        match self {
            TemporaryName::Extension => path.with_extension("new"),
            TemporaryName::ExtensionOfProcess => path.with_extension(format!("new{}", std::process::id())),
            TemporaryName::Suffix => with_suffix(path, "new"),
        }
    }
}

/// A sidecar's name as part of a file's name.
pub fn file_name_of(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect()
}

/// The path with a dot and a suffix behind its whole name.
pub fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut path = path.as_os_str().to_os_string();
    path.push(".");
    path.push(suffix);
    path.into()
}

/// The whole file, unless it is longer than the limit in bytes.
pub fn read_within(path: &Path, limit: u64) -> Result<Vec<u8>, StorageError> {
    let bytes = read_prefix(path, limit.saturating_add(1))?;
    if bytes.len() as u64 > limit {
        return Err(StorageError::TooLong { limit });
    }
    Ok(bytes)
}

/// The first bytes of a file, at most so many.
pub fn read_prefix(path: &Path, max: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(max).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// The whole file; None where there is none.
pub fn read_if_present(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        read => read.map(Some),
    }
}

/// Replaces a file's contents.
pub fn replace(path: &Path, temporary: TemporaryName, bytes: &[u8]) -> io::Result<()> {
    let aside = temporary.beside(path);
    std::fs::write(&aside, bytes)?;
    std::fs::rename(&aside, path)
}

/// Opens a file that is there to be locked; its contents are never looked at.
pub fn open_lock(path: &Path) -> io::Result<File> {
    File::options().create(true).truncate(false).write(true).open(path)
}

/// Writes on a thread of its own, one file at a time: a slow disk holds up no request, and where it hangs further writes
/// are left out.
#[derive(Default)]
pub struct BackgroundWriter {
    busy: Arc<AtomicBool>,
}

/// The right to write next; the writer is free again once it is dropped.
pub struct WritePermit {
    busy: Arc<AtomicBool>,
}

impl BackgroundWriter {
    /// The right to write; None while an earlier write is under way.
    pub fn permit(&self) -> Option<WritePermit> {
        if self.busy.swap(true, Ordering::AcqRel) {
            return None;
        }
        Some(WritePermit { busy: self.busy.clone() })
    }

    /// Whether a write is under way.
    #[cfg(test)]
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Acquire)
    }
}

impl WritePermit {
    /// Runs a write on a thread.
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
