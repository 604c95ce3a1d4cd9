//! A version: which one of a scope's contents, and which of two goes first.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// One state of a scope's contents. Versions are ordered by epoch, then number, then digest: two that were published on
/// both sides of a cut may have one number, and all come to the same by the greater digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// When the scope was first published, in seconds of Unix time: a scope that was begun anew, after all machines had
    /// lost it, goes before what it was.
    pub epoch: u64,
    /// Counted from 1 within the epoch.
    pub number: u64,
    /// Over the scope's name, epoch, number and contents. It finds what was cut or garbled, not what was forged.
    pub digest: u128,
}

/// FNV-1a over 128 bits.
pub(crate) struct Digest(u128);

impl Digest {
    pub(crate) fn new() -> Digest {
        Digest(0x6c62_272e_07bb_0142_62b8_2175_6295_c58d)
    }

    /// A part of its own: the length goes before it, so that no two lists of parts read alike.
    pub(crate) fn part(&mut self, bytes: &[u8]) {
        let length = (bytes.len() as u64).to_be_bytes();
        for byte in length.iter().chain(bytes) {
            self.0 = (self.0 ^ u128::from(*byte)).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013b);
        }
    }

    pub(crate) fn value(&self) -> u128 {
        self.0
    }
}

/// `EPOCH.NUMBER.DIGEST`, the digest in 32 hex digits; the one form of it in queries, JSON and kept files.
impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{:032x}", self.epoch, self.number, self.digest)
    }
}

impl FromStr for Version {
    type Err = String;

    fn from_str(text: &str) -> Result<Version, String> {
        let read = || {
            let mut parts = text.split('.');
            let (epoch, number, digest) = (parts.next()?, parts.next()?, parts.next()?);
            let plain =
                |part: &str| (1..=20).contains(&part.len()) && part.bytes().all(|b| b.is_ascii_digit());
            let hex =
                digest.len() == 32 && digest.bytes().all(|b| b.is_ascii_digit() || matches!(b, b'a'..=b'f'));
            if !plain(epoch) || !plain(number) || !hex || parts.next().is_some() {
                return None;
            }
            let digest = u128::from_str_radix(digest, 16).ok()?;
            Some(Version { epoch: epoch.parse().ok()?, number: number.parse().ok()?, digest })
        };
        read().filter(|version| version.number > 0).ok_or_else(|| format!("{text:?} is no version"))
    }
}

impl Serialize for Version {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Version, D::Error> {
        String::deserialize(from)?.parse().map_err(serde::de::Error::custom)
    }
}
