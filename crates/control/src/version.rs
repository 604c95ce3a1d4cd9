//! Versions, which identify the states of a scope's contents and order them by age.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// The identity of one state of a scope's contents.
///
/// Versions are ordered by epoch, then number, then digest. Two versions published on both sides of a network partition
/// may have the same number; all machines then converge on the greater digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// The Unix time in seconds at which the scope was first published. A scope that is published again after all
    /// machines lost it thereby gets a newer version than before.
    pub epoch: u64,
    /// The number of the publication within the epoch, from 1.
    pub number: u64,
    /// A hash over the scope's name, epoch, number and contents. It detects truncation and corruption, not forgery.
    pub digest: u128,
}

/// A text that can't be parsed as a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionParseError {
    text: String,
}

impl fmt::Display for VersionParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is no version", self.text)
    }
}

impl std::error::Error for VersionParseError {}

/// The 128-bit FNV-1a hash of a list of byte strings.
pub(crate) struct Digest(u128);

const FNV_OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

impl Digest {
    pub(crate) fn new() -> Digest {
        Digest(FNV_OFFSET_BASIS)
    }

    /// Adds one byte string, preceded by its length so that no two lists hash the same bytes.
    pub(crate) fn add(&mut self, part: &[u8]) {
        let length = (part.len() as u64).to_be_bytes();
        for byte in length.iter().chain(part) {
            self.0 = (self.0 ^ u128::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    pub(crate) fn value(&self) -> u128 {
        self.0
    }
}

/// Writes `EPOCH.NUMBER.DIGEST`, the digest in 32 hexadecimal digits: the form of a version in queries, JSON and files.
impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{:032x}", self.epoch, self.number, self.digest)
    }
}

impl FromStr for Version {
    type Err = VersionParseError;

    fn from_str(text: &str) -> Result<Version, VersionParseError> {
        let version = parse(text).filter(|version| version.number > 0);
        version.ok_or_else(|| VersionParseError { text: text.into() })
    }
}

fn parse(text: &str) -> Option<Version> {
    /// The number of decimal digits of `u64::MAX`.
    const MAX_DIGITS: usize = 20;
    const DIGEST_DIGITS: usize = 32;
    let mut parts = text.split('.');
    let (epoch, number, digest) = (parts.next()?, parts.next()?, parts.next()?);
    let is_decimal =
        |part: &str| (1..=MAX_DIGITS).contains(&part.len()) && part.bytes().all(|b| b.is_ascii_digit());
    let is_hex = digest.len() == DIGEST_DIGITS
        && digest.bytes().all(|b| b.is_ascii_digit() || matches!(b, b'a'..=b'f'));
    if !is_decimal(epoch) || !is_decimal(number) || !is_hex || parts.next().is_some() {
        return None;
    }
    let digest = u128::from_str_radix(digest, 16).ok()?;
    Some(Version { epoch: epoch.parse().ok()?, number: number.parse().ok()?, digest })
}

impl Serialize for Version {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Version, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}
