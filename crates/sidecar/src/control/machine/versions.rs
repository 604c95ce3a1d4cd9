//! The versions of a control machine: restored at the start, merged from other machines, stored and announced when they
//! change.

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

/// How long an operator waits at most until other machines have what was published.
const DISTRIBUTE_TIMEOUT: Duration = Duration::from_millis(800);
const EXPIRE_INTERVAL: Duration = Duration::from_secs(60);
/// Versions that wait to be written; past that the next start has to fetch them from other machines.
const MAX_PENDING_WRITES: usize = 4096;

/// A file to be written, with its text.
pub type Write = (PathBuf, String);

/// Why a stored version is not restored.
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

/// Files are written by a thread: a slow disk must not keep a version from the polls that wait for it.
pub fn spawn_writer() -> mpsc::SyncSender<Write> {
    let (send, receive) = mpsc::sync_channel::<Write>(MAX_PENDING_WRITES);
    std::thread::spawn(move || receive.iter().for_each(|(path, text)| write(&path, text.as_bytes())));
    send
}

impl Server {
    /// Restores what an earlier process stored; what was published since then is fetched from other machines.
    pub(super) fn restore(&self) {
        let Some(folder) = &self.state else { return };
        let _ = std::fs::create_dir_all(folder);
        let entries = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
        let mut paths: Vec<PathBuf> =
            entries.filter(|path| path.extension().is_some_and(|ending| ending == "json")).collect();
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

    /// A scope has a newer version: its polls are answered, and it is stored.
    fn on_new_version(&self, scope: &str) {
        self.digest.set(None);
        self.waiting.borrow_mut().notify(scope);
        let store = self.store.borrow();
        if let (Some(writes), Some(folder), Some(current)) = (&self.writes, &self.state, store.current(scope))
        {
            let path = folder.join(format!("{scope}.json"));
            if writes.try_send((path, current.full_delta().to_json())).is_err() {
                tracing::warn!(scope, "control machine: the disk is too slow: this version is not stored");
            }
        }
    }

    /// Announces an operator's version, made here. Returns how many machines have it, this one included, once all that
    /// are available have it or after a while: a version that only one machine has is lost with it.
    pub(super) async fn distribute(&self, scope: &str, version: Version) -> usize {
        self.on_new_version(scope);
        let (done, acknowledged) = async_channel::bounded(self.peers.len().max(1));
        // Machines that are not available find it by their own polls.
        self.peers.iter().filter(|peer| peer.is_available()).for_each(|peer| peer.push(scope, done.clone()));
        drop(done);
        let (deadline, mut count) = (Instant::now() + DISTRIBUTE_TIMEOUT, 1);
        while count <= self.peers.len() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match timeout(remaining, acknowledged.recv()).await {
                Some(Ok(())) => count += 1,
                // No machine is left that could acknowledge it, or the time is over.
                Some(Err(_)) | None => break,
            }
        }
        tracing::info!(scope, %version, machines = count, "control machine: published version");
        count
    }

    /// Merges another machine's version.
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

    /// The digest over all versions, cached until one changes.
    pub(super) fn digest(&self) -> u128 {
        let digest = self.digest.get().unwrap_or_else(|| self.store.borrow().digest());
        self.digest.set(Some(digest));
        digest
    }

    /// Forgets silent followers and polls that have ended, for ever.
    pub(super) async fn expire(self: Rc<Self>) {
        loop {
            Timer::after(EXPIRE_INTERVAL).await;
            self.store.borrow_mut().expire(self.clock.now());
            self.waiting.borrow_mut().prune();
        }
    }
}
