//! The file through which what was learnt of endpoints outlives the process. It owns the file's form; what carries over
//! is the module's to say. A file that is old or can't be read is passed over: all then starts afresh.

use super::legacy_fingerprint;
use super::settings_fingerprint::settings_fingerprint;
use crate::clock::Clock;
use crate::configuration::Configuration;
use landingspread_decisions::host::Id;
use landingspread_decisions::statistics::ServerStatistics;
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

/// Later than this the endpoints' figures say little.
const FRESH_FOR: Duration = Duration::from_secs(60);
pub const SAVE_FIRST: Duration = Duration::from_secs(1);
/// A sidecar that is killed outright loses no more than this.
pub const SAVE_EVERY: Duration = Duration::from_secs(5);

/// Another form of the file would have another.
const VERSION: u32 = 2;
/// A longer file is none of ours: some 60,000 servers.
const LONGEST: u64 = 8 << 20;

#[derive(Serialize, Deserialize)]
struct Saved {
    version: u32,
    /// Another deployment's servers may have the same ids.
    deployment: String,
    /// The fingerprint of named settings; files of earlier releases have none.
    #[serde(default)]
    settings: Option<String>,
    saved_unix_ms: u64,
    servers: Vec<Server>,
    /// Ids that lists have told of: operators may still name those that are gone.
    #[serde(default)]
    named: Vec<String>,
}

/// What an earlier process left.
#[derive(Default)]
pub struct Before {
    pub learnt: Vec<ServerStatistics>,
    pub named: Vec<Id>,
}

#[derive(Serialize, Deserialize)]
struct Server {
    id: String,
    started_unix_ms: u64,
    slowness: f64,
    marked: bool,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// What tells one deployment from another: the tier that is sent to, its verbs, and all that is set of them, of tenants and
/// of limits. How many copies there are changes within one, and so does discovery's address, by SIGHUP.
#[derive(Clone)]
pub struct Deployment {
    /// As earlier releases wrote it, which read this one's file after a downgrade.
    legacy: String,
    settings: String,
}

pub fn deployment(launch: &Configuration) -> Deployment {
    let (legacy, settings) = (legacy_fingerprint::deployment(launch), settings_fingerprint(launch));
    Deployment { legacy, settings }
}

impl Deployment {
    /// A file of an earlier release has no fingerprint of named settings: there the legacy one decides.
    fn wrote(&self, saved: &Saved) -> bool {
        match &saved.settings {
            Some(settings) => *settings == self.settings,
            None => saved.deployment == self.legacy,
        }
    }
}

fn usable(path: &Path, deployment: &Deployment) -> Result<Saved, String> {
    let mut text = Vec::new();
    let file = std::fs::File::open(path).map_err(|wrong| wrong.to_string())?;
    file.take(LONGEST + 1).read_to_end(&mut text).map_err(|wrong| wrong.to_string())?;
    if text.len() as u64 > LONGEST {
        return Err(format!("it is longer than {LONGEST} bytes"));
    }
    let saved: Saved = serde_json::from_slice(&text).map_err(|wrong| wrong.to_string())?;
    if saved.version != VERSION {
        return Err(format!("version: {} is not {VERSION}", saved.version));
    }
    if !deployment.wrote(&saved) {
        return Err(format!("deployment: {:?} is not {:?}", saved.deployment, deployment.legacy));
    }
    // One from the future was written by another clock.
    if unix_ms().abs_diff(saved.saved_unix_ms) > FRESH_FOR.as_millis() as u64 {
        return Err(format!("saved_unix_ms: {} lies more than {FRESH_FOR:?} away", saved.saved_unix_ms));
    }
    Ok(saved)
}

pub fn read(path: &Path, deployment: &Deployment, clock: &Clock) -> Before {
    let saved = match usable(path, deployment) {
        Ok(saved) => saved,
        Err(why) => {
            tracing::warn!("{}: {why}; endpoints start afresh", path.display());
            return Before::default();
        }
    };
    let learnt = |server: Server| ServerStatistics {
        started_at: clock.at_unix_ms(server.started_unix_ms),
        server: server.id.into(),
        slowness: server.slowness,
        ejected: server.marked,
    };
    let named = saved.named.into_iter().map(Id::from).collect();
    Before { learnt: saved.servers.into_iter().map(learnt).collect(), named }
}

/// Writes one file at a time: where a disk hangs, the next ones are not written.
pub struct Saving {
    busy: Arc<AtomicBool>,
    deployment: Deployment,
}

impl Saving {
    pub fn of(deployment: Deployment) -> Saving {
        Saving { busy: Arc::default(), deployment }
    }

    /// Written aside and then named, so that no reader finds a half, by a thread: a slow disk holds up no command.
    pub fn save(&self, path: PathBuf, learnt: &[ServerStatistics], named: Vec<String>, clock: &Clock) {
        if self.busy.swap(true, Ordering::AcqRel) {
            return;
        }
        let saved = saved(&self.deployment, learnt, named, clock);
        let busy = self.busy.clone();
        std::thread::spawn(move || {
            let aside = path.with_extension("new");
            let written = serde_json::to_vec(&saved).map_err(std::io::Error::other);
            let written = written.and_then(|text| std::fs::write(&aside, text));
            if let Err(wrong) = written.and_then(|()| std::fs::rename(&aside, &path)) {
                tracing::warn!("{}: {wrong}", path.display());
            }
            busy.store(false, Ordering::Release);
        });
    }
}

fn saved(deployment: &Deployment, learnt: &[ServerStatistics], named: Vec<String>, clock: &Clock) -> Saved {
    let server = |one: &ServerStatistics| Server {
        id: one.server.to_string(),
        started_unix_ms: one.started_at.map_or(0, |at| clock.unix_ms(at)),
        slowness: one.slowness,
        marked: one.ejected,
    };
    Saved {
        version: VERSION,
        deployment: deployment.legacy.clone(),
        settings: Some(deployment.settings.clone()),
        saved_unix_ms: unix_ms(),
        servers: learnt.iter().map(server).collect(),
        named,
    }
}

#[cfg(test)]
#[path = "statistics_file_tests.rs"]
mod tests;
