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

use crate::member::{Address, Announcement, MAX_NAME_BYTES, Payload};
use std::net::Ipv4Addr;
use std::time::Duration;

/// No message is longer.
pub const MAX_MESSAGE_BYTES: usize = 1200;
pub const MAGIC: u8 = 0xC5;
const PROTOCOL_VERSION: u8 = 1;
const HEADER_BYTES: usize = 26;

const TAG_ANNOUNCEMENT: u8 = 1;
const TAG_SUSPICION: u8 = 2;
/// Many that were declared dead, up to an epoch: the epoch, then for each its address and the end of its life's number.
const TAG_DEATHS: u8 = 3;
const TAG_SUBJECT: u8 = 4;
/// The same for those that affirmed it.
const TAG_AFFIRMATIONS: u8 = 5;
/// A short digest for each part of the ring.
const TAG_PARTITION_DIGESTS: u8 = 6;
/// What a member says beside, for whoever listens: its address and the end of its life's number, the word's own number, its
/// age in steps of 10 ms, whether it presses, and the bytes.
const TAG_PAYLOAD: u8 = 7;
const PAYLOAD_FIXED_BYTES: usize = 15;
/// No such word is longer.
pub const MAX_PAYLOAD_BYTES: usize = 200;
const AGE_UNIT_MS: u64 = 10;
const FLAG_URGENT: u8 = 1;
const COMPACT_ENTRY_BYTES: usize = 8;
const MAX_COMPACT_ENTRIES: usize = 31;
/// A word without its names.
const ANNOUNCEMENT_FIXED_BYTES: usize = 27;
const FLAG_LEFT: u8 = 1;
/// The teller holds it for dead: for those who never heard of it.
const FLAG_CONSIDERED_DEAD: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum MessageKind {
    /// Are you there?
    Ping = 1,
    /// I am, or the subject is.
    Ack = 2,
    /// Is the subject there?
    PingReq = 3,
    /// News, and no answer wanted.
    Gossip = 4,
    /// The subject did not answer me either.
    Nack = 5,
}

/// Why a message goes for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// It is none, or not whole, or of another fleet.
    Unrecognized,
    /// It can't be read by this version.
    NewerVersion,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub kind: MessageKind,
    pub probe_number: u32,
    pub epoch: u64,
    pub digest: u64,
}

/// Who is told what a message says, entry by entry.
pub trait EntryVisitor {
    fn announcement(&mut self, announcement: Announcement);
    fn suspicion(&mut self, target: Address, incarnation: u64, epoch: u64, suspector: Address);
    /// Of its life only the end is told.
    fn death(&mut self, target: Address, incarnation_low: u16, epoch: u64);
    fn subject(&mut self, subject: Address);
    /// The sender's digests of the ring's parts; from a later version there may be more of them.
    fn partitions(&mut self, partitions: Vec<u16>);
    /// It said that it is alive in this epoch or later.
    fn affirmation(&mut self, target: Address, incarnation_low: u16, epoch: u64);
    /// What it said beside, so long ago.
    fn payload(&mut self, target: Address, incarnation_low: u16, payload: Payload, age: Duration);
}

/// A message that is being written. What no longer fits is left out.
pub struct MessageWriter {
    bytes: Vec<u8>,
    /// For subjects there is always room.
    limit: usize,
}

