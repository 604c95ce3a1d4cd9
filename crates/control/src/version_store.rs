//! The control machine's side of the protocol: the versions of each scope, and which of them the followers have
//! acknowledged or refused. Owns the rule by which machines converge: the greater version wins, regardless of where it
//! was published. New versions result only from an operator's publication.

use crate::config::{ConfigError, Contents};
use crate::delta::{Delta, DeltaError, MAX_DELTA_BYTES, Snapshot};
use crate::poll::{Poll, ReportedRefusal};
use crate::scope_status::{FollowerStatus, ScopeStatus};
use crate::version::{Digest, Version};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

/// The maximum number of scopes on a machine.
pub const MAX_SCOPES: usize = 16 * 1024;
/// The number of versions of a scope that are stored as bases of deltas and as targets of rollbacks.
const MAX_HISTORY: usize = 16;
/// The maximum number of followers that are tracked in a scope. Beyond it the one with the oldest poll is dropped.
const MAX_FOLLOWERS: usize = 16 * 1024;
/// A follower whose last poll is older than this is dropped.
const FOLLOWER_EXPIRY: Duration = Duration::from_secs(3600);

/// The current version of each scope.
pub type VersionSummary = BTreeMap<String, Version>;

/// A follower's last poll.
struct LastPoll {
    at: Duration,
    acknowledged: Option<Version>,
    refused: Option<ReportedRefusal>,
}

#[derive(Default)]
struct Scope {
    /// The stored versions in order; the last one is current.
    history: VecDeque<Snapshot>,
    followers: BTreeMap<String, LastPoll>,
}

/// Why a publication or a rollback is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// The base differs from the current version, which is given here; `None` if the scope has no version.
    BaseMismatch(Option<Version>),
    /// The version to roll back to is not in the history.
    UnknownVersion(Version),
    /// The contents or the scope's name are invalid.
    Config(ConfigError),
    /// The message that would carry the version has this length in bytes, which is more than [`MAX_DELTA_BYTES`].
    TooLong(usize),
    /// The machine has [`MAX_SCOPES`] scopes already.
    TooManyScopes,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::BaseMismatch(None) => f.write_str("base: nothing was published here"),
            PublishError::BaseMismatch(Some(version)) => write!(f, "base: {version} holds here"),
            PublishError::UnknownVersion(version) => write!(f, "back: {version} is not kept here"),
            PublishError::Config(error) => error.fmt(f),
            PublishError::TooLong(length) => {
                write!(
                    f,
                    "body: the version has {length} bytes as a message, expected at most {MAX_DELTA_BYTES}"
                )
            }
            PublishError::TooManyScopes => {
                write!(f, "scope: there are {MAX_SCOPES} of them already")
            }
        }
    }
}

impl std::error::Error for PublishError {}

/// The outcome of merging another machine's version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The merged version is now current.
    Updated,
    /// The merged version replaced this one, which has the same number: the two were published concurrently.
    Replaced(Version),
    /// The current version is the same or newer, and stays.
    Unchanged,
}

/// The versions of all scopes that one control machine has.
#[derive(Default)]
pub struct VersionStore {
    scopes: BTreeMap<String, Scope>,
}

impl Scope {
    fn current(&self) -> Option<&Snapshot> {
        self.history.back()
    }

    fn push(&mut self, next: Snapshot) {
        self.history.push_back(next);
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn drop_oldest_follower(&mut self) {
        let oldest = self.followers.iter().min_by_key(|(_, poll)| poll.at).map(|(name, _)| name.clone());
        oldest.into_iter().for_each(|name| _ = self.followers.remove(&name));
    }
}

impl VersionStore {
    fn has_room_for(&self, scope: &str) -> bool {
        self.scopes.contains_key(scope) || self.scopes.len() < MAX_SCOPES
    }

    /// The current version of a scope.
    pub fn version(&self, scope: &str) -> Option<Version> {
        self.current(scope).map(Snapshot::version)
    }

    /// The current snapshot of a scope.
    pub fn current(&self, scope: &str) -> Option<&Snapshot> {
        self.scopes.get(scope)?.current()
    }

    /// Publishes an operator's contents in place of the current version, which must be `base`. `epoch` is the current
    /// Unix time in seconds, used if the scope has no version here.
    ///
    /// # Errors
    /// The publication is rejected, and the current version stays.
    pub fn publish(
        &mut self,
        scope: &str,
        base: Option<Version>,
        contents: Contents,
        epoch: u64,
    ) -> Result<Version, PublishError> {
        if !self.has_room_for(scope) {
            return Err(PublishError::TooManyScopes);
        }
        let current = self.version(scope);
        if base != current {
            return Err(PublishError::BaseMismatch(current));
        }
        // Followers may have acknowledged a version that was lost here. The new version must be newer than that one,
        // even if the clock is behind.
        let followers = self.scopes.get(scope).into_iter().flat_map(|known| known.followers.values());
        let acknowledged = followers.filter_map(|follower| follower.acknowledged);
        let min_epoch = acknowledged.map(|version| version.epoch.saturating_add(1)).max();
        let epoch = epoch.max(min_epoch.unwrap_or(0));
        let (epoch, number) =
            current.map_or((epoch, 1), |current| (current.epoch, current.number.saturating_add(1)));
        let next = Snapshot::new(scope, epoch, number, contents).map_err(PublishError::Config)?;
        // A longer version could be stored here, but neither sent to other machines and followers nor restored.
        let length = next.full_delta().to_json().len();
        if length > MAX_DELTA_BYTES {
            return Err(PublishError::TooLong(length));
        }
        let version = next.version();
        self.scopes.entry(scope.into()).or_default().push(next);
        Ok(version)
    }

