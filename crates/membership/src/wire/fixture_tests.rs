//! Encoded messages, compared with `tests/fixtures/messages.txt`. LANDINGSPREAD_WRITE_FIXTURES=1 rewrites the file.

use super::format::*;
use super::*;
use crate::member::{Address, Announcement, Payload};
use std::net::Ipv4Addr;
use std::time::Duration;

#[derive(Default)]
struct EntryTexts(Vec<String>);

fn announcement_text(announcement: &Announcement) -> String {
    let Announcement {
        address,
        incarnation,
        sequence,
        affirmed_epoch,
        request_rate_tenths,
        ordinal,
        left,
        considered_dead,
        name,
        zone,
    } = announcement;
    format!(
        "{address} {incarnation} {sequence} {affirmed_epoch} {request_rate_tenths} {ordinal} {left} {considered_dead} {name:?} {zone:?}"
    )
}

impl EntryVisitor for EntryTexts {
    fn announcement(&mut self, announcement: Announcement) {
        self.0.push(format!("1 {}", announcement_text(&announcement)));
    }
    fn suspicion(&mut self, target: Address, incarnation: u64, epoch: u64, suspector: Address) {
        self.0.push(format!("2 {target} {incarnation} {epoch} {suspector}"));
    }
    fn death(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
        self.0.push(format!("3 {target} {incarnation_low} {epoch}"));
    }
    fn subject(&mut self, subject: Address) {
        self.0.push(format!("4 {subject}"));
    }
    fn affirmation(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
        self.0.push(format!("5 {target} {incarnation_low} {epoch}"));
    }
    fn partition_digests(&mut self, partitions: Vec<u16>) {
        self.0.push(format!("6 {partitions:?}"));
    }
    fn payload(&mut self, target: Address, incarnation_low: u16, payload: Payload, age: Duration) {
        let (version, urgent, bytes) = (payload.version, payload.urgent, &payload.bytes);
        self.0.push(format!("7 {target} {incarnation_low} {version} {urgent} {bytes:?} {age:?}"));
    }
}

fn address(number: u16) -> Address {
    Address::new(Ipv4Addr::new(10, 1, 2, 3), 7000 + number)
}

fn announcement(number: u16, name: &str, zone: &str) -> Announcement {
    Announcement {
        address: address(number),
        incarnation: 0x0102_0304_0506 + u64::from(number),
        sequence: 0xa1b2_c3d4,
        affirmed_epoch: 0x0a0b_0c0d_0e0f,
        request_rate_tenths: 0x1234,
        ordinal: 0xfffe - number,
        left: number % 2 == 1,
        considered_dead: number / 2 % 2 == 1,
        name: name.into(),
        zone: zone.into(),
    }
}

/// Labelled messages with every entry in every form, for every message kind, and one message that is full.
fn messages() -> Vec<(String, Vec<u8>)> {
    let payload = Payload { version: 0x0708_090a, urgent: true, bytes: b"beside".as_slice().into() };
    let not_urgent = Payload { urgent: false, bytes: vec![9; 250].into(), ..payload.clone() };
    let second = Duration::from_secs(1);
    let long_name = "\u{e9}".repeat(60);
    type LabelledWrite<'a> = (&'a str, Box<dyn Fn(&mut MessageWriter) + 'a>);
    let writes: [LabelledWrite; 14] = [
        ("nothing", Box::new(|_| ())),
        ("own-said", Box::new(|writer| writer.own_payload(&announcement(0, "", ""), &payload))),
        ("word-named", Box::new(|writer| assert!(writer.announcement(&announcement(1, "c1", ""), true)))),
        ("word-short", Box::new(|writer| assert!(writer.announcement(&announcement(2, "c2", "b"), false)))),
        ("word-nameless", Box::new(|writer| assert!(writer.announcement(&announcement(3, "", "b"), true)))),
        (
            "word-long",
            Box::new(|writer| assert!(writer.announcement(&announcement(4, &long_name, &long_name), true))),
        ),
        ("accused", Box::new(|writer| assert!(writer.suspicion(address(1), 5, 6, address(2))))),
        ("dead", Box::new(|writer| assert!(writer.deaths(8, &[(address(9), 0x1_0002), (address(10), 4)])))),
        ("affirmed", Box::new(|writer| assert!(writer.affirmations(11, &[(address(12), 0xf_fff0)])))),
        ("nobody", Box::new(|writer| assert!(writer.deaths(8, &[]) && writer.affirmations(8, &[])))),
        ("parts", Box::new(|writer| writer.partition_digests(&[1, 2, 0xffff]))),
        ("subject", Box::new(|writer| writer.subject(address(5), None))),
        ("subject-known", Box::new(|writer| writer.subject(address(5), Some(&announcement(5, "c5", "a"))))),
        (
            "said",
            Box::new(|writer| {
                assert!(writer.payload(address(6), 0x1_0007, &payload, second / 8));
                assert!(writer.payload(address(6), 7, &not_urgent, second * 700));
            }),
        ),
    ];
    let kinds =
        [MessageKind::Ping, MessageKind::Ack, MessageKind::PingReq, MessageKind::Gossip, MessageKind::Nack];
    let mut messages = Vec::new();
    for kind in kinds {
        for (label, write) in &writes {
            let header = Header {
                kind,
                probe_number: 0xfedc_ba98,
                epoch: 0x1122_3344_5566,
                digest: 0xfeed_beef_0123_4567,
            };
            let mut writer = MessageWriter::new(header, &announcement(0, "own", "zone-a"), 700);
            write(&mut writer);
            let bytes = writer.finish("fleet");
            messages.push((
                format!("{} {label} later", kind as u8),
                as_newer_version(&bytes, "fleet").expect("the encoded message has a valid header"),
            ));
            messages.push((format!("{} {label}", kind as u8), bytes));
        }
    }
    let header = Header { kind: MessageKind::Gossip, probe_number: 0, epoch: 1, digest: 0 };
    let mut full = MessageWriter::new(header, &announcement(0, "own", "a"), usize::MAX - MAX_MESSAGE_BYTES);
    while full.announcement(&announcement(4, "many", "b"), true) {}
    let remaining = full.remaining_compact_entries();
    assert!(full.deaths(3, &vec![(address(1), 1); remaining]));
    messages
        .push((format!("full, room for {remaining}, then {}", full.remaining_bytes()), full.finish("fleet")));
    messages
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decoded_text(bytes: &[u8]) -> String {
    let (header, rest) = decode_header(bytes, "fleet").expect("the header is valid");
    let (sender, rest) = decode_sender(rest).expect("the first entry is the sender's announcement");
    let mut entries = EntryTexts::default();
    let complete = decode_entries(rest, &mut entries).is_some();
    let Header { kind, probe_number, epoch, digest } = header;
    let start = format!("{} {probe_number} {epoch} {digest} of {}", kind as u8, announcement_text(&sender));
    format!("{start}; {}; whole {complete}", entries.0.join("; "))
}

#[test]
fn message_bytes_and_decoded_values_match_the_fixture() {
    let mut text = String::new();
    for (label, bytes) in messages() {
        text += &format!("{label}\n  {}\n  {}\n", hex(&bytes), decoded_text(&bytes));
    }
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");
    if std::env::var_os("LANDINGSPREAD_WRITE_FIXTURES").is_some() {
        std::fs::write(path, &text).expect("the fixture file is writable");
    }
    let fixture = std::fs::read_to_string(path).expect("the fixture file is readable");
    assert_eq!(text.lines().count(), fixture.lines().count());
    text.lines().zip(fixture.lines()).for_each(|(actual, expected)| assert_eq!(actual, expected));
}
