//! The file through which the version in force outlives the process: the snapshot as a control machine would send it, with
//! its digest. A file that is truncated, corrupt or of another service is ignored.

use super::host::SidecarHost;
use crate::handover;
use landingspread_control::{Follower, MAX_DELTA_BYTES, Version};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A sidecar's cached snapshot.
pub struct SnapshotCache {
    path: PathBuf,
    saved: Option<Version>,
    busy: Arc<AtomicBool>,
}

impl SnapshotCache {
    /// The file that is named, else one in the folder of the sidecar's state; none where there is neither.
    pub fn at(named: Option<&Path>, state: Option<&Path>, name: &str) -> Option<SnapshotCache> {
        let in_state = || state.map(|folder| folder.join(format!("{}.control", handover::plain(name))));
        let path = named.map(Path::to_path_buf).or_else(in_state)?;
        Some(SnapshotCache { path, saved: None, busy: Arc::default() })
    }

    /// Applies the cached snapshot, if it can be used.
    pub fn restore(&self, follower: &mut Follower, host: &mut SidecarHost) {
        let path = self.path.display();
        let mut bytes = Vec::new();
        let read = std::fs::File::open(&self.path)
            .and_then(|file| file.take(MAX_DELTA_BYTES as u64 + 1).read_to_end(&mut bytes));
        let restored = match read {
            Ok(_) => follower.restore(&bytes, host).map_err(|wrong| wrong.to_string()),
            Err(wrong) => Err(wrong.to_string()),
        };
        match restored {
            Ok(version) => tracing::info!(%version, "control: restored cached snapshot from {path}"),
            Err(wrong) => tracing::warn!("control: {path}: {wrong}; the file's configuration is in force"),
        }
    }

    /// Saves the snapshot in force, unless it is saved or a save is in progress; by a thread, as a slow disk must delay no
    /// request.
    pub fn save(&mut self, follower: &Follower) {
        let Some(holds) = follower.in_force() else { return };
        if self.saved == Some(holds.version()) || self.busy.swap(true, Ordering::AcqRel) {
            return;
        }
        self.saved = Some(holds.version());
        let (text, path, busy) = (holds.full_delta().to_json(), self.path.clone(), self.busy.clone());
        std::thread::spawn(move || {
            write(&path, text.as_bytes());
            busy.store(false, Ordering::Release);
        });
    }
}

/// Replaces the file at once, so that no reader finds a part of it.
pub fn write(path: &Path, bytes: &[u8]) {
    let aside = path.with_extension(format!("new{}", std::process::id()));
    if let Err(wrong) = std::fs::write(&aside, bytes).and_then(|()| std::fs::rename(&aside, path)) {
        tracing::warn!("{}: {wrong}", path.display());
    }
}

#[cfg(test)]
#[path = "snapshot_cache_tests.rs"]
mod tests;
