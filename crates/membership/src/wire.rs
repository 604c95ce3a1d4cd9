//! The bytes that copies exchange: one header, then entries that each tell their length, so that a reader passes over
//! those that it doesn't know. Nothing is decided here.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0 | 0xC5: no word of `peers` begins so |
//! | 1, 2 | the version that the sender speaks, and the oldest that can read this |
//! | 3 | the kind |
//! | 4 to 7 | CRC-32 of the fleet's name and all other bytes |
//! | 8 to 11 | the number of the probe that this belongs to |
//! | 12 to 17 | the epoch |
//! | 18 to 25 | a digest of the members that the sender counts |
//! | then | entries: a tag, a length, so many bytes; the first is the sender's own word |

use crate::word::{Address, NAME_MOST, Said, Word};
use std::net::Ipv4Addr;
use std::time::Duration;

/// No message is longer.
pub const MOST: usize = 1200;
pub const MAGIC: u8 = 0xC5;
const SPEAKS: u8 = 1;
const HEAD: usize = 26;

const WORD: u8 = 1;
const ACCUSED: u8 = 2;
/// Many that were declared dead, up to an epoch: the epoch, then for each its address and the end of its life's number.
const DEAD: u8 = 3;
const SUBJECT: u8 = 4;
/// The same for those that affirmed it.
const AFFIRMED: u8 = 5;
/// A short digest for each part of the ring.
const PARTS: u8 = 6;
/// What a member says beside, for whoever listens: its address and the end of its life's number, the word's own number, its
/// age in steps of 10 ms, whether it presses, and the bytes.
const SAID: u8 = 7;
const SAID_HEAD: usize = 15;
/// No such word is longer.
pub const SAID_MOST: usize = 200;
const AGE_STEP_MS: u64 = 10;
const PRESSES: u8 = 1;
const EACH: usize = 8;
const EACH_MOST: usize = 31;
/// A word without its names.
const SHORT: usize = 27;
const LEFT: u8 = 1;
/// The teller holds it for dead: for those who never heard of it.
const GONE: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Are you there?
    Ping = 1,
    /// I am, or the subject is.
    Ack = 2,
    /// Is the subject there?
    Ask = 3,
    /// News, and no answer wanted.
    News = 4,
    /// The subject did not answer me either.
    Nack = 5,
}

/// Why a message goes for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// It is none, or not whole, or of another fleet.
    Strange,
    /// It can't be read by this version.
    Later,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub kind: Kind,
    pub number: u32,
    pub epoch: u64,
    pub digest: u64,
}

/// Who is told what a message says, entry by entry.
pub trait Reader {
    fn word(&mut self, word: Word);
    fn accused(&mut self, target: Address, life: u64, epoch: u64, accuser: Address);
    /// Of its life only the end is told.
    fn dead(&mut self, target: Address, life_end: u16, epoch: u64);
    fn subject(&mut self, subject: Address);
    /// The sender's digests of the ring's parts; from a later version there may be more of them.
    fn parts(&mut self, parts: Vec<u16>);
    /// It said that it is alive in this epoch or later.
    fn affirmed(&mut self, target: Address, life_end: u16, epoch: u64);
    /// What it said beside, so long ago.
    fn said(&mut self, target: Address, life_end: u16, said: Said, age: Duration);
}

/// A message that is being written. What no longer fits is left out.
pub struct Writer {
    bytes: Vec<u8>,
    /// For subjects there is always room.
    most: usize,
}

fn put_48(bytes: &mut Vec<u8>, figure: u64) {
    bytes.extend(&figure.to_be_bytes()[2..]);
}

fn put_address(bytes: &mut Vec<u8>, address: Address) {
    bytes.extend(address.ip().octets());
    bytes.extend(address.port().to_be_bytes());
}

fn checksum(fleet: &str, bytes: &[u8]) -> [u8; 4] {
    let mut sum = crc32fast::Hasher::new();
    sum.update(fleet.as_bytes());
    sum.update(&bytes[..4]);
    sum.update(&bytes[8..]);
    sum.finalize().to_be_bytes()
}

impl Writer {
    /// Begins one with the sender's own word; so many bytes of news may follow.
    pub fn new(head: Head, own: &Word, news: usize) -> Writer {
        let mut bytes = Vec::with_capacity(MOST);
        bytes.extend([MAGIC, SPEAKS, SPEAKS, head.kind as u8, 0, 0, 0, 0]);
        bytes.extend(head.number.to_be_bytes());
        put_48(&mut bytes, head.epoch);
        bytes.extend(head.digest.to_be_bytes());
        let mut writer = Writer { bytes, most: MOST };
        writer.word(own, true);
        writer.most = (writer.bytes.len() + news).min(MOST);
        writer
    }

