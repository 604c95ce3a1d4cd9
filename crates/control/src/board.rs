//! A control machine's side: the versions of each scope, and who has acknowledged or refused which. It owns the rule by
//! which machines agree (the greater version wins, wherever it was published); it must never make a version that has no
//! base but by an operator's word.

use crate::change::{Change, Snapshot, Unfit};
use crate::contents::{Contents, Fault};
use crate::poll::Poll;
use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

pub const SCOPES_MOST: usize = 16 * 1024;
/// Versions of a scope that are kept, to make deltas on and to go back to.
const HISTORY: usize = 16;
/// Sidecars that are known of a scope. Past that the one that was silent for longest is forgotten.
const FOLLOWERS_MOST: usize = 16 * 1024;
/// Who has not called for so long is silent; and after this, forgotten.
const SILENT_AFTER: Duration = Duration::from_secs(20);
const FORGOTTEN_AFTER: Duration = Duration::from_secs(3600);

/// The versions that a machine has, by scope.
pub type Summary = BTreeMap<String, Version>;

struct Called {
    at: Duration,
    have: Option<Version>,
    refused: Option<(Version, String)>,
}

#[derive(Default)]
struct Scope {
    /// The last is the one that holds.
    versions: VecDeque<Snapshot>,
    followers: BTreeMap<String, Called>,
}

/// Why nothing is published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The base is not what holds here: this is.
    Base(Option<Version>),
    /// The version to go back to is not kept.
    Unknown(Version),
    Fault(Fault),
    /// There are too many scopes.
    Full,
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejected::Base(None) => f.write_str("base: nothing was published here"),
            Rejected::Base(Some(version)) => write!(f, "base: {version} holds here"),
            Rejected::Unknown(version) => write!(f, "back: {version} is not kept here"),
            Rejected::Fault(fault) => fault.fmt(f),
            Rejected::Full => write!(f, "scope: there are {SCOPES_MOST} of them already"),
        }
    }
}

/// What another machine's version came to here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It holds here now.
    Newer,
    /// It holds here now, in place of another with the same number: two were published at once.
    Rival(Version),
    /// What is here goes first, or is the same.
    Kept,
}

/// One sidecar, as a machine knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub have: Option<Version>,
    /// The version refused, with the key and what is wrong with it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<(Version, String)>,
    /// Milliseconds since it last called.
    pub age_ms: u64,
}

/// How a scope stands, as one machine or several together know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    pub scope: String,
    pub version: Option<Version>,
    pub contents: Contents,
    /// Versions that can be gone back to, the newest last.
    pub kept: Vec<Version>,
    pub followers: BTreeMap<String, View>,
}

impl Standing {
    /// Takes in what another machine knows: of each sidecar what is younger.
    pub fn join(&mut self, other: Standing) {
        for (name, view) in other.followers {
            let younger = self.followers.get(&name).is_none_or(|here| view.age_ms < here.age_ms);
            if younger {
                self.followers.insert(name, view);
            }
        }
    }

    /// Who has the version that holds here, or a newer one.
    pub fn acknowledged(&self) -> usize {
        let has = |view: &&View| view.have >= self.version;
        self.followers.values().filter(has).count()
    }

    /// Names of those who refused it.
    pub fn refused(&self) -> impl Iterator<Item = (&String, &String)> {
        self.followers.iter().filter_map(|(name, view)| {
            let (version, why) = view.refused.as_ref()?;
            (Some(*version) == self.version).then_some((name, why))
        })
    }

    /// Names of those who have neither said yes nor no to it; `true` for those who no longer call.
    pub fn behind(&self) -> impl Iterator<Item = (&String, bool)> {
        let due = |view: &View| {
            let refused = view.refused.as_ref().map(|(version, _)| *version);
            view.have < self.version && refused != self.version
        };
        let behind = self.followers.iter().filter(move |(_, view)| due(view));
        behind.map(|(name, view)| (name, view.age_ms > SILENT_AFTER.as_millis() as u64))
    }
}

/// All that a control machine knows.
#[derive(Default)]
pub struct Board {
    scopes: BTreeMap<String, Scope>,
}

impl Scope {
    fn holds(&self) -> Option<&Snapshot> {
        self.versions.back()
    }

    fn take(&mut self, next: Snapshot) {
        self.versions.push_back(next);
        while self.versions.len() > HISTORY {
            self.versions.pop_front();
        }
    }
}

impl Board {
    fn room(&self, scope: &str) -> bool {
        self.scopes.contains_key(scope) || self.scopes.len() < SCOPES_MOST
    }

    pub fn version(&self, scope: &str) -> Option<Version> {
        self.holds(scope).map(Snapshot::version)
    }

    pub fn holds(&self, scope: &str) -> Option<&Snapshot> {
        self.scopes.get(scope)?.holds()
    }

    /// An operator's word: these contents, in place of the version that is its base. `epoch` is for a scope that was never
    /// published here: the seconds of Unix time by now.
    pub fn publish(
        &mut self,
        scope: &str,
        base: Option<Version>,
        contents: Contents,
        epoch: u64,
    ) -> Result<Version, Rejected> {
        if !self.room(scope) {
            return Err(Rejected::Full);
        }
        let holds = self.version(scope);
        if base != holds {
            return Err(Rejected::Base(holds));
        }
        // Sidecars that have called know a version that was lost here: whatever the clock says, this one goes before it.
        let followers = self.scopes.get(scope).into_iter().flat_map(|known| known.followers.values());
        let lost = followers.filter_map(|called| called.have).map(|have| have.epoch.saturating_add(1)).max();
        let epoch = epoch.max(lost.unwrap_or(0));
        let (epoch, number) = holds.map_or((epoch, 1), |holds| (holds.epoch, holds.number.saturating_add(1)));
        let next = Snapshot::new(scope, epoch, number, contents).map_err(Rejected::Fault)?;
        let version = next.version();
        self.scopes.entry(scope.into()).or_default().take(next);
        Ok(version)
    }

