//! Round trips through the encoder and the decoder, and decoding of damaged messages and of arbitrary bytes.

use super::format::*;
use super::*;
use crate::member::{Address, Announcement, Payload};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::net::Ipv4Addr;
use std::time::Duration;

#[derive(Default, Debug, PartialEq)]
struct EntryTexts(Vec<String>);

impl EntryVisitor for EntryTexts {
    fn announcement(&mut self, announcement: Announcement) {
        self.0.push(format!("{announcement:?}"));
    }
    fn suspicion(&mut self, target: Address, incarnation: u64, epoch: u64, suspector: Address) {
        self.0.push(format!("{suspector} suspects {target} {incarnation} {epoch}"));
    }
    fn death(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
        self.0.push(format!("{target} {incarnation_low} dead {epoch}"));
    }
    fn subject(&mut self, subject: Address) {
        self.0.push(format!("about {subject}"));
    }
    fn partition_digests(&mut self, partitions: Vec<u16>) {
        self.0.push(format!("{partitions:?}"));
    }
    fn affirmation(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
        self.0.push(format!("{target} {incarnation_low} alive {epoch}"));
    }
    fn payload(&mut self, target: Address, incarnation_low: u16, payload: Payload, age: Duration) {
        self.0.push(format!("{target} {incarnation_low} published {payload:?} {age:?} ago"));
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
        request_rate_tenths: 125,
        ordinal: 3,
        left: number % 2 == 1,
        considered_dead: number % 3 == 1,
        name: name.into(),
        zone: "zone-a".into(),
    }
}

const HEADER: Header = Header { kind: MessageKind::PingReq, probe_number: 9, epoch: 77, digest: 0xfeed };

fn message() -> Vec<u8> {
    let mut writer = MessageWriter::new(HEADER, &announcement(1, "c1"), 600);
    writer.subject(address(2), Some(&announcement(2, "c2")));
    writer.announcement(&announcement(3, "c3"), true);
    writer.suspicion(address(4), 5, 6, address(7));
    writer.deaths(8, &[(address(9), 0x1_0002), (address(10), 4)]);
    writer.affirmations(11, &[(address(12), 5)]);
    writer.partition_digests(&[1, 2]);
    writer.finish("fleet")
}

/// A message with a valid checksum and these bytes after the header, truncated to the maximum message length.
/// `min_version` is the oldest protocol version that can decode it.
fn message_with_checksum(kind: u8, min_version: u8, entries: &[u8]) -> Vec<u8> {
    let mut bytes = vec![MAGIC, PROTOCOL_VERSION, min_version, kind, 0, 0, 0, 0];
    bytes.extend([0; HEADER_BYTES - 8]);
    bytes.extend(&entries[..entries.len().min(MAX_MESSAGE_BYTES - HEADER_BYTES)]);
    let sum = checksum("fleet", &bytes);
    bytes[4..8].copy_from_slice(&sum);
    bytes
}

#[test]
fn message_decodes_to_the_encoded_values() {
    let bytes = message();
    let (header, rest) = decode_header(&bytes, "fleet").expect("the header is valid");
    assert_eq!(header, HEADER);
    let (sender, rest) = decode_sender(rest).expect("the first entry is the sender's announcement");
    assert_eq!(sender, announcement(1, "c1"));
    let mut decoded = EntryTexts::default();
    assert!(decode_entries(rest, &mut decoded).is_some());
    let short = Announcement { name: "".into(), zone: "".into(), ..announcement(2, "") };
    let expected = [
        "about 127.0.0.1:2".to_string(),
        format!("{short:?}"),
        format!("{:?}", announcement(3, "c3")),
        "127.0.0.1:7 suspects 127.0.0.1:4 5 6".into(),
        "127.0.0.1:9 2 dead 8".into(),
        "127.0.0.1:10 4 dead 8".into(),
        "127.0.0.1:12 5 alive 11".into(),
        "[1, 2]".into(),
    ];
    assert_eq!(decoded.0, expected);
}

#[test]
fn damaged_truncated_foreign_and_newer_messages_are_rejected() {
    let bytes = message();
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(
            is_well_formed(&damaged, "fleet"),
            Err(MessageError::Unrecognized),
            "message with bit {bit} flipped"
        );
    }
    assert!(
        (0..bytes.len()).all(|end| is_well_formed(&bytes[..end], "fleet") == Err(MessageError::Unrecognized))
    );
    assert_eq!(is_well_formed(&bytes, "another"), Err(MessageError::Unrecognized));
    assert_eq!(
        is_well_formed(&message_with_checksum(4, PROTOCOL_VERSION + 1, &[]), "fleet"),
        Err(MessageError::NewerVersion)
    );
    assert_eq!(
        is_well_formed(&message_with_checksum(77, PROTOCOL_VERSION, &[]), "fleet"),
        Err(MessageError::NewerVersion)
    );
    // Entries of unknown types are skipped.
    let mut writer = MessageWriter::new(HEADER, &announcement(1, "c1"), 600);
    writer.entry(99, 5, |bytes| bytes.extend([1, 2, 3, 4, 5]));
    writer.deaths(8, &[(address(9), 2)]);
    assert_eq!(is_well_formed(&writer.finish("fleet"), "fleet"), Ok(true));
}

#[test]
fn messages_respect_the_limit_and_names_end_on_char_boundaries() {
    let mut writer =
        MessageWriter::new(HEADER, &announcement(1, &"\u{e9}".repeat(60)), usize::MAX - MAX_MESSAGE_BYTES);
    while writer.announcement(&announcement(2, &"n".repeat(70)), true) {}
    while writer.remaining_compact_entries() > 0 {
        let dead = vec![(address(1), 1); writer.remaining_compact_entries()];
        assert!(writer.deaths(1, &dead));
    }
    let bytes = writer.finish("fleet");
    assert!(bytes.len() <= MAX_MESSAGE_BYTES && is_well_formed(&bytes, "fleet") == Ok(true));
}

/// Runs 100,000 cases, or the number in LANDINGSPREAD_INPUTS.
#[test]
fn arbitrary_bytes_are_decoded_or_rejected() {
    let configured_cases = std::env::var("LANDINGSPREAD_INPUTS").ok().and_then(|text| text.parse().ok());
    let config = Config {
        cases: configured_cases.unwrap_or(100_000),
        rng_seed: RngSeed::Fixed(30),
        failure_persistence: None,
        ..Config::default()
    };
    let entry = (0u8..8, prop::collection::vec(any::<u8>(), 0..60), any::<bool>());
    let entries = prop::collection::vec(entry, 0..8);
    TestRunner::new(config)
        .run(&(any::<u8>(), 0u8..3, entries, any::<u16>()), |(kind, min_version, entries, end)| {
            let mut body = Vec::new();
            for (tag, bytes, valid_length) in entries {
                let length = bytes.len() as u8;
                body.extend([tag, if valid_length { length } else { length.wrapping_mul(3) }]);
                body.extend(bytes);
            }
            body.truncate(usize::from(end));
            let bytes = message_with_checksum(kind % 8, min_version, &body);
            let _ = is_well_formed(&bytes, "fleet");
            let _ = is_well_formed(&body, "fleet");
            Ok(())
        })
        .expect("decoding arbitrary bytes must not panic");
}
