//! Snapshots and deltas, the messages that control machines send to sidecars and to each other, and their checks. A
//! delta is applied completely or not at all.

use crate::config::{ConfigError, Contents, check_bounds};
use crate::poll::{MAX_SCOPE_BYTES, is_valid_scope};
use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The maximum length of a delta's JSON in bytes.
pub const MAX_DELTA_BYTES: usize = 96 * 1024;

/// The complete contents of a scope at one version. The version's digest always matches the contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    scope: String,
    version: Version,
    contents: Contents,
}

/// The message that carries a version: the changes since `base`, or the complete contents if there is no base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The scope: the name of the configured service.
    pub scope: String,
    /// The version that results from applying the delta.
    pub version: Version,
    /// The version that the delta applies to; `None` if `set` is the complete contents.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    /// Keys that are new or have a different value than in the base.
    #[serde(default)]
    pub set: Contents,
    /// Keys of the base that are removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

/// Why a delta can't be parsed or applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// The bytes are not a delta: truncated, corrupt or longer than [`MAX_DELTA_BYTES`].
    Malformed(String),
    /// The delta belongs to this scope, which is not the expected one.
    WrongScope(String),
    /// The delta's base is not the current version; a snapshot has to be requested.
    BaseMismatch,
    /// The digest of the resulting contents differs from the digest in the delta's version.
    DigestMismatch,
    /// A key violates its bounds, or the scope's name is invalid.
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
    /// Creates a snapshot whose version has this epoch and number and the digest of the contents.
    ///
    /// # Errors
    /// The first key that violates its bounds, or the key `scope` if the scope's name is invalid.
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

    /// The scope: the name of the configured service.
    pub fn scope(&self) -> &str {
        &self.scope
    }

    /// The version of these contents.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All keys with their values.
    pub fn contents(&self) -> &Contents {
        &self.contents
    }

    /// A delta with the complete contents and no base.
    pub fn full_delta(&self) -> Delta {
        let (scope, set) = (self.scope.clone(), self.contents.clone());
        Delta { scope, version: self.version, base: None, set, removed: Vec::new() }
    }

    /// A delta with the changes since `base`, another snapshot of the same scope.
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
    /// [`DeltaError::Malformed`] if the bytes are too long or not a delta's JSON.
    pub fn from_json(bytes: &[u8]) -> Result<Delta, DeltaError> {
        if bytes.len() > MAX_DELTA_BYTES {
            return Err(DeltaError::Malformed(format!("it is longer than {MAX_DELTA_BYTES} bytes")));
        }
        serde_json::from_slice(bytes).map_err(|error| DeltaError::Malformed(error.to_string()))
    }

    /// Whether the delta's JSON has at most [`MAX_DELTA_BYTES`].
    pub fn fits_message(&self) -> bool {
        self.to_json().len() <= MAX_DELTA_BYTES
    }

    /// Serializes the delta as JSON, the format of both messages and stored files.
    pub fn to_json(&self) -> String {
        // Strings and lists of strings can always be serialized.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Applies the delta to `current`, the current snapshot of `scope`, and returns the resulting snapshot.
    ///
    /// # Errors
    /// Any [`DeltaError`] except [`DeltaError::Malformed`]. No part of the delta is applied then.
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