fn put_u48(bytes: &mut Vec<u8>, uint: u64) {
    bytes.extend(&uint.to_be_bytes()[2..]);
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

impl MessageWriter {
    /// Begins one with the sender's own word; so many bytes of news may follow.
    pub fn new(head: Header, own: &Announcement, gossip_bytes: usize) -> MessageWriter {
        let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
        bytes.extend([MAGIC, PROTOCOL_VERSION, PROTOCOL_VERSION, head.kind as u8, 0, 0, 0, 0]);
        bytes.extend(head.probe_number.to_be_bytes());
        put_u48(&mut bytes, head.epoch);
        bytes.extend(head.digest.to_be_bytes());
        let mut writer = MessageWriter { bytes, limit: MAX_MESSAGE_BYTES };
        writer.announcement(own, true);
        writer.limit = (writer.bytes.len() + gossip_bytes).min(MAX_MESSAGE_BYTES);
        writer
    }

    fn entry(&mut self, tag: u8, length: usize, put: impl FnOnce(&mut Vec<u8>)) -> bool {
        let fits = self.bytes.len() + 2 + length <= self.limit;
        if fits {
            self.bytes.extend([tag, length as u8]);
            put(&mut self.bytes);
        }
        fits
    }

    pub fn announcement(&mut self, announcement: &Announcement, names: bool) -> bool {
        let (name, zone) = (truncated_name(&announcement.name), truncated_name(&announcement.zone));
        let names = names && !name.is_empty();
        let length = ANNOUNCEMENT_FIXED_BYTES + if names { 2 + name.len() + zone.len() } else { 0 };
        self.entry(TAG_ANNOUNCEMENT, length, |bytes| {
            put_address(bytes, announcement.address);
            put_u48(bytes, announcement.incarnation);
            bytes.extend(announcement.sequence.to_be_bytes());
            put_u48(bytes, announcement.affirmed_epoch);
            bytes.extend(announcement.traffic_tenths.to_be_bytes());
            bytes.extend(announcement.ordinal.to_be_bytes());
            bytes.push(
                if announcement.left { FLAG_LEFT } else { 0 }
                    | if announcement.considered_dead { FLAG_CONSIDERED_DEAD } else { 0 },
            );
            if names {
                for text in [name, zone] {
                    bytes.push(text.len() as u8);
                    bytes.extend(text.as_bytes());
                }
            }
        })
    }

    pub fn suspicion(&mut self, target: Address, incarnation: u64, epoch: u64, suspector: Address) -> bool {
        self.entry(TAG_SUSPICION, 24, |bytes| {
            put_address(bytes, target);
            put_u48(bytes, incarnation);
            put_u48(bytes, epoch);
            put_address(bytes, suspector);
        })
    }

    /// The sender's own word beside has room beside the news.
    pub fn own_payload(&mut self, own: &Announcement, payload: &Payload) {
        self.limit = (self.limit + 2 + PAYLOAD_FIXED_BYTES + payload.bytes.len()).min(MAX_MESSAGE_BYTES);
        self.payload(own.address, own.incarnation, payload, Duration::ZERO);
    }

    pub fn payload(&mut self, target: Address, incarnation: u64, payload: &Payload, age: Duration) -> bool {
        let bytes = &payload.bytes[..payload.bytes.len().min(MAX_PAYLOAD_BYTES)];
        let steps = (age.as_millis() as u64 / AGE_UNIT_MS).min(u64::from(u16::MAX)) as u16;
        self.entry(TAG_PAYLOAD, PAYLOAD_FIXED_BYTES + bytes.len(), |out| {
            put_address(out, target);
            out.extend((incarnation as u16).to_be_bytes());
            out.extend(payload.version.to_be_bytes());
            out.extend(steps.to_be_bytes());
            out.push(if payload.urgent { FLAG_URGENT } else { 0 });
            out.extend(bytes);
        })
    }

    /// They have room beside the news.
    pub fn partitions(&mut self, partitions: &[u16]) {
        self.limit = (self.limit + 2 + 2 * partitions.len()).min(MAX_MESSAGE_BYTES);
        self.entry(TAG_PARTITION_DIGESTS, 2 * partitions.len(), |bytes| {
            partitions.iter().for_each(|part| bytes.extend(part.to_be_bytes()));
        });
    }

    /// Bytes that are left for news.
    pub fn remaining_bytes(&self) -> usize {
        self.limit.saturating_sub(self.bytes.len())
    }

    /// How many members can be told to be dead, or to have affirmed an epoch, in one entry more.
    pub fn remaining_compact_entries(&self) -> usize {
        let free = self.limit.saturating_sub(self.bytes.len() + 2 + 6);
        (free / COMPACT_ENTRY_BYTES).min(MAX_COMPACT_ENTRIES)
    }

    /// Members, each with its life; at most as many as there is room for.
    pub fn deaths(&mut self, epoch: u64, members: &[(Address, u64)]) -> bool {
        self.compact_entries(TAG_DEATHS, epoch, members)
    }

    pub fn affirmations(&mut self, epoch: u64, members: &[(Address, u64)]) -> bool {
        self.compact_entries(TAG_AFFIRMATIONS, epoch, members)
    }

    fn compact_entries(&mut self, tag: u8, epoch: u64, members: &[(Address, u64)]) -> bool {
        if members.is_empty() {
            return true;
        }
        self.entry(tag, 6 + COMPACT_ENTRY_BYTES * members.len(), |bytes| {
            put_u48(bytes, epoch);
            for (address, incarnation) in members {
                put_address(bytes, *address);
                bytes.extend((*incarnation as u16).to_be_bytes());
            }
        })
    }

    /// Whom it is about, with its word where one is known. They have room beside the news.
    pub fn subject(&mut self, subject: Address, announcement: Option<&Announcement>) {
        self.limit += 8 + 2 + ANNOUNCEMENT_FIXED_BYTES;
        self.entry(TAG_SUBJECT, 6, |bytes| put_address(bytes, subject));
        if let Some(announcement) = announcement {
            self.announcement(announcement, false);
        }
        self.limit = self.limit.min(MAX_MESSAGE_BYTES);
    }

    pub fn finish(mut self, fleet: &str) -> Vec<u8> {
        let sum = checksum(fleet, &self.bytes);
        self.bytes[4..8].copy_from_slice(&sum);
        self.bytes
    }
}

/// No more than the bound, and whole characters.
pub fn truncated_name(text: &str) -> &str {
    let mut end = text.len().min(MAX_NAME_BYTES);
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

    fn uint(&mut self, count: usize) -> Option<u64> {
        Some(self.take(count)?.iter().fold(0, |uint, byte| uint << 8 | u64::from(*byte)))
    }

    fn address(&mut self) -> Option<Address> {
        let ip = Ipv4Addr::from(self.uint(4)? as u32);
        Some(Address::new(ip, self.uint(2)? as u16))
    }

    fn text(&mut self) -> Option<Box<str>> {
        let length = self.uint(1)? as usize;
        let text = std::str::from_utf8(self.take(length)?).ok()?;
        let plain = length <= MAX_NAME_BYTES && !text.chars().any(char::is_control);
        plain.then(|| text.into())
    }

    fn announcement(&mut self) -> Option<Announcement> {
        let mut announcement = Announcement {
            address: self.address()?,
            incarnation: self.uint(6)?,
            sequence: self.uint(4)? as u32,
            affirmed_epoch: self.uint(6)?,
            traffic_tenths: self.uint(2)? as u16,
            ordinal: self.uint(2)? as u16,
            left: false,
            considered_dead: false,
            name: "".into(),
            zone: "".into(),
        };
        let flags = self.uint(1)? as u8;
        (announcement.left, announcement.considered_dead) =
            (flags & FLAG_LEFT != 0, flags & FLAG_CONSIDERED_DEAD != 0);
        if !self.0.is_empty() {
            (announcement.name, announcement.zone) = (self.text()?, self.text()?);
        }
        Some(announcement)
    }
}

/// The header, and the bytes of the entries. The checksum goes before all else: what passes it was written so.
pub fn decode_header<'a>(bytes: &'a [u8], fleet: &str) -> Result<(Header, &'a [u8]), MessageError> {
    if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&bytes.len()) || bytes[0] != MAGIC {
        return Err(MessageError::Unrecognized);
    }
    if checksum(fleet, bytes) != bytes[4..8] {
        return Err(MessageError::Unrecognized);
    }
    let kind = match bytes[3] {
        1 => MessageKind::Ping,
        2 => MessageKind::Ack,
        3 => MessageKind::PingReq,
        4 => MessageKind::Gossip,
        5 => MessageKind::Nack,
        _ => return Err(MessageError::NewerVersion),
    };
    if bytes[2] > PROTOCOL_VERSION {
        return Err(MessageError::NewerVersion);
    }
    let mut rest = Bytes(&bytes[8..]);
    let partitions = (rest.uint(4), rest.uint(6), rest.uint(8));
    let (Some(number), Some(epoch), Some(digest)) = partitions else {
        return Err(MessageError::Unrecognized);
    };
    Ok((Header { kind, probe_number: number as u32, epoch, digest }, rest.0))
}