    fn entry(&mut self, tag: u8, length: usize, put: impl FnOnce(&mut Vec<u8>)) -> bool {
        let fits = self.bytes.len() + 2 + length <= self.most;
        if fits {
            self.bytes.extend([tag, length as u8]);
            put(&mut self.bytes);
        }
        fits
    }

    pub fn word(&mut self, word: &Word, names: bool) -> bool {
        let (name, zone) = (clipped(&word.name), clipped(&word.zone));
        let names = names && !name.is_empty();
        let length = SHORT + if names { 2 + name.len() + zone.len() } else { 0 };
        self.entry(WORD, length, |bytes| {
            put_address(bytes, word.address);
            put_48(bytes, word.life);
            bytes.extend(word.beat.to_be_bytes());
            put_48(bytes, word.affirmed);
            bytes.extend(word.traffic.to_be_bytes());
            bytes.extend(word.place.to_be_bytes());
            bytes.push(if word.left { LEFT } else { 0 } | if word.gone { GONE } else { 0 });
            if names {
                for text in [name, zone] {
                    bytes.push(text.len() as u8);
                    bytes.extend(text.as_bytes());
                }
            }
        })
    }

    pub fn accused(&mut self, target: Address, life: u64, epoch: u64, accuser: Address) -> bool {
        self.entry(ACCUSED, 24, |bytes| {
            put_address(bytes, target);
            put_48(bytes, life);
            put_48(bytes, epoch);
            put_address(bytes, accuser);
        })
    }

    /// The sender's own word beside has room beside the news.
    pub fn own_said(&mut self, own: &Word, said: &Said) {
        self.most = (self.most + 2 + SAID_HEAD + said.bytes.len()).min(MOST);
        self.said(own.address, own.life, said, Duration::ZERO);
    }

    pub fn said(&mut self, target: Address, life: u64, said: &Said, age: Duration) -> bool {
        let bytes = &said.bytes[..said.bytes.len().min(SAID_MOST)];
        let steps = (age.as_millis() as u64 / AGE_STEP_MS).min(u64::from(u16::MAX)) as u16;
        self.entry(SAID, SAID_HEAD + bytes.len(), |out| {
            put_address(out, target);
            out.extend((life as u16).to_be_bytes());
            out.extend(said.number.to_be_bytes());
            out.extend(steps.to_be_bytes());
            out.push(if said.presses { PRESSES } else { 0 });
            out.extend(bytes);
        })
    }

    /// They have room beside the news.
    pub fn parts(&mut self, parts: &[u16]) {
        self.most = (self.most + 2 + 2 * parts.len()).min(MOST);
        self.entry(PARTS, 2 * parts.len(), |bytes| {
            parts.iter().for_each(|part| bytes.extend(part.to_be_bytes()));
        });
    }

    /// Bytes that are left for news.
    pub fn room(&self) -> usize {
        self.most.saturating_sub(self.bytes.len())
    }

    /// How many members can be told to be dead, or to have affirmed an epoch, in one entry more.
    pub fn room_for_many(&self) -> usize {
        let free = self.most.saturating_sub(self.bytes.len() + 2 + 6);
        (free / EACH).min(EACH_MOST)
    }

    /// Members, each with its life; at most as many as there is room for.
    pub fn dead(&mut self, epoch: u64, members: &[(Address, u64)]) -> bool {
        self.many(DEAD, epoch, members)
    }

    pub fn affirmed(&mut self, epoch: u64, members: &[(Address, u64)]) -> bool {
        self.many(AFFIRMED, epoch, members)
    }

    fn many(&mut self, tag: u8, epoch: u64, members: &[(Address, u64)]) -> bool {
        if members.is_empty() {
            return true;
        }
        self.entry(tag, 6 + EACH * members.len(), |bytes| {
            put_48(bytes, epoch);
            for (address, life) in members {
                put_address(bytes, *address);
                bytes.extend((*life as u16).to_be_bytes());
            }
        })
    }

    /// Whom it is about, with its word where one is known. They have room beside the news.
    pub fn subject(&mut self, subject: Address, word: Option<&Word>) {
        self.most += 8 + 2 + SHORT;
        self.entry(SUBJECT, 6, |bytes| put_address(bytes, subject));
        if let Some(word) = word {
            self.word(word, false);
        }
        self.most = self.most.min(MOST);
    }

