//! A seeded run of seven members in virtual time, with message loss, a partition, a crash, restarts, a leave and a pause.
//! A digest of all sent bytes, and all views and events, are compared with `fixtures/trace.txt`, which detects any change
//! in the order of messages or random draws. LANDINGSPREAD_WRITE_FIXTURES=1 rewrites the file.

use landingspread_membership::{Address, Budget, Host, Member, MemberConfig, Membership};
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::time::Duration;

#[derive(Default)]
struct TestHost {
    out: Vec<(Address, Vec<u8>)>,
    events: Vec<String>,
}

impl TestHost {
    fn event(&mut self, event: &str, member: &Member) {
        self.events.push(format!("{event} {}", member.address()));
    }
}

impl Host for TestHost {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        self.out.push((to, bytes.to_vec()));
    }
    fn joined(&mut self, member: &Member) {
        self.event("joined", member);
    }
    fn suspected(&mut self, member: &Member) {
        self.event("suspected", member);
    }
    fn refuted(&mut self, member: &Member) {
        self.event("refuted", member);
    }
    fn died(&mut self, member: &Member, agreed: bool) {
        self.event(if agreed { "died" } else { "died alone" }, member);
    }
    fn returned(&mut self, member: &Member) {
        self.event("returned", member);
    }
    fn left(&mut self, member: &Member) {
        self.event("left", member);
    }
    fn duplicate_name(&mut self, known: &Member, joined: &Member) {
        self.event("twin", known);
        self.event("twin", joined);
    }
    fn presumed_dead(&mut self) {
        self.events.push("taken for dead".into());
    }
    fn table_full(&mut self, rejected: usize) {
        self.events.push(format!("full {rejected}"));
    }
}

const MEMBER_COUNT: u32 = 7;
const TICK_MS: u64 = 50;
const END_MS: u64 = 30_000;

fn address(number: u32) -> Address {
    Address::new(Ipv4Addr::from(0x0a00_0000 + number), 7000)
}

fn start(number: u32, incarnation: u64, now: Duration) -> Membership<TestHost> {
    let config = MemberConfig {
        address: address(number),
        // Two members have the same name.
        name: format!("c{}", number.min(MEMBER_COUNT - 2)),
        zone: format!("z{}", number % 3),
        fleet: "f".into(),
        incarnation,
        seeds: vec![address(0), address(1)],
        budget: Budget::default(),
        configured_members: 3.0,
    };
    Membership::start(TestHost::default(), config, incarnation * 31 + u64::from(number), now)
}

/// Extends an FNV-1a digest by these bytes.
fn extend_digest(digest: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Whether the script, or pseudorandom loss derived from the message's number, drops a message.
fn is_lost(at_ms: u64, from: u32, to: u32, number: u64) -> bool {
    let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    match at_ms {
        4000..7000 => random % 10 < 3,
        // A partition separates two members from the others, and later one member.
        7000..12_000 => (from < 2) != (to < 2),
        16_000..21_000 => from == 3 || to == 3,
        _ => random.is_multiple_of(50),
    }
}

fn view_text(viewer: &Membership<TestHost>) -> String {
    let mut text = format!(
        "{} epoch {} live {} digest {:016x} doubt {} hears {}",
        viewer.address().ip(),
        viewer.epoch(),
        viewer.live_count(),
        viewer.digest(),
        viewer.health_penalty(),
        viewer.has_recent_contact()
    );
    let (fleet_size, counters) = (viewer.fleet_size(), viewer.counters());
    let size_figures =
        (fleet_size.members, fleet_size.possibly_live, fleet_size.ordinal(), fleet_size.mean_request_rate);
    let message_counters = (
        counters.datagrams,
        counters.bytes,
        counters.suppressed,
        counters.unrecognized,
        counters.newer_version,
    );
    let _ = write!(text, " {size_figures:?} {message_counters:?}");
    for member in viewer.members() {
        let (state, state_since, last_heard) =
            (member.state().name(), member.state_since(), member.last_heard());
        let (incarnation, affirmed_epoch, ordinal) =
            (member.incarnation(), member.affirmed_epoch(), member.ordinal());
        let payload = member.payload().map(|(payload, published_at)| (payload.len(), published_at));
        let names = (member.name(), member.zone(), member.requests_per_s());
        let ip = member.address().ip().octets()[3];
        let _ = write!(
            text,
            "; {ip} {state} {state_since:?} {last_heard:?} {incarnation} {affirmed_epoch} {ordinal} {names:?} {payload:?}"
        );
    }
    text
}

fn run() -> String {
    let mut text = String::new();
    let ms = Duration::from_millis;
    let mut members: Vec<Option<Membership<TestHost>>> =
        (0..MEMBER_COUNT).map(|number| Some(start(number, 1000 + u64::from(number), ms(0)))).collect();
    let (mut digest, mut sent) = (0xcbf2_9ce4_8422_2325, 0);
    for at in (0..END_MS).step_by(TICK_MS as usize) {
        let now = ms(at);
        match at {
            1000 => members[4].as_mut().expect("the member is running").set_payload(b"quiet", false),
            2500 => members[2].as_mut().expect("the member is running").set_payload(b"pressing", true),
            13_000 => members[5] = None,
            14_500 => members[5] = Some(start(5, 9000, now)),
            22_000 => members[6].as_mut().expect("the member is running").leave(now),
            22_100 => members[6] = None,
            26_000 => members[6] = Some(start(6, 9100, now)),
            _ => {}
        }
        for member in members.iter_mut().flatten() {
            member.set_request_rate(f64::from(member.address().ip().octets()[3]) * 1.5);
        }
        // Member 1 is paused for 1.5 s.
        let is_paused = |number: usize| number == 1 && (24_000..25_500).contains(&at);
        for (number, member) in members.iter_mut().enumerate() {
            member.iter_mut().filter(|_| !is_paused(number)).for_each(|member| member.tick(now));
        }
        for _ in 0..4 {
            for from in 0..MEMBER_COUNT {
                let Some(member) = members[from as usize].as_mut() else { continue };
                for (to, bytes) in std::mem::take(&mut member.host().out) {
                    sent += 1;
                    digest = extend_digest(extend_digest(digest, &to.ip().octets()), &bytes);
                    let to = u32::from(*to.ip()) - 0x0a00_0000;
                    let reaches = !is_lost(at, from, to, sent) && !is_paused(to as usize);
                    let receiver = members[to as usize].as_mut().filter(|_| reaches);
                    receiver.into_iter().for_each(|member| member.receive(now, &bytes));
                }
            }
        }
        if (at + TICK_MS).is_multiple_of(1000) {
            let _ = writeln!(text, "{now:?} sent {sent} bytes {digest:016x}");
            for member in members.iter_mut().flatten() {
                let events = std::mem::take(&mut member.host().events);
                let _ = writeln!(text, "  {}\n    {}", view_text(member), events.join(", "));
            }
        }
    }
    text
}

#[test]
fn messages_and_views_of_a_scripted_run_match_the_fixture() {
    let text = run();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/trace.txt");
    if std::env::var_os("LANDINGSPREAD_WRITE_FIXTURES").is_some() {
        std::fs::write(path, &text).expect("the fixture file is writable");
    }
    let fixture = std::fs::read_to_string(path).expect("the fixture file is readable");
    text.lines().zip(fixture.lines()).for_each(|(actual, expected)| assert_eq!(actual, expected));
    assert_eq!(text.len(), fixture.len());
}
