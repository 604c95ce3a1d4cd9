//! Which processes of a sidecar are alive, by file locks that end with their holders.

use crate::storage;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a process checks whether it is the only one.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The locks of a sidecar's processes; each process holds one of them. The names are those of their files.
#[derive(Clone, Copy)]
enum Role {
    /// The only process, or the predecessor in an upgrade.
    Serving,
    /// The successor in an upgrade.
    Successor,
}

impl Role {
    fn file_extension(self) -> &'static str {
        match self {
            Role::Serving => "serving",
            Role::Successor => "next",
        }
    }
}

/// This process's presence among those of its sidecar.
pub struct Presence {
    folder: PathBuf,
    name: String,
    serving: Option<File>,
    successor: Option<File>,
}

impl Presence {
    /// Takes the first lock that is free, in a folder that is made where there is none.
    ///
    /// # Errors
    /// The folder or a file in it can't be made or locked.
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

    fn open(&self, role: Role) -> io::Result<File> {
        let path = self.folder.join(format!("{}.{}", self.name, role.file_extension()));
        storage::open_lock(&path)
    }

    /// The lock, or None while another process holds it.
    fn try_lock(&self, role: Role) -> io::Result<Option<File>> {
        let file = self.open(role)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Whether another process of this sidecar is alive. None is assumed where that can't be checked.
    pub fn another_process(&mut self) -> bool {
        self.check().unwrap_or_else(|error| {
            tracing::warn!("{}: {error}", self.folder.display());
            false
        })
    }

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

    /// The lock is shared for the check, so that it hardly ever stands in the way of a process that starts.
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