    pub fn finish(mut self, fleet: &str) -> Vec<u8> {
        let sum = checksum(fleet, &self.bytes);
        self.bytes[4..8].copy_from_slice(&sum);
        self.bytes
    }
}

/// No more than the bound, and whole characters.
pub fn clipped(text: &str) -> &str {
    let mut end = text.len().min(NAME_MOST);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// What is left of an entry's bytes; each part is none where they are too few.
struct Bytes<'a>(&'a [u8]);

impl<'a> Bytes<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn figure(&mut self, count: usize) -> Option<u64> {
        Some(self.take(count)?.iter().fold(0, |figure, byte| figure << 8 | u64::from(*byte)))
    }

    fn address(&mut self) -> Option<Address> {
        let ip = Ipv4Addr::from(self.figure(4)? as u32);
        Some(Address::new(ip, self.figure(2)? as u16))
    }

    fn text(&mut self) -> Option<Box<str>> {
        let length = self.figure(1)? as usize;
        let text = std::str::from_utf8(self.take(length)?).ok()?;
        let plain = length <= NAME_MOST && !text.chars().any(char::is_control);
        plain.then(|| text.into())
    }

    fn word(&mut self) -> Option<Word> {
        let mut word = Word {
            address: self.address()?,
            life: self.figure(6)?,
            beat: self.figure(4)? as u32,
            affirmed: self.figure(6)?,
            traffic: self.figure(2)? as u16,
            place: self.figure(2)? as u16,
            left: false,
            gone: false,
            name: "".into(),
            zone: "".into(),
        };
        let flags = self.figure(1)? as u8;
        (word.left, word.gone) = (flags & LEFT != 0, flags & GONE != 0);
        if !self.0.is_empty() {
            (word.name, word.zone) = (self.text()?, self.text()?);
        }
        Some(word)
    }
}

/// The header, and the bytes of the entries. The checksum goes before all else: what passes it was written so.
pub fn head<'a>(bytes: &'a [u8], fleet: &str) -> Result<(Head, &'a [u8]), Unread> {
    if !(HEAD..=MOST).contains(&bytes.len()) || bytes[0] != MAGIC {
        return Err(Unread::Strange);
    }
    if checksum(fleet, bytes) != bytes[4..8] {
        return Err(Unread::Strange);
    }
    let kind = match bytes[3] {
        1 => Kind::Ping,
        2 => Kind::Ack,
        3 => Kind::Ask,
        4 => Kind::News,
        5 => Kind::Nack,
        _ => return Err(Unread::Later),
    };
    if bytes[2] > SPEAKS {
        return Err(Unread::Later);
    }
    let mut rest = Bytes(&bytes[8..]);
    let parts = (rest.figure(4), rest.figure(6), rest.figure(8));
    let (Some(number), Some(epoch), Some(digest)) = parts else { return Err(Unread::Strange) };
    Ok((Head { kind, number: number as u32, epoch, digest }, rest.0))
}

/// The first entry, which is the sender's own word, and the bytes after it.
pub fn sender(entries: &[u8]) -> Option<(Word, &[u8])> {
    let mut rest = Bytes(entries);
    let (tag, length) = (rest.figure(1)?, rest.figure(1)? as usize);
    let mut own = Bytes(rest.take(length).filter(|_| tag == u64::from(WORD))?);
    Some((own.word()?, rest.0))
}

/// Reads entries up to the end, or to one that is cut or holds what it can't; that one's rest is lost.
pub fn entries(bytes: &[u8], reader: &mut impl Reader) -> Option<()> {
    let mut rest = Bytes(bytes);
    while !rest.0.is_empty() {
        let (tag, length) = (rest.figure(1)? as u8, rest.figure(1)? as usize);
        let mut entry = Bytes(rest.take(length)?);
        match tag {
            WORD => reader.word(entry.word()?),
            ACCUSED => reader.accused(entry.address()?, entry.figure(6)?, entry.figure(6)?, entry.address()?),
            DEAD => {
                let epoch = entry.figure(6)?;
                while !entry.0.is_empty() {
                    reader.dead(entry.address()?, entry.figure(2)? as u16, epoch);
                }
            }
            SUBJECT => reader.subject(entry.address()?),
            AFFIRMED => {
                let epoch = entry.figure(6)?;
                while !entry.0.is_empty() {
                    reader.affirmed(entry.address()?, entry.figure(2)? as u16, epoch);
                }
            }
            SAID => {
                let (target, life_end) = (entry.address()?, entry.figure(2)? as u16);
                let (number, steps, flags) =
                    (entry.figure(4)? as u32, entry.figure(2)?, entry.figure(1)? as u8);
                let said = Said { number, presses: flags & PRESSES != 0, bytes: entry.0.into() };
                reader.said(target, life_end, said, Duration::from_millis(steps * AGE_STEP_MS));
            }
            PARTS => {
                let mut parts = Vec::with_capacity(length / 2);
                while !entry.0.is_empty() {
                    parts.push(entry.figure(2)? as u16);
                }
                reader.parts(parts);
            }
            // A later version's.
            _ => {}
        }
    }
    Some(())
}

