//! What passes from a machine to a sidecar and between machines: a snapshot, or a delta on one. It owns how a change is
//! checked: all of it fits, or nothing is taken.

use crate::contents::{Contents, Fault, bounded};
use crate::poll::is_scope;
use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change is no longer than this in bytes, as JSON.
pub const CHANGE_MOST: usize = 96 * 1024;

/// All contents of a scope, at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    scope: String,
    version: Version,
    contents: Contents,
}

/// A snapshot where there is no base, else what is new since the base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub scope: String,
    pub version: Version,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    #[serde(default)]
    pub set: Contents,
    /// Keys of the base that are no more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

/// Why a change is none that can be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// It is no change at all: cut, garbled or too long.
    Unreadable(String),
    Scope(String),
    /// It is a delta on something else than what is here: a snapshot is wanted.
    Base,
    /// Its contents are not what its version says.
    Digest,
    Bounds(Fault),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Unreadable(wrong) => write!(f, "it can't be read: {wrong}"),
            Unfit::Scope(scope) => write!(f, "scope: {scope:?} is another"),
            Unfit::Base => f.write_str("base: it is not what is here"),
            Unfit::Digest => f.write_str("version: its digest is not that of the contents"),
            Unfit::Bounds(fault) => fault.fmt(f),
        }
    }
}

fn digest_of(scope: &str, epoch: u64, number: u64, contents: &Contents) -> u128 {
    let mut digest = Digest::new();
    digest.part(scope.as_bytes());
    digest.part(&epoch.to_be_bytes());
    digest.part(&number.to_be_bytes());
    for (key, value) in contents {
        digest.part(key.as_bytes());
        digest.part(value.as_bytes());
    }
    digest.value()
}

impl Snapshot {
    /// A version of its own number; the fault is of a key that is out of bounds, or of `scope`.
    pub fn new(scope: &str, epoch: u64, number: u64, contents: Contents) -> Result<Snapshot, Fault> {
        if !is_scope(scope) {
            return Err(Fault::of(
                "scope",
                "it is empty, too long, or has other signs than a-z, 0-9, -, _ and .",
            ));
        }
        bounded(&contents)?;
        let digest = digest_of(scope, epoch, number, &contents);
        Ok(Snapshot { scope: scope.into(), version: Version { epoch, number, digest }, contents })
    }

    pub fn scope(&self) -> &str {
        &self.scope
    }

    pub fn version(&self) -> Version {
        self.version
    }

    pub fn contents(&self) -> &Contents {
        &self.contents
    }

    pub fn whole(&self) -> Change {
        let (scope, set) = (self.scope.clone(), self.contents.clone());
        Change { scope, version: self.version, base: None, set, removed: Vec::new() }
    }

    /// What is new here since another snapshot of the same scope.
    pub fn since(&self, base: &Snapshot) -> Change {
        let new = self.contents.iter().filter(|(key, value)| base.contents.get(*key) != Some(value));
        let removed = base.contents.keys().filter(|key| !self.contents.contains_key(*key));
        Change {
            scope: self.scope.clone(),
            version: self.version,
            base: Some(base.version),
            set: new.map(|(key, value)| (key.clone(), value.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }
}

impl Change {
    pub fn read(bytes: &[u8]) -> Result<Change, Unfit> {
        if bytes.len() > CHANGE_MOST {
            return Err(Unfit::Unreadable(format!("it is longer than {CHANGE_MOST} bytes")));
        }
        serde_json::from_slice(bytes).map_err(|wrong| Unfit::Unreadable(wrong.to_string()))
    }

    pub fn text(&self) -> String {
        // Texts and lists of texts always have a form.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// What comes of it here. Nothing is taken unless all of it is what its version says.
    pub fn onto(self, scope: &str, here: Option<&Snapshot>) -> Result<Snapshot, Unfit> {
        if self.scope != scope {
            return Err(Unfit::Scope(self.scope.chars().take(64).collect()));
        }
        let mut contents = match self.base {
            None => Contents::new(),
            Some(base) => {
                let here = here.filter(|here| here.version == base).ok_or(Unfit::Base)?;
                here.contents.clone()
            }
        };
        for key in &self.removed {
            contents.remove(key).ok_or(Unfit::Digest)?;
        }
        contents.extend(self.set);
        let Version { epoch, number, .. } = self.version;
        let snapshot = Snapshot::new(scope, epoch, number, contents).map_err(Unfit::Bounds)?;
        if snapshot.version == self.version { Ok(snapshot) } else { Err(Unfit::Digest) }
    }
}
