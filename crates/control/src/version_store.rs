//! A control machine's side of the exchange: the versions of each scope, and which follower has acknowledged or refused
//! which. It owns the rule by which machines agree (the greater version wins, wherever it was published). A version
//! without a base comes into being only where an operator publishes one.

use crate::config::{ConfigError, Contents};
use crate::delta::{Delta, DeltaError, Snapshot};
use crate::poll::{Poll, ReportedRefusal};
use crate::scope_status::{FollowerStatus, ScopeStatus};
use crate::version::{Digest, Version};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

/// Scopes of one machine.
pub const MAX_SCOPES: usize = 16 * 1024;
/// Versions of a scope that are stored, as bases of deltas and to roll back to.
const MAX_HISTORY: usize = 16;
/// Followers of a scope that are remembered. Past that the one that was silent for longest is forgotten.
const MAX_FOLLOWERS: usize = 16 * 1024;
/// A follower that has not polled for this long is forgotten.
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
    /// The last one is current.
    history: VecDeque<Snapshot>,
    followers: BTreeMap<String, LastPoll>,
}

/// Why a version is not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// The base is not the current version, which is this one.
    BaseMismatch(Option<Version>),
    /// The version to roll back to is not stored.
    UnknownVersion(Version),
    /// The contents or the scope's name are out of bounds.
    Config(ConfigError),
    /// There are [`MAX_SCOPES`] scopes already.
    TooManyScopes,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::BaseMismatch(None) => f.write_str("base: nothing was published here"),
            PublishError::BaseMismatch(Some(version)) => write!(f, "base: {version} holds here"),
            PublishError::UnknownVersion(version) => write!(f, "back: {version} is not kept here"),
            PublishError::Config(error) => error.fmt(f),
            PublishError::TooManyScopes => write!(f, "scope: there are {MAX_SCOPES} of them already"),
        }
    }
}

impl std::error::Error for PublishError {}

/// What merging another machine's version led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is the current version now.
    Updated,
    /// It is the current version now, in place of this one with the same number: two were published concurrently.
    Replaced(Version),
    /// The version that is here is newer, or the same.
    Unchanged,
}

/// The versions of all scopes, as one control machine has them.
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

    fn forget_oldest_follower(&mut self) {
        let oldest = self.followers.iter().min_by_key(|(_, poll)| poll.at).map(|(name, _)| name.clone());
        oldest.into_iter().for_each(|name| _ = self.followers.remove(&name));
    }
}

impl VersionStore {
    fn has_room(&self, scope: &str) -> bool {
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

    /// Publishes an operator's contents in place of the current version, which has to be `base`. `epoch` is for a scope
    /// that was never published here: the current seconds of Unix time.
    ///
    /// # Errors
    /// Nothing is published then.
    pub fn publish(
        &mut self,
        scope: &str,
        base: Option<Version>,
        contents: Contents,
        epoch: u64,
    ) -> Result<Version, PublishError> {
        if !self.has_room(scope) {
            return Err(PublishError::TooManyScopes);
        }
        let current = self.version(scope);
        if base != current {
            return Err(PublishError::BaseMismatch(current));
        }
        // Followers may have acknowledged a version that was lost here: whatever the clock says, the new one is newer.
        let followers = self.scopes.get(scope).into_iter().flat_map(|known| known.followers.values());
        let acknowledged = followers.filter_map(|follower| follower.acknowledged);
        let lost = acknowledged.map(|version| version.epoch.saturating_add(1)).max();
        let epoch = epoch.max(lost.unwrap_or(0));
        let (epoch, number) =
            current.map_or((epoch, 1), |current| (current.epoch, current.number.saturating_add(1)));
        let next = Snapshot::new(scope, epoch, number, contents).map_err(PublishError::Config)?;
        let version = next.version();
        self.scopes.entry(scope.into()).or_default().push(next);
        Ok(version)
    }

    /// Publishes the contents of the stored version `target` as a new version in place of `base`.
    ///
    /// # Errors
    /// Nothing is published then.
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

    /// Merges the version of another machine, or one that this machine stored. The greater version is current from here on.
    ///
    /// # Errors
    /// The delta can't be applied; nothing changes then.
    pub fn merge(&mut self, delta: Delta) -> Result<MergeOutcome, DeltaError> {
        let scope = delta.scope.clone();
        if !self.has_room(&scope) {
            // One more scope than there may be is refused like a foreign one.
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

    /// The answer to a poll: a delta on what the follower has, or a snapshot; none where nothing is new for it.
    pub fn delta_for(&self, poll: &Poll) -> Option<Delta> {
        let scope = self.scopes.get(&poll.scope)?;
        let current = scope.current()?;
        let refused = poll.refused.as_ref().map(|refused| refused.version);
        let version = current.version();
        // A follower that refused a newer version would refuse this one too, and poll again at once.
        if poll.acknowledged == Some(version) || refused >= Some(version) {
            return None;
        }
        let is_base = |known: &&Snapshot| Some(known.version()) == poll.acknowledged && !poll.wants_snapshot;
        let base = scope.history.iter().find(is_base);
        Some(base.map_or_else(|| current.full_delta(), |base| current.delta_since(base)))
    }

    /// Records what a follower acknowledges and refuses by this poll.
    pub fn record_poll(&mut self, now: Duration, poll: &Poll) {
        if !self.has_room(&poll.scope) {
            return;
        }
        let scope = self.scopes.entry(poll.scope.clone()).or_default();
        if scope.followers.len() >= MAX_FOLLOWERS && !scope.followers.contains_key(&poll.name) {
            scope.forget_oldest_follower();
        }
        let last = LastPoll { at: now, acknowledged: poll.acknowledged, refused: poll.refused.clone() };
        scope.followers.insert(poll.name.clone(), last);
    }

    /// Whether this follower's last poll reported that it refused this version.
    pub fn has_refused(&self, scope: &str, name: &str, version: Version) -> bool {
        let follower = self.scopes.get(scope).and_then(|scope| scope.followers.get(name));
        let refused = follower.and_then(|follower| follower.refused.as_ref());
        refused.is_some_and(|refused| refused.version == version)
    }

    /// Forgets followers that have not polled for an hour, and scopes that were polled but never published.
    pub fn expire(&mut self, now: Duration) {
        for scope in self.scopes.values_mut() {
            scope.followers.retain(|_, follower| now < follower.at + FOLLOWER_EXPIRY);
        }
        self.scopes.retain(|_, scope| !scope.history.is_empty() || !scope.followers.is_empty());
    }

    /// How a scope stands; none where it was neither published nor polled here.
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

    /// A digest over the summary: machines with the same digest have the same versions.
    pub fn digest(&self) -> u128 {
        let mut digest = Digest::new();
        for (name, version) in self.summary() {
            digest.add(name.as_bytes());
            digest.add(version.to_string().as_bytes());
        }
        digest.value()
    }

    /// The scopes of which another machine has a newer version.
    pub fn outdated_scopes(&self, other: &VersionSummary) -> Vec<String> {
        let is_newer = |(name, version): &(&String, &Version)| self.version(name) < Some(**version);
        other.iter().filter(is_newer).map(|(name, _)| name.clone()).take(MAX_SCOPES).collect()
    }
}