/// The same message as a later version would write it: under its own number, with an entry that this one doesn't know. For
/// those who try how versions live together; none where it is no message of the fleet.
pub fn as_later(bytes: &[u8], fleet: &str) -> Option<Vec<u8>> {
    const STRANGE: [u8; 5] = [200, 3, 1, 2, 3];
    head(bytes, fleet).ok()?;
    let mut later = bytes.to_vec();
    later[1] = SPEAKS + 1;
    if later.len() + STRANGE.len() <= MOST {
        later.extend(STRANGE);
    }
    let sum = checksum(fleet, &later);
    later[4..8].copy_from_slice(&sum);
    Some(later)
}

/// Whether this can be read as a message of the fleet, whole; for those who try the reader.
pub fn reads(bytes: &[u8], fleet: &str) -> Result<bool, Unread> {
    struct Nobody;
    impl Reader for Nobody {
        fn word(&mut self, _: Word) {}
        fn accused(&mut self, _: Address, _: u64, _: u64, _: Address) {}
        fn dead(&mut self, _: Address, _: u16, _: u64) {}
        fn subject(&mut self, _: Address) {}
        fn affirmed(&mut self, _: Address, _: u16, _: u64) {}
        fn parts(&mut self, _: Vec<u16>) {}
        fn said(&mut self, _: Address, _: u16, _: Said, _: Duration) {}
    }
    let (_, rest) = head(bytes, fleet)?;
    Ok(sender(rest).is_some_and(|(_, rest)| entries(rest, &mut Nobody).is_some()))
}

