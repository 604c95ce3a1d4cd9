//! What a copy says of zones: how each looks to it, and the verdicts that it goes by. Only its newest word counts, so that
//! order, loss and doubling do no harm. What comes is bounded and may be anything.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0 | the version |
//! | 1 | 1: this copy reaches no zone, and says nothing of any; others: nothing yet |
//! | 2, 3 | how many zones, how many verdicts follow |
//! | 6 each | a zone's id; how it looks; for how long, in steps of 20 ms |
//! | 12 each | a zone's id; the verdict's number; its stage and whose it is; departures; its age in steps of 10 ms |

use crate::verdict::{Verdict, ZoneStage};
use std::time::Duration;

const VERSION: u8 = 1;
const FLAG_ISOLATED: u8 = 1;
const HEADER_BYTES: usize = 4;
const OBSERVATION_BYTES: usize = 6;
const VERDICT_BYTES: usize = 12;
const MAX_OBSERVATIONS: usize = 8;
const MAX_VERDICTS: usize = 8;
/// No word is longer.
pub const MAX_REPORT_BYTES: usize =
    HEADER_BYTES + OBSERVATION_BYTES * MAX_OBSERVATIONS + VERDICT_BYTES * MAX_VERDICTS;
const OBSERVATION_AGE_UNIT_MS: u64 = 20;
const VERDICT_AGE_UNIT_MS: u64 = 10;
const FLAG_SLOW: u8 = 0x10;
const FLAG_OPERATOR: u8 = 0x80;

/// Zones are told by a hash of their names.
pub fn zone_id(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// How a zone looks to one copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// It sent nothing there of late.
    Unknown,
    /// Something that was sent so long ago was answered, whatever the answer was.
    Answering { sent_ago: Duration, slow: bool },
    /// All that was sent there since so long ago has had no answer, and should have had one; the last sign of that came so
    /// long ago.
    Silent { since: Duration },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneObservation {
    pub zone: u32,
    pub health: ZoneHealth,
}

/// One copy's word, as it was when it was said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneReport {
    pub isolated: bool,
    pub observations: Vec<ZoneObservation>,
    /// Verdicts for the copy's own zone, and those of operators; how long ago each was passed, by those that passed it on.
    pub verdicts: Vec<(Verdict, Duration)>,
}

fn age_units(span: Duration, step_ms: u64, most: u64) -> u64 {
    (span.as_millis() as u64 / step_ms).min(most)
}

/// What does not fit is left out: the first zones and the first verdicts are told.
pub fn encode(report: &ZoneReport) -> Vec<u8> {
    let observations = &report.observations[..report.observations.len().min(MAX_OBSERVATIONS)];
    let verdicts = &report.verdicts[..report.verdicts.len().min(MAX_VERDICTS)];
    let mut bytes = Vec::with_capacity(
        HEADER_BYTES + OBSERVATION_BYTES * observations.len() + VERDICT_BYTES * verdicts.len(),
    );
    bytes.extend([
        VERSION,
        u8::from(report.isolated) * FLAG_ISOLATED,
        observations.len() as u8,
        verdicts.len() as u8,
    ]);
    for observation in observations {
        let (code, age) = match observation.health {
            ZoneHealth::Unknown => (0, Duration::ZERO),
            ZoneHealth::Answering { sent_ago, slow } => (1 | if slow { FLAG_SLOW } else { 0 }, sent_ago),
            ZoneHealth::Silent { since } => (2, since),
        };
        bytes.extend(observation.zone.to_be_bytes());
        bytes.extend([code, age_units(age, OBSERVATION_AGE_UNIT_MS, 255) as u8]);
    }
    for (verdict, age) in verdicts {
        let whose = if verdict.by_operator { FLAG_OPERATOR } else { 0 };
        bytes.extend(verdict.zone.to_be_bytes());
        bytes.extend(verdict.number.to_be_bytes());
        bytes.extend([verdict.stage.code() | whose, verdict.evacuations]);
        bytes.extend((age_units(*age, VERDICT_AGE_UNIT_MS, 65535) as u16).to_be_bytes());
    }
    bytes
}

struct ByteReader<'a>(&'a [u8]);

impl<'a> ByteReader<'a> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (taken, rest) = self.0.split_at_checked(N)?;
        self.0 = rest;
        taken.try_into().ok()
    }
}

/// None for what is no word of a version that can be read, or is cut.
pub fn decode(bytes: &[u8]) -> Option<ZoneReport> {
    let mut rest = ByteReader(bytes);
    let [version, flags, observations, verdicts] = rest.take()?;
    if version != VERSION || observations as usize > MAX_OBSERVATIONS || verdicts as usize > MAX_VERDICTS {
        return None;
    }
    let mut report = ZoneReport { isolated: flags & FLAG_ISOLATED != 0, ..ZoneReport::default() };
    for _ in 0..observations {
        let zone = u32::from_be_bytes(rest.take()?);
        let [code, age] = rest.take()?;
        let age = Duration::from_millis(u64::from(age) * OBSERVATION_AGE_UNIT_MS);
        let health = match code & 0x0f {
            1 => ZoneHealth::Answering { sent_ago: age, slow: code & FLAG_SLOW != 0 },
            2 => ZoneHealth::Silent { since: age },
            _ => ZoneHealth::Unknown,
        };
        report.observations.push(ZoneObservation { zone, health });
    }
    for _ in 0..verdicts {
        let (zone, number) = (u32::from_be_bytes(rest.take()?), u32::from_be_bytes(rest.take()?));
        let [code, evacuations] = rest.take()?;
        let age = Duration::from_millis(u64::from(u16::from_be_bytes(rest.take()?)) * VERDICT_AGE_UNIT_MS);
        let stage = ZoneStage::from_code(code & !FLAG_OPERATOR)?;
        let by_operator = code & FLAG_OPERATOR != 0;
        report.verdicts.push((Verdict { zone, number, stage, by_operator, evacuations }, age));
    }
    Some(report)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_word_is_read_as_it_was_written_and_cut_ones_are_none() {
        let ms = Duration::from_millis;
        let report = ZoneReport {
            isolated: true,
            observations: vec![
                ZoneObservation {
                    zone: zone_id("a"),
                    health: ZoneHealth::Answering { sent_ago: ms(40), slow: true },
                },
                ZoneObservation { zone: zone_id("b"), health: ZoneHealth::Silent { since: ms(5100) } },
                ZoneObservation { zone: zone_id("c"), health: ZoneHealth::Unknown },
            ],
            verdicts: vec![(
                Verdict {
                    zone: 7,
                    number: 9,
                    stage: ZoneStage::Recovering(2),
                    by_operator: true,
                    evacuations: 3,
                },
                ms(1230),
            )],
        };
        let bytes = encode(&report);
        assert!(bytes.len() <= MAX_REPORT_BYTES);
        assert_eq!(decode(&bytes), Some(report));
        (0..bytes.len()).for_each(|end| assert_eq!(decode(&bytes[..end]), None, "{end}"));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn anything_can_be_read_or_is_none(bytes in prop::collection::vec(any::<u8>(), 0..200), head in 0u8..3) {
            let mut bytes = bytes;
            if let Some(first) = bytes.first_mut() {
                *first = head;
            }
            if let Some(report) = decode(&bytes) {
                let again = encode(&report);
                prop_assert!(again.len() <= MAX_REPORT_BYTES);
                prop_assert_eq!(decode(&again), Some(report));
            }
        }
    }
}
