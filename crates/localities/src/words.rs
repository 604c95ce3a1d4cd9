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

use crate::verdict::{Stage, Verdict};
use std::time::Duration;

const VERSION: u8 = 1;
const CUT_OFF: u8 = 1;
const HEAD: usize = 4;
const LOOK: usize = 6;
const VERDICT: usize = 12;
const LOOKS_MOST: usize = 8;
const VERDICTS_MOST: usize = 8;
/// No word is longer.
pub const MOST: usize = HEAD + LOOK * LOOKS_MOST + VERDICT * VERDICTS_MOST;
const AGE_STEP_MS: u64 = 20;
const SINCE_STEP_MS: u64 = 10;
const SLOW: u8 = 0x10;
const OPERATORS: u8 = 0x80;

/// Zones are told by a hash of their names.
pub fn zone_id(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// How a zone looks to one copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Looks {
    /// It sent nothing there of late.
    Unknown,
    /// Something that was sent so long ago was answered, whatever the answer was.
    Answers { sent: Duration, slow: bool },
    /// All that was sent there since so long ago has had no answer, and should have had one; the last sign of that came so
    /// long ago.
    Silent { since: Duration },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneWord {
    pub zone: u32,
    pub looks: Looks,
}

/// One copy's word, as it was when it was said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Said {
    pub cut_off: bool,
    pub looks: Vec<ZoneWord>,
    /// Verdicts for the copy's own zone, and those of operators; how long ago each was passed, by those that passed it on.
    pub verdicts: Vec<(Verdict, Duration)>,
}

fn steps(span: Duration, step_ms: u64, most: u64) -> u64 {
    (span.as_millis() as u64 / step_ms).min(most)
}

/// What does not fit is left out: the first zones and the first verdicts are told.
pub fn write(said: &Said) -> Vec<u8> {
    let looks = &said.looks[..said.looks.len().min(LOOKS_MOST)];
    let verdicts = &said.verdicts[..said.verdicts.len().min(VERDICTS_MOST)];
    let mut bytes = Vec::with_capacity(HEAD + LOOK * looks.len() + VERDICT * verdicts.len());
    bytes.extend([VERSION, u8::from(said.cut_off) * CUT_OFF, looks.len() as u8, verdicts.len() as u8]);
    for word in looks {
        let (code, age) = match word.looks {
            Looks::Unknown => (0, Duration::ZERO),
            Looks::Answers { sent, slow } => (1 | if slow { SLOW } else { 0 }, sent),
            Looks::Silent { since } => (2, since),
        };
        bytes.extend(word.zone.to_be_bytes());
        bytes.extend([code, steps(age, AGE_STEP_MS, 255) as u8]);
    }
    for (verdict, age) in verdicts {
        let whose = if verdict.operators { OPERATORS } else { 0 };
        bytes.extend(verdict.zone.to_be_bytes());
        bytes.extend(verdict.number.to_be_bytes());
        bytes.extend([verdict.stage.code() | whose, verdict.departures]);
        bytes.extend((steps(*age, SINCE_STEP_MS, 65535) as u16).to_be_bytes());
    }
    bytes
}

struct Bytes<'a>(&'a [u8]);

impl<'a> Bytes<'a> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (taken, rest) = self.0.split_at_checked(N)?;
        self.0 = rest;
        taken.try_into().ok()
    }
}

/// None for what is no word of a version that can be read, or is cut.
pub fn read(bytes: &[u8]) -> Option<Said> {
    let mut rest = Bytes(bytes);
    let [version, flags, looks, verdicts] = rest.take()?;
    if version != VERSION || looks as usize > LOOKS_MOST || verdicts as usize > VERDICTS_MOST {
        return None;
    }
    let mut said = Said { cut_off: flags & CUT_OFF != 0, ..Said::default() };
    for _ in 0..looks {
        let zone = u32::from_be_bytes(rest.take()?);
        let [code, age] = rest.take()?;
        let age = Duration::from_millis(u64::from(age) * AGE_STEP_MS);
        let looks = match code & 0x0f {
            1 => Looks::Answers { sent: age, slow: code & SLOW != 0 },
            2 => Looks::Silent { since: age },
            _ => Looks::Unknown,
        };
        said.looks.push(ZoneWord { zone, looks });
    }
    for _ in 0..verdicts {
        let (zone, number) = (u32::from_be_bytes(rest.take()?), u32::from_be_bytes(rest.take()?));
        let [code, departures] = rest.take()?;
        let age = Duration::from_millis(u64::from(u16::from_be_bytes(rest.take()?)) * SINCE_STEP_MS);
        let stage = Stage::of_code(code & !OPERATORS)?;
        let operators = code & OPERATORS != 0;
        said.verdicts.push((Verdict { zone, number, stage, operators, departures }, age));
    }
    Some(said)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_word_is_read_as_it_was_written_and_cut_ones_are_none() {
        let ms = Duration::from_millis;
        let said = Said {
            cut_off: true,
            looks: vec![
                ZoneWord { zone: zone_id("a"), looks: Looks::Answers { sent: ms(40), slow: true } },
                ZoneWord { zone: zone_id("b"), looks: Looks::Silent { since: ms(5100) } },
                ZoneWord { zone: zone_id("c"), looks: Looks::Unknown },
            ],
            verdicts: vec![(
                Verdict { zone: 7, number: 9, stage: Stage::Step(2), operators: true, departures: 3 },
                ms(1230),
            )],
        };
        let bytes = write(&said);
        assert!(bytes.len() <= MOST);
        assert_eq!(read(&bytes), Some(said));
        (0..bytes.len()).for_each(|end| assert_eq!(read(&bytes[..end]), None, "{end}"));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn anything_can_be_read_or_is_none(bytes in prop::collection::vec(any::<u8>(), 0..200), head in 0u8..3) {
            let mut bytes = bytes;
            if let Some(first) = bytes.first_mut() {
                *first = head;
            }
            if let Some(said) = read(&bytes) {
                let again = write(&said);
                prop_assert!(again.len() <= MOST);
                prop_assert_eq!(read(&again), Some(said));
            }
        }
    }
}
