//! The file through which the version in force outlives the process: the snapshot as a control machine would send it, with
//! its digest. A file that is truncated, corrupt or of another service is ignored.

use super::host::SidecarHost;
use crate::storage::{self, BackgroundWriter, TemporaryName};
use landingspread_control::{Follower, MAX_DELTA_BYTES, Version};
use std::path::{Path, PathBuf};

/// A sidecar's cached snapshot.
pub struct SnapshotCache {
    path: PathBuf,
    saved: Option<Version>,
    writer: BackgroundWriter,
}

impl SnapshotCache {
    /// The file that is named, else one in the folder of the sidecar's state; none where there is neither.
    pub fn at(named: Option<&Path>, state: Option<&Path>, name: &str) -> Option<SnapshotCache> {
        let in_state = || state.map(|folder| folder.join(format!("{}.control", storage::file_name_of(name))));
        let path = named.map(Path::to_path_buf).or_else(in_state)?;
        Some(SnapshotCache { path, saved: None, writer: BackgroundWriter::default() })
    }

    /// Applies the cached snapshot, if it can be used.
    pub fn restore(&self, follower: &mut Follower, host: &mut SidecarHost) {
        let path = self.path.display();
        // One byte more than a snapshot may have: the follower refuses what is too long.
        let restored = match storage::read_prefix(&self.path, MAX_DELTA_BYTES as u64 + 1) {
            Ok(bytes) => follower.restore(&bytes, host).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match restored {
            Ok(version) => tracing::info!(%version, "control: restored cached snapshot from {path}"),
            Err(error) => tracing::warn!("control: {path}: {error}; the file's configuration is in force"),
        }
    }

    /// Saves the snapshot in force, unless it is saved or a save is in progress; by a thread, as a slow disk must delay no
    /// request.
    pub fn save(&mut self, follower: &Follower) {
        let Some(in_force) = follower.in_force() else { return };
        if self.saved == Some(in_force.version()) {
            return;
        }
        let Some(permit) = self.writer.permit() else { return };
        self.saved = Some(in_force.version());
        let (text, path) = (in_force.full_delta().to_json(), self.path.clone());
        permit.spawn(move || write(&path, text.as_bytes()));
    }
}

/// Replaces the file at once, so that no reader finds a part of it.
pub fn write(path: &Path, bytes: &[u8]) {
    if let Err(error) = storage::replace(path, TemporaryName::ExtensionOfProcess, bytes) {
        tracing::warn!("{}: {error}", path.display());
    }
}

#[cfg(test)]
#[path = "snapshot_cache_tests.rs"]
mod tests;
