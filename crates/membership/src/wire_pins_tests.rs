//! Messages as bytes, compared with `tests/fixtures/messages.txt`; LANDINGSPREAD_WRITE_FIXTURES=1 writes that file anew.

use super::*;

#[derive(Default)]
struct Entries(Vec<String>);

fn word_text(word: &Word) -> String {
    let Word { address, life, beat, affirmed, traffic, place, left, gone, name, zone } = word;
    format!("{address} {life} {beat} {affirmed} {traffic} {place} {left} {gone} {name:?} {zone:?}")
}

impl Reader for Entries {
    fn word(&mut self, word: Word) {
        self.0.push(format!("1 {}", word_text(&word)));
    }
    fn accused(&mut self, target: Address, life: u64, epoch: u64, accuser: Address) {
        self.0.push(format!("2 {target} {life} {epoch} {accuser}"));
    }
    fn dead(&mut self, target: Address, life_end: u16, epoch: u64) {
        self.0.push(format!("3 {target} {life_end} {epoch}"));
    }
    fn subject(&mut self, subject: Address) {
        self.0.push(format!("4 {subject}"));
    }
    fn affirmed(&mut self, target: Address, life_end: u16, epoch: u64) {
        self.0.push(format!("5 {target} {life_end} {epoch}"));
    }
    fn parts(&mut self, parts: Vec<u16>) {
        self.0.push(format!("6 {parts:?}"));
    }
    fn said(&mut self, target: Address, life_end: u16, said: Said, age: Duration) {
        let (number, presses, bytes) = (said.number, said.presses, &said.bytes);
        self.0.push(format!("7 {target} {life_end} {number} {presses} {bytes:?} {age:?}"));
    }
}

fn address(number: u16) -> Address {
    Address::new(Ipv4Addr::new(10, 1, 2, 3), 7000 + number)
}

fn word(number: u16, name: &str, zone: &str) -> Word {
    Word {
        address: address(number),
        life: 0x0102_0304_0506 + u64::from(number),
        beat: 0xa1b2_c3d4,
        affirmed: 0x0a0b_0c0d_0e0f,
        traffic: 0x1234,
        place: 0xfffe - number,
        left: number % 2 == 1,
        gone: number / 2 % 2 == 1,
        name: name.into(),
        zone: zone.into(),
    }
}

/// Every entry, in every form, each in a message of every kind.
fn messages() -> Vec<(String, Vec<u8>)> {
    let said = Said { number: 0x0708_090a, presses: true, bytes: b"beside".as_slice().into() };
    let quiet = Said { presses: false, bytes: vec![9; 250].into(), ..said.clone() };
    let second = Duration::from_secs(1);
    let long = "\u{e9}".repeat(60);
    type Put<'a> = (&'a str, Box<dyn Fn(&mut Writer) + 'a>);
    let puts: [Put; 14] = [
        ("nothing", Box::new(|_| ())),
        ("own-said", Box::new(|writer| writer.own_said(&word(0, "", ""), &said))),
        ("word-named", Box::new(|writer| assert!(writer.word(&word(1, "c1", ""), true)))),
        ("word-short", Box::new(|writer| assert!(writer.word(&word(2, "c2", "b"), false)))),
        ("word-nameless", Box::new(|writer| assert!(writer.word(&word(3, "", "b"), true)))),
        ("word-long", Box::new(|writer| assert!(writer.word(&word(4, &long, &long), true)))),
        ("accused", Box::new(|writer| assert!(writer.accused(address(1), 5, 6, address(2))))),
        ("dead", Box::new(|writer| assert!(writer.dead(8, &[(address(9), 0x1_0002), (address(10), 4)])))),
        ("affirmed", Box::new(|writer| assert!(writer.affirmed(11, &[(address(12), 0xf_fff0)])))),
        ("nobody", Box::new(|writer| assert!(writer.dead(8, &[]) && writer.affirmed(8, &[])))),
        ("parts", Box::new(|writer| writer.parts(&[1, 2, 0xffff]))),
        ("subject", Box::new(|writer| writer.subject(address(5), None))),
        ("subject-known", Box::new(|writer| writer.subject(address(5), Some(&word(5, "c5", "a"))))),
        (
            "said",
            Box::new(|writer| {
                assert!(writer.said(address(6), 0x1_0007, &said, second / 8));
                assert!(writer.said(address(6), 7, &quiet, second * 700));
            }),
        ),
    ];
    let kinds = [Kind::Ping, Kind::Ack, Kind::Ask, Kind::News, Kind::Nack];
    let mut all = Vec::new();
    for kind in kinds {
        for (what, put) in &puts {
            let head =
                Head { kind, number: 0xfedc_ba98, epoch: 0x1122_3344_5566, digest: 0xfeed_beef_0123_4567 };
            let mut writer = Writer::new(head, &word(0, "own", "zone-a"), 700);
            put(&mut writer);
            let bytes = writer.finish("fleet");
            all.push((format!("{} {what} later", kind as u8), as_later(&bytes, "fleet").expect("a message")));
            all.push((format!("{} {what}", kind as u8), bytes));
        }
    }
    let head = Head { kind: Kind::News, number: 0, epoch: 1, digest: 0 };
    let mut full = Writer::new(head, &word(0, "own", "a"), usize::MAX - MOST);
    while full.word(&word(4, "many", "b"), true) {}
    let room = full.room_for_many();
    assert!(full.dead(3, &vec![(address(1), 1); room]));
    all.push((format!("full, room for {room}, then {}", full.room()), full.finish("fleet")));
    all
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn read_text(bytes: &[u8]) -> String {
    let (read, rest) = head(bytes, "fleet").expect("a message");
    let (own, rest) = sender(rest).expect("a word");
    let mut heard = Entries::default();
    let all = entries(rest, &mut heard).is_some();
    let Head { kind, number, epoch, digest } = read;
    let head = format!("{} {number} {epoch} {digest} of {}", kind as u8, word_text(&own));
    format!("{head}; {}; whole {all}", heard.0.join("; "))
}

#[test]
fn messages_are_the_bytes_of_the_fixture_and_are_read_to_the_same_values() {
    let mut text = String::new();
    for (what, bytes) in messages() {
        text += &format!("{what}\n  {}\n  {}\n", hex(&bytes), read_text(&bytes));
    }
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");
    if std::env::var_os("LANDINGSPREAD_WRITE_FIXTURES").is_some() {
        std::fs::write(path, &text).expect("the fixture is written");
    }
    let fixture = std::fs::read_to_string(path).expect("the fixture");
    assert_eq!(text.lines().count(), fixture.lines().count());
    text.lines().zip(fixture.lines()).for_each(|(now, then)| assert_eq!(now, then));
}
