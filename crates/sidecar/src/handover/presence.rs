//! Shows which processes of a sidecar are alive, by file locks that the system releases when their holder ends.

use crate::storage;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a process checks whether another process of its sidecar is alive.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The role of a process, with one lock file each. A process keeps at most one of the locks.
#[derive(Clone, Copy)]
enum Role {
    /// The only process, or the predecessor in an upgrade.
    Serving,
    /// The successor in an upgrade.
    Successor,
}

impl Role {
    /// The extension of the lock file.
    fn file_extension(self) -> &'static str {
        match self {
            Role::Serving => "serving",
            Role::Successor => "next",
        }
    }
}

/// The lock that this process holds among the processes of its sidecar.
pub struct Presence {
    folder: PathBuf,
    name: String,
    serving: Option<File>,
    successor: Option<File>,
}

impl Presence {
    /// Takes the first free lock in the folder, which is created if it does not exist. Takes none if both are held.
    ///
    /// # Errors
    /// The folder or a lock file cannot be created, or the lock call fails.
    pub fn register(folder: &Path, name: &str) -> io::Result<Presence> {
        std::fs::create_dir_all(folder)?;
        let (folder, name) = (folder.to_path_buf(), storage::file_name_of(name));
        let mut presence = Presence { folder, name, serving: None, successor: None };
        presence.serving = presence.try_lock(Role::Serving)?;
        if presence.serving.is_none() {
            presence.successor = presence.try_lock(Role::Successor)?;
        }
        Ok(presence)
    }

    /// Opens the lock file of a role without locking it.
    fn open(&self, role: Role) -> io::Result<File> {
        let path = self.folder.join(format!("{}.{}", self.name, role.file_extension()));
        storage::open_lock(&path)
    }

    /// Takes the lock of a role; returns None if another process holds it.
    fn try_lock(&self, role: Role) -> io::Result<Option<File>> {
        let file = self.open(role)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Whether another process of this sidecar is alive. If the check fails, the error is logged and the result is false.
    pub fn another_process(&mut self) -> bool {
        self.check().unwrap_or_else(|error| {
            tracing::warn!("{}: {error}", self.folder.display());
            false
        })
    }

    /// Takes the serving lock if it has become free, or else a free successor's lock. Returns whether another process is
    /// alive.
    fn check(&mut self) -> io::Result<bool> {
        if self.serving.is_some() {
            return self.successor_alive();
        }
        self.serving = self.try_lock(Role::Serving)?;
        if self.serving.is_some() {
            self.successor = None;
        } else if self.successor.is_none() {
            self.successor = self.try_lock(Role::Successor)?;
        }
        Ok(self.serving.is_none())
    }

    /// Whether a process holds the successor's lock. The check takes only a shared lock, for a moment, so that it rarely
    /// prevents a starting process from taking the lock.
    fn successor_alive(&self) -> io::Result<bool> {
        match self.open(Role::Successor)?.try_lock_shared() {
            Ok(()) => Ok(false),
            Err(TryLockError::WouldBlock) => Ok(true),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

#[cfg(test)]
#[path = "presence_tests.rs"]
mod tests;
