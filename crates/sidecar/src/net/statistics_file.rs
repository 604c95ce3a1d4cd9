//! The file that preserves server statistics across a restart of the process.
//!
//! This module owns the file format; the decision engine chooses which statistics it restores. A file that is too old,
//! belongs to another deployment or cannot be read is ignored, and the servers start without statistics.

use super::legacy_fingerprint;
use super::settings_fingerprint::settings_fingerprint;
use crate::clock::{Clock, unix_ms};
use crate::configuration::Configuration;
use crate::storage::{self, BackgroundWriter, StorageError, TemporaryName};
use landingspread_decisions::host::Id;
use landingspread_decisions::statistics::ServerStatistics;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The maximum age of a file that is used: older statistics say little about the servers' present state.
const MAX_STATISTICS_AGE: Duration = Duration::from_secs(60);
/// The time from the start of the process until the first save.
pub const FIRST_SAVE_AFTER: Duration = Duration::from_secs(1);
/// The time between saves, and the most that is lost when the process is killed.
pub const SAVE_INTERVAL: Duration = Duration::from_secs(5);

/// The version of the file format.
const VERSION: u32 = 2;
/// The largest file that is read, enough for about 60,000 servers. A larger file was not written by this program.
const MAX_FILE_BYTES: u64 = 8 << 20;

/// The content of the statistics file.
#[derive(Serialize, Deserialize)]
struct StatisticsFile {
    version: u32,
    /// The fingerprint that earlier releases check. Servers of another deployment may have the same ids.
    deployment: String,
    /// The fingerprint of named settings; None in files of earlier releases.
    #[serde(default)]
    settings: Option<String>,
    saved_unix_ms: u64,
    servers: Vec<StoredServer>,
    /// Server ids from endpoint lists: operators may still refer to servers that have been removed.
    #[serde(rename = "named", default)]
    known_ids: Vec<String>,
}

#[derive(Serialize, Deserialize)]
struct StoredServer {
    id: String,
    started_unix_ms: u64,
    slowness: f64,
    #[serde(rename = "marked")]
    ejected: bool,
}

/// The state that an earlier process saved.
#[derive(Default)]
pub struct RestoredState {
    pub statistics: Vec<ServerStatistics>,
    pub known_ids: Vec<Id>,
}

/// Identifies a deployment by its tier, its request classes and all settings of request classes, tenants and limits.
/// The number of replicas is left out, as it changes within a deployment, and so is the address of discovery, which
/// SIGHUP changes.
#[derive(Clone)]
pub struct Deployment {
    /// The fingerprint of earlier releases, so that they can read this release's file after a downgrade.
    legacy: String,
    settings: String,
}

impl Deployment {
    /// The deployment that a configuration describes.
    pub fn of(configuration: &Configuration) -> Deployment {
        Deployment {
            legacy: legacy_fingerprint::deployment(configuration),
            settings: settings_fingerprint(configuration),
        }
    }

    /// Whether this deployment wrote the file. Files of earlier releases have no fingerprint of named settings, so the
    /// legacy fingerprint decides for them.
    fn matches(&self, file: &StatisticsFile) -> bool {
        match &file.settings {
            Some(settings) => *settings == self.settings,
            None => file.deployment == self.legacy,
        }
    }
}

/// Why a file is ignored.
#[derive(Debug)]
enum UnusableFile {
    Storage(StorageError),
    NotJson(serde_json::Error),
    Version(u32),
    OtherDeployment { found: String, own: String },
    Stale { saved_unix_ms: u64 },
}

impl fmt::Display for UnusableFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnusableFile::Storage(error) => error.fmt(f),
            UnusableFile::NotJson(error) => error.fmt(f),
            UnusableFile::Version(version) => write!(f, "version: {version} is not {VERSION}"),
            UnusableFile::OtherDeployment { found, own } => write!(f, "deployment: {found:?} is not {own:?}"),
            UnusableFile::Stale { saved_unix_ms } => {
                write!(
                    f,
                    "saved_unix_ms: {saved_unix_ms} differs from the clock by more than {MAX_STATISTICS_AGE:?}"
                )
            }
        }
    }
}

fn read_usable(path: &Path, deployment: &Deployment) -> Result<StatisticsFile, UnusableFile> {
    let bytes = storage::read_within(path, MAX_FILE_BYTES).map_err(UnusableFile::Storage)?;
    let file: StatisticsFile = serde_json::from_slice(&bytes).map_err(UnusableFile::NotJson)?;
    if file.version != VERSION {
        return Err(UnusableFile::Version(file.version));
    }
    if !deployment.matches(&file) {
        return Err(UnusableFile::OtherDeployment { found: file.deployment, own: deployment.legacy.clone() });
    }
    // A file from the future was written by another clock and is ignored too.
    if unix_ms().abs_diff(file.saved_unix_ms) > MAX_STATISTICS_AGE.as_millis() as u64 {
        return Err(UnusableFile::Stale { saved_unix_ms: file.saved_unix_ms });
    }
    Ok(file)
}

/// Reads the state that an earlier process of this deployment saved. Returns an empty state if the file cannot be used,
/// which is logged.
pub fn restore(path: &Path, deployment: &Deployment, clock: &Clock) -> RestoredState {
    let file = match read_usable(path, deployment) {
        Ok(file) => file,
        Err(error) => {
            tracing::warn!("{}: {error}; servers start without statistics", path.display());
            return RestoredState::default();
        }
    };
    let statistics = |server: StoredServer| ServerStatistics {
        started_at: clock.at_unix_ms(server.started_unix_ms),
        server: server.id.into(),
        slowness: server.slowness,
        ejected: server.ejected,
    };
    RestoredState {
        statistics: file.servers.into_iter().map(statistics).collect(),
        known_ids: file.known_ids.into_iter().map(Id::from).collect(),
    }
}

/// Writes the file in the background, one write at a time.
pub struct StatisticsWriter {
    writer: BackgroundWriter,
    deployment: Deployment,
}

impl StatisticsWriter {
    /// Creates a writer for this deployment's file.
    pub fn new(deployment: Deployment) -> StatisticsWriter {
        StatisticsWriter { writer: BackgroundWriter::default(), deployment }
    }

    /// Writes the file on another thread, unless an earlier write is still in progress.
    pub fn save(
        &self,
        path: PathBuf,
        statistics: &[ServerStatistics],
        known_ids: Vec<String>,
        clock: &Clock,
    ) {
        let Some(permit) = self.writer.permit() else { return };
        let file = build_file(&self.deployment, statistics, known_ids, clock);
        permit.spawn(move || {
            let written = serde_json::to_vec(&file).map_err(std::io::Error::other);
            let written = written.and_then(|text| storage::replace(&path, TemporaryName::Extension, &text));
            if let Err(error) = written {
                tracing::warn!("{}: {error}", path.display());
            }
        });
    }
}

fn build_file(
    deployment: &Deployment,
    statistics: &[ServerStatistics],
    known_ids: Vec<String>,
    clock: &Clock,
) -> StatisticsFile {
    let server = |statistics: &ServerStatistics| StoredServer {
        id: statistics.server.to_string(),
        started_unix_ms: statistics.started_at.map_or(0, |at| clock.unix_ms(at)),
        slowness: statistics.slowness,
        ejected: statistics.ejected,
    };
    StatisticsFile {
        version: VERSION,
        deployment: deployment.legacy.clone(),
        settings: Some(deployment.settings.clone()),
        saved_unix_ms: unix_ms(),
        servers: statistics.iter().map(server).collect(),
        known_ids,
    }
}

#[cfg(test)]
#[path = "statistics_file_tests.rs"]
mod tests;