/// The first entry, which is the sender's own word, and the bytes after it.
pub fn decode_sender(entries: &[u8]) -> Option<(Announcement, &[u8])> {
    let mut rest = Bytes(entries);
    let (tag, length) = (rest.uint(1)?, rest.uint(1)? as usize);
    let mut own = Bytes(rest.take(length).filter(|_| tag == u64::from(TAG_ANNOUNCEMENT))?);
    Some((own.announcement()?, rest.0))
}

/// Reads entries up to the end, or to one that is cut or holds what it can't; that one's rest is lost.
pub fn decode_entries(bytes: &[u8], reader: &mut impl EntryVisitor) -> Option<()> {
    let mut rest = Bytes(bytes);
    while !rest.0.is_empty() {
        let (tag, length) = (rest.uint(1)? as u8, rest.uint(1)? as usize);
        let mut entry = Bytes(rest.take(length)?);
        match tag {
            TAG_ANNOUNCEMENT => reader.announcement(entry.announcement()?),
            TAG_SUSPICION => {
                reader.suspicion(entry.address()?, entry.uint(6)?, entry.uint(6)?, entry.address()?)
            }
            TAG_DEATHS => {
                let epoch = entry.uint(6)?;
                while !entry.0.is_empty() {
                    reader.death(entry.address()?, entry.uint(2)? as u16, epoch);
                }
            }
            TAG_SUBJECT => reader.subject(entry.address()?),
            TAG_AFFIRMATIONS => {
                let epoch = entry.uint(6)?;
                while !entry.0.is_empty() {
                    reader.affirmation(entry.address()?, entry.uint(2)? as u16, epoch);
                }
            }
            TAG_PAYLOAD => {
                let (target, incarnation_low) = (entry.address()?, entry.uint(2)? as u16);
                let (version, steps, flags) = (entry.uint(4)? as u32, entry.uint(2)?, entry.uint(1)? as u8);
                let payload = Payload { version, urgent: flags & FLAG_URGENT != 0, bytes: entry.0.into() };
                reader.payload(target, incarnation_low, payload, Duration::from_millis(steps * AGE_UNIT_MS));
            }
            TAG_PARTITION_DIGESTS => {
                let mut partitions = Vec::with_capacity(length / 2);
                while !entry.0.is_empty() {
                    partitions.push(entry.uint(2)? as u16);
                }
                reader.partitions(partitions);
            }
            // A later version's.
            _ => {}
        }
    }
    Some(())
}

