//! The status of a scope: its version, and which followers have acknowledged or refused it. Machines exchange it as
//! JSON to combine what each of them knows for an operator.

use crate::config::Contents;
use crate::poll::ReportedRefusal;
use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A follower whose last poll is older than this is reported as silent.
const SILENT_AFTER: Duration = Duration::from_secs(20);

/// The status of one sidecar as a control machine knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// The version that the sidecar acknowledged last.
    #[serde(rename = "have")]
    pub acknowledged: Option<Version>,
    /// The sidecar's last refusal since the acknowledged version came into force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<ReportedRefusal>,
    /// Milliseconds since the sidecar's last poll.
    pub age_ms: u64,
}

/// A follower that has neither acknowledged nor refused the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaggingFollower<'a> {
    /// The name of the sidecar.
    pub name: &'a str,
    /// Whether the follower's last poll is too old, so that it may no longer run.
    pub silent: bool,
}

/// The status of a scope as one machine knows it, or as merged from several machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeStatus {
    /// The name of the scope.
    pub scope: String,
    /// The current version; `None` if nothing was published.
    pub version: Option<Version>,
    /// The contents of the current version.
    pub contents: Contents,
    /// The versions that can be rolled back to, newest last.
    #[serde(rename = "kept")]
    pub history: Vec<Version>,
    /// The followers by name.
    pub followers: BTreeMap<String, FollowerStatus>,
}

impl ScopeStatus {
    /// Merges the followers of another machine's status. For each follower the more recent status is kept.
    pub fn merge(&mut self, other: ScopeStatus) {
        for (name, status) in other.followers {
            let is_newer = self.followers.get(&name).is_none_or(|known| status.age_ms < known.age_ms);
            if is_newer {
                self.followers.insert(name, status);
            }
        }
    }

    /// The number of followers that have acknowledged the current version or a newer one.
    pub fn acknowledged(&self) -> usize {
        let is_current = |follower: &&FollowerStatus| follower.acknowledged >= self.version;
        self.followers.values().filter(is_current).count()
    }

    /// The names of the followers that refused the current version, with their reasons.
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
