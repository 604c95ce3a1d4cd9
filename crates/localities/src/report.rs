//! Zone reports: one replica's observations of the zones, and the verdicts that it follows. Only a replica's newest report
//! counts, so that reordering, loss and duplication do no harm. Received bytes are untrusted: decoding bounds every length.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | version |
//! | 1 | flags: 1 if the replica is isolated, and its observations are to be ignored |
//! | 2, 3 | number of observations, number of verdicts |
//! | 6 per observation | zone id; health; time since the answered request was sent or since the failure, in units of 20 ms |
//! | 12 per verdict | zone id; number; stage and operator flag; evacuations; age in units of 10 ms |

use crate::verdict::{Verdict, ZoneStage};
use std::time::Duration;

const VERSION: u8 = 1;
const FLAG_ISOLATED: u8 = 1;
const HEADER_BYTES: usize = 4;
const OBSERVATION_BYTES: usize = 6;
const VERDICT_BYTES: usize = 12;
const MAX_OBSERVATIONS: usize = 8;
/// The most verdicts that a report holds.
pub(crate) const MAX_VERDICTS: usize = 8;
/// The longest report, in bytes.
pub const MAX_REPORT_BYTES: usize =
    HEADER_BYTES + OBSERVATION_BYTES * MAX_OBSERVATIONS + VERDICT_BYTES * MAX_VERDICTS;
const OBSERVATION_AGE_UNIT_MS: u64 = 20;
const VERDICT_AGE_UNIT_MS: u64 = 10;

const HEALTH_UNKNOWN: u8 = 0;
const HEALTH_ANSWERING: u8 = 1;
const HEALTH_SILENT: u8 = 2;
const HEALTH_MASK: u8 = 0x0f;
/// Combined with `HEALTH_ANSWERING` where the answer was slow.
const FLAG_SLOW: u8 = 0x10;
/// Combined with a verdict's stage where an operator commanded it.
const FLAG_OPERATOR: u8 = 0x80;

/// A zone's id in reports: the 32-bit FNV-1a hash of its name.
pub fn zone_id(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// The health of a zone as one replica observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// The replica has not sent anything to the zone recently.
    Unknown,
    /// The zone answered; an error is an answer as well.
    Answering {
        /// How long ago the answered request or check was sent.
        sent_ago: Duration,
        /// Whether the answer was slow.
        slow: bool,
    },
    /// Nothing sent to the zone was answered in time.
    Silent {
        /// How long ago the latest failure to answer was observed.
        since: Duration,
    },
}

/// One replica's observation of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneObservation {
    /// The id of the observed zone.
    pub zone: u32,
    /// The health of the zone as observed.
    pub health: ZoneHealth,
}

/// One replica's report; ages in it are as of the time when it was made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneReport {
    /// Whether the replica reaches no zone at all. The fault is then its own, and its observations are ignored.
    pub isolated: bool,
    /// The replica's observations, at most one per zone.
    pub observations: Vec<ZoneObservation>,
    /// The verdicts that apply to the replicas of the reporting replica's own zone, and those commanded by operators, each
    /// with its age.
    pub verdicts: Vec<(Verdict, Duration)>,
}

fn age_units(age: Duration, unit_ms: u64, max: u64) -> u64 {
    (age.as_millis() as u64 / unit_ms).min(max)
}

/// Encodes a report in at most `MAX_REPORT_BYTES`. Observations and verdicts beyond the bounds are left out, and ages are
/// clamped.
pub fn encode(report: &ZoneReport) -> Vec<u8> {
    let observations = &report.observations[..report.observations.len().min(MAX_OBSERVATIONS)];
    let verdicts = &report.verdicts[..report.verdicts.len().min(MAX_VERDICTS)];
    let length = HEADER_BYTES + OBSERVATION_BYTES * observations.len() + VERDICT_BYTES * verdicts.len();
    let mut bytes = Vec::with_capacity(length);
    let flags = u8::from(report.isolated) * FLAG_ISOLATED;
    bytes.extend([VERSION, flags, observations.len() as u8, verdicts.len() as u8]);
    for observation in observations {
        let (code, age) = match observation.health {
            ZoneHealth::Unknown => (HEALTH_UNKNOWN, Duration::ZERO),
            ZoneHealth::Answering { sent_ago, slow } => {
                (HEALTH_ANSWERING | if slow { FLAG_SLOW } else { 0 }, sent_ago)
            }
            ZoneHealth::Silent { since } => (HEALTH_SILENT, since),
        };
        let age = age_units(age, OBSERVATION_AGE_UNIT_MS, u64::from(u8::MAX)) as u8;
        bytes.extend(observation.zone.to_be_bytes());
        bytes.extend([code, age]);
    }
    for (verdict, age) in verdicts {
        let operator = if verdict.by_operator { FLAG_OPERATOR } else { 0 };
        let age = age_units(*age, VERDICT_AGE_UNIT_MS, u64::from(u16::MAX)) as u16;
        bytes.extend(verdict.zone.to_be_bytes());
        bytes.extend(verdict.number.to_be_bytes());
        bytes.extend([verdict.stage.code() | operator, verdict.evacuations]);
        bytes.extend(age.to_be_bytes());
    }
    bytes
}

/// The bytes that are not read yet. A read returns `None` if too few bytes remain.
struct ByteReader<'a>(&'a [u8]);

impl ByteReader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (taken, remaining) = self.0.split_at_checked(N)?;
        self.0 = remaining;
        taken.try_into().ok()
    }

    fn observation(&mut self) -> Option<ZoneObservation> {
        let zone = u32::from_be_bytes(self.take()?);
        let [code, age] = self.take()?;
        let age = Duration::from_millis(u64::from(age) * OBSERVATION_AGE_UNIT_MS);
        let health = match code & HEALTH_MASK {
            HEALTH_ANSWERING => ZoneHealth::Answering { sent_ago: age, slow: code & FLAG_SLOW != 0 },
            HEALTH_SILENT => ZoneHealth::Silent { since: age },
            _ => ZoneHealth::Unknown,
        };
        Some(ZoneObservation { zone, health })
    }

    fn verdict(&mut self) -> Option<(Verdict, Duration)> {
        let zone = u32::from_be_bytes(self.take()?);
        let number = u32::from_be_bytes(self.take()?);
        let [code, evacuations] = self.take()?;
        let age = u64::from(u16::from_be_bytes(self.take()?));
        let stage = ZoneStage::from_code(code & !FLAG_OPERATOR)?;
        let by_operator = code & FLAG_OPERATOR != 0;
        let verdict = Verdict { zone, number, stage, by_operator, evacuations };
        Some((verdict, Duration::from_millis(age * VERDICT_AGE_UNIT_MS)))
    }
}

/// Decodes a report; `None` if the bytes are truncated, exceed a bound or are of another version.
pub fn decode(bytes: &[u8]) -> Option<ZoneReport> {
    let mut reader = ByteReader(bytes);
    let [version, flags, observations, verdicts] = reader.take()?;
    let in_bounds = observations as usize <= MAX_OBSERVATIONS && verdicts as usize <= MAX_VERDICTS;
    if version != VERSION || !in_bounds {
        return None;
    }
    let mut report = ZoneReport { isolated: flags & FLAG_ISOLATED != 0, ..ZoneReport::default() };
    for _ in 0..observations {
        report.observations.push(reader.observation()?);
    }
    for _ in 0..verdicts {
        report.verdicts.push(reader.verdict()?);
    }
    Some(report)
}

#[cfg(test)]
#[path = "report_tests.rs"]
mod tests;