    /// Going back as a whole: a new version with the contents of one that is kept.
    pub fn go_back(
        &mut self,
        scope: &str,
        base: Option<Version>,
        back: Version,
        epoch: u64,
    ) -> Result<Version, Rejected> {
        let kept = self.scopes.get(scope).into_iter().flat_map(|scope| &scope.versions);
        let kept = kept.filter(|kept| kept.version() == back).map(|kept| kept.contents().clone()).next();
        self.publish(scope, base, kept.ok_or(Rejected::Unknown(back))?, epoch)
    }

    /// A snapshot of another machine, or one that this machine kept. The greater version holds from here on.
    pub fn merge(&mut self, change: Change) -> Result<Merged, Unfit> {
        let scope = change.scope.clone();
        if !self.room(&scope) {
            return Err(Unfit::Scope(scope));
        }
        let next = change.onto(&scope, self.holds(&scope))?;
        let holds = self.version(&scope);
        if holds >= Some(next.version()) {
            return Ok(Merged::Kept);
        }
        let same =
            |holds: &Version| (holds.epoch, holds.number) == (next.version().epoch, next.version().number);
        let rival = holds.filter(same);
        self.scopes.entry(scope).or_default().take(next);
        Ok(rival.map_or(Merged::Newer, Merged::Rival))
    }

    /// What a sidecar is to be told, at once; none where there is nothing new for it.
    pub fn answer(&self, poll: &Poll) -> Option<Change> {
        let scope = self.scopes.get(&poll.scope)?;
        let holds = scope.holds()?;
        let refused = poll.refused.as_ref().map(|(version, _)| *version);
        let version = holds.version();
        // Whoever refused a later one would refuse this too, and ask again at once.
        if poll.have == Some(version) || refused >= Some(version) {
            return None;
        }
        let base = scope.versions.iter().find(|kept| Some(kept.version()) == poll.have && !poll.whole);
        Some(base.map_or_else(|| holds.whole(), |base| holds.since(base)))
    }

    /// A sidecar has called: what it has and refused is noted.
    pub fn called(&mut self, now: Duration, poll: &Poll) {
        if !self.room(&poll.scope) {
            return;
        }
        let followers = &mut self.scopes.entry(poll.scope.clone()).or_default().followers;
        if followers.len() >= FOLLOWERS_MOST && !followers.contains_key(&poll.name) {
            let oldest = followers.iter().min_by_key(|(_, called)| called.at).map(|(name, _)| name.clone());
            oldest.into_iter().for_each(|name| _ = followers.remove(&name));
        }
        let called = Called { at: now, have: poll.have, refused: poll.refused.clone() };
        followers.insert(poll.name.clone(), called);
    }

    /// Whether this sidecar has told already that it refused this version.
    pub fn refused(&self, scope: &str, name: &str, version: Version) -> bool {
        let called = self.scopes.get(scope).and_then(|scope| scope.followers.get(name));
        called.and_then(|called| called.refused.as_ref()).is_some_and(|(refused, _)| *refused == version)
    }

    /// Forgets who has not called for an hour, and scopes that were asked for and never published.
    pub fn tidy(&mut self, now: Duration) {
        for scope in self.scopes.values_mut() {
            scope.followers.retain(|_, called| now < called.at + FORGOTTEN_AFTER);
        }
        self.scopes.retain(|_, scope| !scope.versions.is_empty() || !scope.followers.is_empty());
    }

    /// None where nobody published the scope here, nor asked for it.
    pub fn standing(&self, now: Duration, scope: &str) -> Option<Standing> {
        let known = self.scopes.get(scope)?;
        let view = |called: &Called| View {
            have: called.have,
            refused: called.refused.clone(),
            age_ms: now.saturating_sub(called.at).as_millis() as u64,
        };
        Some(Standing {
            scope: scope.into(),
            version: known.holds().map(Snapshot::version),
            contents: known.holds().map(|holds| holds.contents().clone()).unwrap_or_default(),
            kept: known.versions.iter().map(Snapshot::version).collect(),
            followers: known.followers.iter().map(|(name, called)| (name.clone(), view(called))).collect(),
        })
    }

    pub fn summary(&self) -> Summary {
        let version = |(name, scope): (&String, &Scope)| Some((name.clone(), scope.holds()?.version()));
        self.scopes.iter().filter_map(version).collect()
    }

    /// Of the summary: two machines with the same one have the same versions.
    pub fn digest(&self) -> u128 {
        let mut digest = Digest::new();
        for (name, version) in self.summary() {
            digest.part(name.as_bytes());
            digest.part(version.to_string().as_bytes());
        }
        digest.value()
    }

    /// The scopes in which another machine is ahead.
    pub fn wanted(&self, theirs: &Summary) -> Vec<String> {
        let ahead = |(name, version): &(&String, &Version)| self.version(name) < Some(**version);
        theirs.iter().filter(ahead).map(|(name, _)| name.clone()).take(SCOPES_MOST).collect()
    }
}
