//! The file through which the last good version outlives the process: the snapshot as a machine would tell it, digest and
//! all. One that is cut, garbled, or of another service is passed over.

use super::host::SidecarHost;
use crate::handover;
use landingspread_control::{Follower, MAX_DELTA_BYTES, Version};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

pub struct Kept {
    path: PathBuf,
    saved: Option<Version>,
    busy: Arc<AtomicBool>,
}

impl Kept {
    /// In the folder of the sidecar's state where no file is named; none where there is neither.
    pub fn at(named: Option<&Path>, state: Option<&Path>, name: &str) -> Option<Kept> {
        let in_state = || state.map(|folder| folder.join(format!("{}.control", handover::plain(name))));
        let path = named.map(Path::to_path_buf).or_else(in_state)?;
        Some(Kept { path, saved: None, busy: Arc::default() })
    }

    pub fn recall(&self, follower: &mut Follower, hand: &mut SidecarHost) {
        let path = self.path.display();
        let mut bytes = Vec::new();
        let read = std::fs::File::open(&self.path)
            .and_then(|file| file.take(MAX_DELTA_BYTES as u64 + 1).read_to_end(&mut bytes));
        let recalled = match read {
            Ok(_) => follower.restore(&bytes, hand).map_err(|wrong| wrong.to_string()),
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

/// Written aside and then named, so that no reader finds a half.
pub fn write(path: &Path, bytes: &[u8]) {
    let aside = path.with_extension(format!("new{}", std::process::id()));
    if let Err(wrong) = std::fs::write(&aside, bytes).and_then(|()| std::fs::rename(&aside, path)) {
        tracing::warn!("{}: {wrong}", path.display());
    }
}

#[cfg(test)]
#[path = "kept_tests.rs"]
mod tests;
