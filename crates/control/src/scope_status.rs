//! How a scope stands: its version, and which followers have acknowledged or refused it. Machines exchange it as JSON to
//! answer operators together.

use crate::config::Contents;
use crate::poll::ReportedRefusal;
use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A follower that has not polled for this long is silent.
const SILENT_AFTER: Duration = Duration::from_secs(20);

/// One sidecar, as a control machine knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// The version that it acknowledged last.
    #[serde(rename = "have")]
    pub acknowledged: Option<Version>,
    /// Its last refusal since then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<ReportedRefusal>,
    /// Milliseconds since its last poll.
    pub age_ms: u64,
}

/// A follower that has neither acknowledged nor refused the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaggingFollower<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether it has stopped polling.
    pub silent: bool,
}

/// How a scope stands, as one machine or several together know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeStatus {
    /// The service.
    pub scope: String,
    /// The current version.
    pub version: Option<Version>,
    /// Its contents.
    pub contents: Contents,
    /// The versions that can be rolled back to, the newest last.
    #[serde(rename = "kept")]
    pub history: Vec<Version>,
    /// Its followers by name.
    pub followers: BTreeMap<String, FollowerStatus>,
}

impl ScopeStatus {
    /// Merges what another machine knows of the followers: of each one the status that is younger.
    pub fn merge(&mut self, other: ScopeStatus) {
        for (name, status) in other.followers {
            let younger = self.followers.get(&name).is_none_or(|known| status.age_ms < known.age_ms);
            if younger {
                self.followers.insert(name, status);
            }
        }
    }

    /// How many followers have acknowledged the current version, or a newer one.
    pub fn acknowledged(&self) -> usize {
        let is_current = |follower: &&FollowerStatus| follower.acknowledged >= self.version;
        self.followers.values().filter(is_current).count()
    }

    /// The followers that refused the current version, with the reason of each.
    pub fn refusals(&self) -> impl Iterator<Item = (&String, &String)> {
        self.followers.iter().filter_map(|(name, follower)| {
            let refused = follower.refused.as_ref()?;
            (Some(refused.version) == self.version).then_some((name, &refused.reason))
        })
    }

    /// The followers that have neither acknowledged nor refused the current version.
    pub fn lagging(&self) -> impl Iterator<Item = LaggingFollower<'_>> {
        let lags = |follower: &FollowerStatus| {
            let refused = follower.refused.as_ref().map(|refused| refused.version);
            follower.acknowledged < self.version && refused != self.version
        };
        let lagging = self.followers.iter().filter(move |(_, follower)| lags(follower));
        lagging.map(|(name, follower)| {
            let silent = follower.age_ms > SILENT_AFTER.as_millis() as u64;
            LaggingFollower { name, silent }
        })
    }
}
