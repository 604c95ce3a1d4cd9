//! Snapshots and deltas: what control machines send to sidecars and to each other, and how it is checked. Either all of a
//! delta applies, or nothing of it does.

use crate::config::{ConfigError, Contents, check_bounds};
use crate::poll::{MAX_SCOPE_BYTES, is_valid_scope};
use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Bytes of a delta as JSON.
pub const MAX_DELTA_BYTES: usize = 96 * 1024;

/// All contents of a scope at one version. The version's digest always matches the contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    scope: String,
    version: Version,
    contents: Contents,
}

/// The message that carries a version: the changes since `base`, or the complete contents where there is no base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The service that it configures.
    pub scope: String,
    /// The version that results from it.
    pub version: Version,
    /// The version that it applies to; none where it is complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    /// Keys that are new or have another value than in the base.
    #[serde(default)]
    pub set: Contents,
    /// Keys of the base that are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

/// Why a delta can't be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// The bytes are no delta: truncated, corrupt or too long.
    Malformed(String),
    /// It is of this scope, which is another one.
    WrongScope(String),
    /// It applies to another version than the one that is here; a snapshot has to be requested.
    BaseMismatch,
    /// The contents that result from it don't have the digest of its version.
    DigestMismatch,
    /// A key is out of bounds, or the scope's name is invalid.
    Bounds(ConfigError),
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeltaError::Malformed(reason) => write!(f, "it can't be read: {reason}"),
            DeltaError::WrongScope(scope) => write!(f, "scope: {scope:?} is another"),
            DeltaError::BaseMismatch => f.write_str("base: it is not what is here"),
            DeltaError::DigestMismatch => f.write_str("version: its digest is not that of the contents"),
            DeltaError::Bounds(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for DeltaError {}

fn digest_of(scope: &str, epoch: u64, number: u64, contents: &Contents) -> u128 {
    let mut digest = Digest::new();
    digest.add(scope.as_bytes());
    digest.add(&epoch.to_be_bytes());
    digest.add(&number.to_be_bytes());
    for (key, value) in contents {
        digest.add(key.as_bytes());
        digest.add(value.as_bytes());
    }
    digest.value()
}

impl Snapshot {
    /// A snapshot with the version of this epoch and number.
    ///
    /// # Errors
    /// The first key that is out of bounds, or the key `scope` where the scope's name is invalid.
    pub fn new(scope: &str, epoch: u64, number: u64, contents: Contents) -> Result<Snapshot, ConfigError> {
        if !is_valid_scope(scope) {
            return Err(ConfigError::new(
                "scope",
                "it is empty, too long, or has other signs than a-z, 0-9, -, _ and .",
            ));
        }
        check_bounds(&contents)?;
        let digest = digest_of(scope, epoch, number, &contents);
        Ok(Snapshot { scope: scope.into(), version: Version { epoch, number, digest }, contents })
    }

    /// The service that it configures.
    pub fn scope(&self) -> &str {
        &self.scope
    }

    /// Its version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All keys with their values.
    pub fn contents(&self) -> &Contents {
        &self.contents
    }

    /// The message with the complete contents, which needs no base.
    pub fn full_delta(&self) -> Delta {
        let (scope, set) = (self.scope.clone(), self.contents.clone());
        Delta { scope, version: self.version, base: None, set, removed: Vec::new() }
    }

    /// The message with the changes since another snapshot of the same scope.
    pub fn delta_since(&self, base: &Snapshot) -> Delta {
        let changed = self.contents.iter().filter(|(key, value)| base.contents.get(*key) != Some(value));
        let removed = base.contents.keys().filter(|key| !self.contents.contains_key(*key));
        Delta {
            scope: self.scope.clone(),
            version: self.version,
            base: Some(base.version),
            set: changed.map(|(key, value)| (key.clone(), value.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }
}

impl Delta {
    /// Parses a delta's JSON.
    ///
    /// # Errors
    /// [`DeltaError::Malformed`].
    pub fn from_json(bytes: &[u8]) -> Result<Delta, DeltaError> {
        if bytes.len() > MAX_DELTA_BYTES {
            return Err(DeltaError::Malformed(format!("it is longer than {MAX_DELTA_BYTES} bytes")));
        }
        serde_json::from_slice(bytes).map_err(|error| DeltaError::Malformed(error.to_string()))
    }

    /// The delta as JSON, for a message and for a stored file alike.
    pub fn to_json(&self) -> String {
        // Strings and lists of strings can always be serialized.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The snapshot that results where `current` is what is here.
    ///
    /// # Errors
    /// Any [`DeltaError`] but [`DeltaError::Malformed`]; nothing of the delta applies then.
    pub fn apply(self, scope: &str, current: Option<&Snapshot>) -> Result<Snapshot, DeltaError> {
        if self.scope != scope {
            return Err(DeltaError::WrongScope(self.scope.chars().take(MAX_SCOPE_BYTES).collect()));
        }
        let mut contents = match self.base {
            None => Contents::new(),
            Some(base) => {
                let current = current.filter(|current| current.version == base);
                current.ok_or(DeltaError::BaseMismatch)?.contents.clone()
            }
        };
        for key in &self.removed {
            contents.remove(key).ok_or(DeltaError::DigestMismatch)?;
        }
        contents.extend(self.set);
        let Version { epoch, number, .. } = self.version;
        let snapshot = Snapshot::new(scope, epoch, number, contents).map_err(DeltaError::Bounds)?;
        if snapshot.version == self.version { Ok(snapshot) } else { Err(DeltaError::DigestMismatch) }
    }
}
