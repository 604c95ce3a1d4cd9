//! The file through which the last good version outlives the process: the snapshot as a machine would tell it, digest and
//! all. One that is cut, garbled, or of another service is passed over.

use super::Hand;
use crate::storage::{self, BackgroundWriter, TemporaryName};
use landingspread_control::{CHANGE_MOST, Follower, Version};
use std::path::{Path, PathBuf};

pub struct Kept {
    path: PathBuf,
    saved: Option<Version>,
    writer: BackgroundWriter,
}

impl Kept {
    /// In the folder of the sidecar's state where no file is named; none where there is neither.
    pub fn at(named: Option<&Path>, state: Option<&Path>, name: &str) -> Option<Kept> {
        let in_state = || state.map(|folder| folder.join(format!("{}.control", storage::file_name_of(name))));
        let path = named.map(Path::to_path_buf).or_else(in_state)?;
        Some(Kept { path, saved: None, writer: BackgroundWriter::default() })
    }

    pub fn recall(&self, follower: &mut Follower, hand: &mut Hand) {
        let path = self.path.display();
        // One byte more than a snapshot may have: the follower refuses what is too long.
        let recalled = match storage::read_prefix(&self.path, CHANGE_MOST as u64 + 1) {
            Ok(bytes) => follower.recall(&bytes, hand),
            Err(wrong) => Err(wrong.to_string()),
        };
        match recalled {
            Ok(version) => tracing::info!(%version, "control: in force as it was kept in {path}"),
            Err(wrong) => tracing::warn!("control: {path}: {wrong}; the file's configuration is in force"),
        }
    }

    /// What is in force, if it is not written already or just now; by a thread, as a slow disk must hold up no command.
    pub fn save(&mut self, follower: &Follower) {
        let Some(holds) = follower.in_force() else { return };
        if self.saved == Some(holds.version()) {
            return;
        }
        let Some(permit) = self.writer.permit() else { return };
        self.saved = Some(holds.version());
        let (text, path) = (holds.whole().text(), self.path.clone());
        permit.spawn(move || write(&path, text.as_bytes()));
    }
}

/// Written aside and then named, so that no reader finds a half.
pub fn write(path: &Path, bytes: &[u8]) {
    if let Err(wrong) = storage::replace(path, TemporaryName::ExtensionOfProcess, bytes) {
        tracing::warn!("{}: {wrong}", path.display());
    }
}

#[cfg(test)]
#[path = "kept_tests.rs"]
mod tests;
