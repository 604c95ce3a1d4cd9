//! The file that preserves the version in force across restarts: the snapshot as a control machine sends it, with its
//! digest. A file that is truncated, corrupt or of another service is ignored.

use super::host::SidecarHost;
use crate::storage::{self, BackgroundWriter, TemporaryName};
use landingspread_control::{Follower, MAX_DELTA_BYTES, Version};
use std::path::{Path, PathBuf};

/// The file with a sidecar's cached snapshot.
pub struct SnapshotCache {
    path: PathBuf,
    saved_version: Option<Version>,
    writer: BackgroundWriter,
}

impl SnapshotCache {
    /// The cache in the configured file, or else in a file of the state folder that is named after the sidecar. `None`
    /// if neither is configured.
    pub fn at(
        configured_file: Option<&Path>,
        state_folder: Option<&Path>,
        name: &str,
    ) -> Option<SnapshotCache> {
        let in_state_folder =
            || state_folder.map(|folder| folder.join(format!("{}.control", storage::file_name_of(name))));
        let path = configured_file.map(Path::to_path_buf).or_else(in_state_folder)?;
        Some(SnapshotCache { path, saved_version: None, writer: BackgroundWriter::default() })
    }

    /// Applies the cached snapshot if it can be read and the host accepts it.
    pub fn restore(&self, follower: &mut Follower, host: &mut SidecarHost) {
        let path = self.path.display();
        // One byte beyond the maximum, so that the follower detects and refuses a file that is too long.
        let restored = match storage::read_prefix(&self.path, MAX_DELTA_BYTES as u64 + 1) {
            Ok(bytes) => follower.restore(&bytes, host).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match restored {
            Ok(version) => tracing::info!(%version, "control: restored cached snapshot from {path}"),
            Err(error) => tracing::warn!(
                "control: cached snapshot {path} not restored: {error}; the file's configuration is in force"
            ),
        }
    }

    /// Saves the snapshot in force unless it is saved already or a save is in progress. Runs on a separate thread,
    /// because a slow disk must not delay requests.
    pub fn save(&mut self, follower: &Follower) {
        let Some(in_force) = follower.in_force() else { return };
        if self.saved_version == Some(in_force.version()) {
            return;
        }
        let Some(permit) = self.writer.permit() else { return };
        self.saved_version = Some(in_force.version());
        let (text, path) = (in_force.full_delta().to_json(), self.path.clone());
        permit.spawn(move || write(&path, text.as_bytes()));
    }
}

/// Replaces the file atomically, so that a reader never finds partial contents.
pub fn write(path: &Path, bytes: &[u8]) {
    if let Err(error) = storage::replace(path, TemporaryName::ExtensionOfProcess, bytes) {
        tracing::warn!("control: {} not written: {error}", path.display());
    }
}

#[cfg(test)]
#[path = "snapshot_cache_tests.rs"]
mod tests;