#[cfg(test)]
#[path = "wire_pins_tests.rs"]
mod pins;

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config as Cases, RngSeed, TestRunner};

    #[derive(Default, Debug, PartialEq)]
    struct Heard(Vec<String>);

    impl Reader for Heard {
        fn word(&mut self, word: Word) {
            self.0.push(format!("{word:?}"));
        }
        fn accused(&mut self, target: Address, life: u64, epoch: u64, accuser: Address) {
            self.0.push(format!("{accuser} accuses {target} {life} {epoch}"));
        }
        fn dead(&mut self, target: Address, life_end: u16, epoch: u64) {
            self.0.push(format!("{target} {life_end} dead {epoch}"));
        }
        fn subject(&mut self, subject: Address) {
            self.0.push(format!("about {subject}"));
        }
        fn parts(&mut self, parts: Vec<u16>) {
            self.0.push(format!("{parts:?}"));
        }
        fn affirmed(&mut self, target: Address, life_end: u16, epoch: u64) {
            self.0.push(format!("{target} {life_end} alive {epoch}"));
        }
        fn said(&mut self, target: Address, life_end: u16, said: Said, age: Duration) {
            self.0.push(format!("{target} {life_end} said {said:?} {age:?} ago"));
        }
    }

    fn address(number: u16) -> Address {
        Address::new(Ipv4Addr::LOCALHOST, number)
    }

    fn word(number: u16, name: &str) -> Word {
        Word {
            address: address(number),
            life: 1_800_000_000_000,
            beat: 7,
            affirmed: 0x0102_0304_0506,
            traffic: 125,
            place: 3,
            left: number % 2 == 1,
            gone: number % 3 == 1,
            name: name.into(),
            zone: "zone-a".into(),
        }
    }

    const HEAD_OF_ALL: Head = Head { kind: Kind::Ask, number: 9, epoch: 77, digest: 0xfeed };

    fn message() -> Vec<u8> {
        let mut writer = Writer::new(HEAD_OF_ALL, &word(1, "c1"), 600);
        writer.subject(address(2), Some(&word(2, "c2")));
        writer.word(&word(3, "c3"), true);
        writer.accused(address(4), 5, 6, address(7));
        writer.dead(8, &[(address(9), 0x1_0002), (address(10), 4)]);
        writer.affirmed(11, &[(address(12), 5)]);
        writer.parts(&[1, 2]);
        writer.finish("fleet")
    }

    /// As `message`, with these bytes after the header and a checksum that is right.
    fn sealed(kind: u8, least: u8, entries: &[u8]) -> Vec<u8> {
        let mut bytes = vec![MAGIC, SPEAKS, least, kind, 0, 0, 0, 0];
        bytes.extend([0; HEAD - 8]);
        bytes.extend(&entries[..entries.len().min(MOST - HEAD)]);
        let sum = checksum("fleet", &bytes);
        bytes[4..8].copy_from_slice(&sum);
        bytes
    }

    #[test]
    fn a_message_is_read_as_it_was_written() {
        let bytes = message();
        let (read, rest) = head(&bytes, "fleet").expect("a message");
        assert_eq!(read, HEAD_OF_ALL);
        let (own, rest) = sender(rest).expect("a word");
        assert_eq!(own, word(1, "c1"));
        let mut heard = Heard::default();
        assert!(entries(rest, &mut heard).is_some());
        let short = Word { name: "".into(), zone: "".into(), ..word(2, "") };
        let wanted = [
            "about 127.0.0.1:2".to_string(),
            format!("{short:?}"),
            format!("{:?}", word(3, "c3")),
            "127.0.0.1:7 accuses 127.0.0.1:4 5 6".into(),
            "127.0.0.1:9 2 dead 8".into(),
            "127.0.0.1:10 4 dead 8".into(),
            "127.0.0.1:12 5 alive 11".into(),
            "[1, 2]".into(),
        ];
        assert_eq!(heard.0, wanted);
    }

    #[test]
    fn what_is_garbled_cut_strange_or_of_a_later_version_is_not_taken() {
        let bytes = message();
        for bit in 0..bytes.len() * 8 {
            let mut garbled = bytes.clone();
            garbled[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(reads(&garbled, "fleet"), Err(Unread::Strange), "bit {bit}");
        }
        assert!((0..bytes.len()).all(|end| reads(&bytes[..end], "fleet") == Err(Unread::Strange)));
        assert_eq!(reads(&bytes, "another"), Err(Unread::Strange));
        assert_eq!(reads(&sealed(4, SPEAKS + 1, &[]), "fleet"), Err(Unread::Later));
        assert_eq!(reads(&sealed(77, SPEAKS, &[]), "fleet"), Err(Unread::Later));
        // Entries that only a later version knows are passed over.
        let mut writer = Writer::new(HEAD_OF_ALL, &word(1, "c1"), 600);
        writer.entry(99, 5, |bytes| bytes.extend([1, 2, 3, 4, 5]));
        writer.dead(8, &[(address(9), 2)]);
        assert_eq!(reads(&writer.finish("fleet"), "fleet"), Ok(true));
    }

    #[test]
    fn no_message_is_longer_than_the_bound_and_long_names_are_cut_between_characters() {
        let mut writer = Writer::new(HEAD_OF_ALL, &word(1, &"\u{e9}".repeat(60)), usize::MAX - MOST);
        while writer.word(&word(2, &"n".repeat(70)), true) {}
        while writer.room_for_many() > 0 {
            let many = vec![(address(1), 1); writer.room_for_many()];
            assert!(writer.dead(1, &many));
        }
        let bytes = writer.finish("fleet");
        assert!(bytes.len() <= MOST && reads(&bytes, "fleet") == Ok(true));
    }

    /// LANDINGSPREAD_INPUTS says how many; 100,000 where it does not.
    #[test]
    fn any_bytes_are_read_or_refused() {
        let told = std::env::var("LANDINGSPREAD_INPUTS").ok().and_then(|text| text.parse().ok());
        let cases = Cases {
            cases: told.unwrap_or(100_000),
            rng_seed: RngSeed::Fixed(30),
            failure_persistence: None,
            ..Cases::default()
        };
        let entry = (0u8..8, prop::collection::vec(any::<u8>(), 0..60), any::<bool>());
        let entries = prop::collection::vec(entry, 0..8);
        TestRunner::new(cases)
            .run(&(any::<u8>(), 0u8..3, entries, any::<u16>()), |(kind, least, parts, cut)| {
                let mut body = Vec::new();
                for (tag, bytes, honest) in parts {
                    let length = bytes.len() as u8;
                    body.extend([tag, if honest { length } else { length.wrapping_mul(3) }]);
                    body.extend(bytes);
                }
                body.truncate(usize::from(cut));
                let bytes = sealed(kind % 8, least, &body);
                let _ = reads(&bytes, "fleet");
                let _ = reads(&body, "fleet");
                Ok(())
            })
            .expect("nothing panics");
    }
}