/// The same message as a later version would write it: under its own number, with an entry that this one doesn't know. For
/// those who try how versions live together; none where it is no message of the fleet.
pub fn as_newer_version(bytes: &[u8], fleet: &str) -> Option<Vec<u8>> {
    const STRANGE: [u8; 5] = [200, 3, 1, 2, 3];
    decode_header(bytes, fleet).ok()?;
    let mut later = bytes.to_vec();
    later[1] = PROTOCOL_VERSION + 1;
    if later.len() + STRANGE.len() <= MAX_MESSAGE_BYTES {
        later.extend(STRANGE);
    }
    let sum = checksum(fleet, &later);
    later[4..8].copy_from_slice(&sum);
    Some(later)
}

/// Whether this can be read as a message of the fleet, whole; for those who try the reader.
pub fn is_well_formed(bytes: &[u8], fleet: &str) -> Result<bool, MessageError> {
    struct Nobody;
    impl EntryVisitor for Nobody {
        fn announcement(&mut self, _: Announcement) {}
        fn suspicion(&mut self, _: Address, _: u64, _: u64, _: Address) {}
        fn death(&mut self, _: Address, _: u16, _: u64) {}
        fn subject(&mut self, _: Address) {}
        fn affirmation(&mut self, _: Address, _: u16, _: u64) {}
        fn partitions(&mut self, _: Vec<u16>) {}
        fn payload(&mut self, _: Address, _: u16, _: Payload, _: Duration) {}
    }
    let (_, rest) = decode_header(bytes, fleet)?;
    Ok(decode_sender(rest).is_some_and(|(_, rest)| decode_entries(rest, &mut Nobody).is_some()))
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
    struct EntryHandler(Vec<String>);

    impl EntryVisitor for EntryHandler {
        fn announcement(&mut self, announcement: Announcement) {
            self.0.push(format!("{announcement:?}"));
        }
        fn suspicion(&mut self, target: Address, incarnation: u64, epoch: u64, suspector: Address) {
            self.0.push(format!("{suspector} accuses {target} {incarnation} {epoch}"));
        }
        fn death(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
            self.0.push(format!("{target} {incarnation_low} dead {epoch}"));
        }
        fn subject(&mut self, subject: Address) {
            self.0.push(format!("about {subject}"));
        }
        fn partitions(&mut self, partitions: Vec<u16>) {
            self.0.push(format!("{partitions:?}"));
        }
        fn affirmation(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
            self.0.push(format!("{target} {incarnation_low} alive {epoch}"));
        }
        fn payload(&mut self, target: Address, incarnation_low: u16, payload: Payload, age: Duration) {
            self.0.push(format!("{target} {incarnation_low} said {payload:?} {age:?} ago"));
        }
    }

    fn address(number: u16) -> Address {
        Address::new(Ipv4Addr::LOCALHOST, number)
    }

    fn announcement(number: u16, name: &str) -> Announcement {
        Announcement {
            address: address(number),
            incarnation: 1_800_000_000_000,
            sequence: 7,
            affirmed_epoch: 0x0102_0304_0506,
            traffic_tenths: 125,
            ordinal: 3,
            left: number % 2 == 1,
            considered_dead: number % 3 == 1,
            name: name.into(),
            zone: "zone-a".into(),
        }
    }

    const HEAD_OF_ALL: Header =
        Header { kind: MessageKind::PingReq, probe_number: 9, epoch: 77, digest: 0xfeed };

    fn message() -> Vec<u8> {
        let mut writer = MessageWriter::new(HEAD_OF_ALL, &announcement(1, "c1"), 600);
        writer.subject(address(2), Some(&announcement(2, "c2")));
        writer.announcement(&announcement(3, "c3"), true);
        writer.suspicion(address(4), 5, 6, address(7));
        writer.deaths(8, &[(address(9), 0x1_0002), (address(10), 4)]);
        writer.affirmations(11, &[(address(12), 5)]);
        writer.partitions(&[1, 2]);
        writer.finish("fleet")
    }

    /// As `message`, with these bytes after the header and a checksum that is right.
    fn sealed(kind: u8, least: u8, entries: &[u8]) -> Vec<u8> {
        let mut bytes = vec![MAGIC, PROTOCOL_VERSION, least, kind, 0, 0, 0, 0];
        bytes.extend([0; HEADER_BYTES - 8]);
        bytes.extend(&entries[..entries.len().min(MAX_MESSAGE_BYTES - HEADER_BYTES)]);
        let sum = checksum("fleet", &bytes);
        bytes[4..8].copy_from_slice(&sum);
        bytes
    }

    #[test]
    fn a_message_is_read_as_it_was_written() {
        let bytes = message();
        let (read, rest) = decode_header(&bytes, "fleet").expect("a message");
        assert_eq!(read, HEAD_OF_ALL);
        let (own, rest) = decode_sender(rest).expect("a word");
        assert_eq!(own, announcement(1, "c1"));
        let mut heard = EntryHandler::default();
        assert!(decode_entries(rest, &mut heard).is_some());
        let short = Announcement { name: "".into(), zone: "".into(), ..announcement(2, "") };
        let wanted = [
            "about 127.0.0.1:2".to_string(),
            format!("{short:?}"),
            format!("{:?}", announcement(3, "c3")),
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
            assert_eq!(is_well_formed(&garbled, "fleet"), Err(MessageError::Unrecognized), "bit {bit}");
        }
        assert!(
            (0..bytes.len())
                .all(|end| is_well_formed(&bytes[..end], "fleet") == Err(MessageError::Unrecognized))
        );
        assert_eq!(is_well_formed(&bytes, "another"), Err(MessageError::Unrecognized));
        assert_eq!(
            is_well_formed(&sealed(4, PROTOCOL_VERSION + 1, &[]), "fleet"),
            Err(MessageError::NewerVersion)
        );
        assert_eq!(
            is_well_formed(&sealed(77, PROTOCOL_VERSION, &[]), "fleet"),
            Err(MessageError::NewerVersion)
        );
        // Entries that only a later version knows are passed over.
        let mut writer = MessageWriter::new(HEAD_OF_ALL, &announcement(1, "c1"), 600);
        writer.entry(99, 5, |bytes| bytes.extend([1, 2, 3, 4, 5]));
        writer.deaths(8, &[(address(9), 2)]);
        assert_eq!(is_well_formed(&writer.finish("fleet"), "fleet"), Ok(true));
    }

    #[test]
    fn no_message_is_longer_than_the_bound_and_long_names_are_cut_between_characters() {
        let mut writer = MessageWriter::new(
            HEAD_OF_ALL,
            &announcement(1, &"\u{e9}".repeat(60)),
            usize::MAX - MAX_MESSAGE_BYTES,
        );
        while writer.announcement(&announcement(2, &"n".repeat(70)), true) {}
        while writer.remaining_compact_entries() > 0 {
            let many = vec![(address(1), 1); writer.remaining_compact_entries()];
            assert!(writer.deaths(1, &many));
        }
        let bytes = writer.finish("fleet");
        assert!(bytes.len() <= MAX_MESSAGE_BYTES && is_well_formed(&bytes, "fleet") == Ok(true));
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
            .run(&(any::<u8>(), 0u8..3, entries, any::<u16>()), |(kind, least, partitions, cut)| {
                let mut body = Vec::new();
                for (tag, bytes, honest) in partitions {
                    let length = bytes.len() as u8;
                    body.extend([tag, if honest { length } else { length.wrapping_mul(3) }]);
                    body.extend(bytes);
                }
                body.truncate(usize::from(cut));
                let bytes = sealed(kind % 8, least, &body);
                let _ = is_well_formed(&bytes, "fleet");
                let _ = is_well_formed(&body, "fleet");
                Ok(())
            })
            .expect("nothing panics");
    }
}
