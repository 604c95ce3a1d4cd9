//! The versions of a control machine: restores, merges, stores and distributes them.

use super::Server;
use crate::control::snapshot_cache::write;
use crate::net::timeout::timeout;
use async_io::Timer;
use landingspread_control::{Delta, DeltaError, MAX_SCOPES, MergeOutcome, Version};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// The maximum time that a publication waits for the acknowledgements of other machines.
const DISTRIBUTE_TIMEOUT: Duration = Duration::from_millis(800);
/// The time between two removals of expired followers and ended polls.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(60);
/// The maximum number of versions in the writer's queue. Versions beyond it are not stored, and after a restart they
/// have to be fetched from other machines.
const MAX_PENDING_WRITES: usize = 4096;

/// A queued write: the path of the file and its text.
pub type Write = (PathBuf, String);

/// Why a stored version can't be restored.
enum RestoreError {
    Io(io::Error),
    Delta(DeltaError),
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RestoreError::Io(error) => error.fmt(f),
            RestoreError::Delta(error) => error.fmt(f),
        }
    }
}

/// Starts the thread that writes files, so that a slow disk doesn't delay the answers to waiting polls.
pub fn spawn_writer() -> mpsc::SyncSender<Write> {
    let (send, receive) = mpsc::sync_channel::<Write>(MAX_PENDING_WRITES);
    std::thread::spawn(move || receive.iter().for_each(|(path, text)| write(&path, text.as_bytes())));
    send
}

impl Server {
    /// Restores the versions that an earlier process stored. Later ones are fetched from other machines.
    pub(super) fn restore(&self) {
        let Some(folder) = &self.state_folder else { return };
        let _ = std::fs::create_dir_all(folder);
        let entries = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
        let mut paths: Vec<PathBuf> =
            entries.filter(|path| path.extension().is_some_and(|extension| extension == "json")).collect();
        paths.sort();
        for path in paths.into_iter().take(MAX_SCOPES) {
            if let Err(error) = self.restore_version(&path) {
                tracing::warn!("control machine: {}: {error}; the stored version is skipped", path.display());
            }
        }
        let scopes = self.store.borrow().summary().len();
        tracing::info!(scopes, "control machine: restored stored versions");
    }

    fn restore_version(&self, path: &Path) -> Result<(), RestoreError> {
        let bytes = std::fs::read(path).map_err(RestoreError::Io)?;
        let delta = Delta::from_json(&bytes).map_err(RestoreError::Delta)?;
        self.store.borrow_mut().merge(delta).map(drop).map_err(RestoreError::Delta)
    }

    /// Wakes the waiting polls of a scope that has a new version, and queues the version for writing.
    fn on_new_version(&self, scope: &str) {
        self.digest.set(None);
        self.waiting.borrow_mut().notify(scope);
        let store = self.store.borrow();
        if let (Some(writes), Some(folder), Some(current)) =
            (&self.writes, &self.state_folder, store.current(scope))
        {
            let path = folder.join(format!("{scope}.json"));
            if writes.try_send((path, current.full_delta().to_json())).is_err() {
                tracing::warn!(scope, "control machine: the write queue is full; the version is not stored");
            }
        }
    }

    /// Distributes a version that an operator published here, because a version that only one machine has is lost if
    /// that machine fails.
    /// Waits until all available machines have it, at most [`DISTRIBUTE_TIMEOUT`], and returns how many machines have
    /// it, including this one.
    pub(super) async fn distribute(&self, scope: &str, version: Version) -> usize {
        self.on_new_version(scope);
        let (done, acknowledged) = async_channel::bounded(self.peers.len().max(1));
        // Machines that are unavailable fetch the version later by their own polls.
        self.peers.iter().filter(|peer| peer.is_available()).for_each(|peer| peer.push(scope, done.clone()));
        drop(done);
        let (deadline, mut count) = (Instant::now() + DISTRIBUTE_TIMEOUT, 1);
        while count <= self.peers.len() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match timeout(remaining, acknowledged.recv()).await {
                Some(Ok(())) => count += 1,
                // All pushes have ended, or the time is over.
                Some(Err(_)) | None => break,
            }
        }
        tracing::info!(scope, %version, machines = count, "control machine: published version");
        count
    }

    /// Merges another machine's version. A newer one is stored and answers waiting polls.
    pub(super) fn merge(&self, delta: Delta, from: SocketAddr) -> Result<(), DeltaError> {
        let (scope, version) = (delta.scope.clone(), delta.version);
        let merged = self.store.borrow_mut().merge(delta)?;
        match merged {
            MergeOutcome::Unchanged => return Ok(()),
            MergeOutcome::Updated => {
                tracing::info!(scope, %version, %from, "control machine: received version");
            }
            MergeOutcome::Replaced(lost) => tracing::error!(
                scope, %version, %lost, %from,
                "control machine: two versions were published at once, and one is lost: publish again"
            ),
        }
        self.on_new_version(&scope);
        Ok(())
    }

    /// The digest over all versions, cached until a version changes.
    pub(super) fn digest(&self) -> u128 {
        let digest = self.digest.get().unwrap_or_else(|| self.store.borrow().digest());
        self.digest.set(Some(digest));
        digest
    }

    /// Removes expired followers and ended polls at every [`EXPIRE_INTERVAL`], without end.
    pub(super) async fn expire(self: Rc<Self>) {
        loop {
            Timer::after(EXPIRE_INTERVAL).await;
            self.store.borrow_mut().expire(self.clock.now());
            self.waiting.borrow_mut().prune();
        }
    }
}