    /// Publishes the contents of the stored version `target` as a new version in place of `base`.
    ///
    /// # Errors
    /// The publication is rejected, and the current version stays.
    pub fn roll_back(
        &mut self,
        scope: &str,
        base: Option<Version>,
        target: Version,
        epoch: u64,
    ) -> Result<Version, PublishError> {
        let mut stored = self.scopes.get(scope).into_iter().flat_map(|scope| &scope.history);
        let stored = stored.find(|snapshot| snapshot.version() == target);
        let contents = stored.map(|snapshot| snapshot.contents().clone());
        self.publish(scope, base, contents.ok_or(PublishError::UnknownVersion(target))?, epoch)
    }

    /// Merges a version from another machine or from this machine's disk. The greater version becomes current.
    ///
    /// # Errors
    /// The delta can't be applied, or there are too many scopes. Nothing changes then.
    pub fn merge(&mut self, delta: Delta) -> Result<MergeOutcome, DeltaError> {
        let scope = delta.scope.clone();
        if !self.has_room_for(&scope) {
            // A new scope beyond `MAX_SCOPES` is rejected like an unexpected one.
            return Err(DeltaError::WrongScope(scope));
        }
        let next = delta.apply(&scope, self.current(&scope))?;
        let current = self.version(&scope);
        if current >= Some(next.version()) {
            return Ok(MergeOutcome::Unchanged);
        }
        let has_same_number =
            |known: &Version| (known.epoch, known.number) == (next.version().epoch, next.version().number);
        let replaced = current.filter(has_same_number);
        self.scopes.entry(scope).or_default().push(next);
        Ok(replaced.map_or(MergeOutcome::Updated, MergeOutcome::Replaced))
    }

    /// The answer to a poll: a delta to the version that the follower acknowledged, if one fits into a message, or else a
    /// snapshot; `None` if the follower needs no update.
    pub fn delta_for(&self, poll: &Poll) -> Option<Delta> {
        let scope = self.scopes.get(&poll.scope)?;
        let current = scope.current()?;
        let refused = poll.refused.as_ref().map(|refused| refused.version);
        let version = current.version();
        // A follower that refused a newer version ignores this one: sending it would only make it poll again.
        if poll.acknowledged == Some(version) || refused >= Some(version) {
            return None;
        }
        let is_base = |known: &&Snapshot| Some(known.version()) == poll.acknowledged && !poll.wants_snapshot;
        let base = scope.history.iter().find(is_base);
        // A delta names removed keys beside the new ones, so it can be longer than the snapshot.
        let delta = base.map(|base| current.delta_since(base)).filter(Delta::fits_message);
        Some(delta.unwrap_or_else(|| current.full_delta()))
    }

    /// Records the acknowledgement and the refusal that a poll reports.
    pub fn record_poll(&mut self, now: Duration, poll: &Poll) {
        if !self.has_room_for(&poll.scope) {
            return;
        }
        let scope = self.scopes.entry(poll.scope.clone()).or_default();
        if scope.followers.len() >= MAX_FOLLOWERS && !scope.followers.contains_key(&poll.name) {
            scope.drop_oldest_follower();
        }
        let last = LastPoll { at: now, acknowledged: poll.acknowledged, refused: poll.refused.clone() };
        scope.followers.insert(poll.name.clone(), last);
    }

    /// Whether the last poll of the follower `name` reported a refusal of this version.
    pub fn has_refused(&self, scope: &str, name: &str, version: Version) -> bool {
        let follower = self.scopes.get(scope).and_then(|scope| scope.followers.get(name));
        let refused = follower.and_then(|follower| follower.refused.as_ref());
        refused.is_some_and(|refused| refused.version == version)
    }

    /// Drops followers that have not polled for an hour, and unpublished scopes without followers.
    pub fn expire(&mut self, now: Duration) {
        for scope in self.scopes.values_mut() {
            scope.followers.retain(|_, follower| now < follower.at + FOLLOWER_EXPIRY);
        }
        self.scopes.retain(|_, scope| !scope.history.is_empty() || !scope.followers.is_empty());
    }

    /// The status of a scope; `None` if it was neither published nor polled on this machine.
    pub fn scope_status(&self, now: Duration, scope: &str) -> Option<ScopeStatus> {
        let known = self.scopes.get(scope)?;
        let status = |follower: &LastPoll| FollowerStatus {
            acknowledged: follower.acknowledged,
            refused: follower.refused.clone(),
            age_ms: now.saturating_sub(follower.at).as_millis() as u64,
        };
        let followers = known.followers.iter().map(|(name, follower)| (name.clone(), status(follower)));
        Some(ScopeStatus {
            scope: scope.into(),
            version: known.current().map(Snapshot::version),
            contents: known.current().map(|current| current.contents().clone()).unwrap_or_default(),
            history: known.history.iter().map(Snapshot::version).collect(),
            followers: followers.collect(),
        })
    }

    /// The current version of each scope that has one.
    pub fn summary(&self) -> VersionSummary {
        let version = |(name, scope): (&String, &Scope)| Some((name.clone(), scope.current()?.version()));
        self.scopes.iter().filter_map(version).collect()
    }

    /// A digest over the summary. Machines with the same digest have the same versions.
    pub fn digest(&self) -> u128 {
        let mut digest = Digest::new();
        for (name, version) in self.summary() {
            digest.add(name.as_bytes());
            digest.add(version.to_string().as_bytes());
        }
        digest.value()
    }

    /// The scopes for which another machine's summary has a newer version.
    pub fn outdated_scopes(&self, other: &VersionSummary) -> Vec<String> {
        let is_newer = |(name, version): &(&String, &Version)| self.version(name) < Some(**version);
        other.iter().filter(is_newer).map(|(name, _)| name.clone()).take(MAX_SCOPES).collect()
    }
}
