//! A scripted run of seven members, seeded and in virtual time, with losses, a cut, a kill, a restart and a leave: all sent
//! bytes and all views, digested into `fixtures/trace.txt`, so that a draw or an order that moves shows.
//! LANDINGSPREAD_WRITE_FIXTURES=1 writes that file anew.

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
    fn event(&mut self, what: &str, member: &Member) {
        self.events.push(format!("{what} {}", member.address()));
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
    fn duplicate_name(&mut self, one: &Member, other: &Member) {
        self.event("twin", one);
        self.event("twin", other);
    }
    fn presumed_dead(&mut self) {
        self.events.push("taken for dead".into());
    }
    fn table_full(&mut self, refused: usize) {
        self.events.push(format!("full {refused}"));
    }
}

const COUNT: u32 = 7;
const TICK_MS: u64 = 50;
const END_MS: u64 = 30_000;

fn address(number: u32) -> Address {
    Address::new(Ipv4Addr::from(0x0a00_0000 + number), 7000)
}

fn start(number: u32, incarnation: u64, now: Duration) -> Membership<TestHost> {
    let about = MemberConfig {
        address: address(number),
        // Two members have the same name.
        name: format!("c{}", number.min(COUNT - 2)),
        zone: format!("z{}", number % 3),
        fleet: "f".into(),
        incarnation,
        seeds: vec![address(0), address(1)],
        budget: Budget::default(),
        configured_members: 3.0,
    };
    Membership::start(TestHost::default(), about, incarnation * 31 + u64::from(number), now)
}

/// FNV-1a.
fn digested(digest: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Whether a message is lost, by its number and by the script.
fn lost(at_ms: u64, from: u32, to: u32, number: u64) -> bool {
    let by_chance = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    match at_ms {
        4000..7000 => by_chance % 10 < 3,
        // A cut of two, then of one alone.
        7000..12_000 => (from < 2) != (to < 2),
        16_000..21_000 => from == 3 || to == 3,
        _ => by_chance.is_multiple_of(50),
    }
}

fn view(copy: &Membership<TestHost>) -> String {
    let mut text = format!(
        "{} epoch {} live {} digest {:016x} doubt {} hears {}",
        copy.address().ip(),
        copy.epoch(),
        copy.live_count(),
        copy.digest(),
        copy.health_penalty(),
        copy.has_recent_contact()
    );
    let (fleet_size, counters) = (copy.fleet_size(), copy.counters());
    let figures =
        (fleet_size.members, fleet_size.possibly_live, fleet_size.ordinal(), fleet_size.mean_request_rate);
    let sent = (
        counters.datagrams,
        counters.bytes,
        counters.suppressed,
        counters.unrecognized,
        counters.newer_version,
    );
    let _ = write!(text, " {figures:?} {sent:?}");
    for member in copy.members() {
        let (state, since, heard) = (member.state().name(), member.state_since(), member.last_heard());
        let (incarnation, affirmed_epoch, ordinal) =
            (member.incarnation(), member.affirmed_epoch(), member.ordinal());
        let said = member.payload().map(|(said, at)| (said.len(), at));
        let names = (member.name(), member.zone(), member.requests_per_s());
        let ip = member.address().ip().octets()[3];
        let _ = write!(
            text,
            "; {ip} {state} {since:?} {heard:?} {incarnation} {affirmed_epoch} {ordinal} {names:?} {said:?}"
        );
    }
    text
}

fn run() -> String {
    let mut text = String::new();
    let ms = Duration::from_millis;
    let mut copies: Vec<Option<Membership<TestHost>>> =
        (0..COUNT).map(|number| Some(start(number, 1000 + u64::from(number), ms(0)))).collect();
    let (mut digest, mut sent) = (0xcbf2_9ce4_8422_2325, 0);
    for at in (0..END_MS).step_by(TICK_MS as usize) {
        let now = ms(at);
        match at {
            1000 => copies[4].as_mut().expect("it runs").set_payload(b"quiet", false),
            2500 => copies[2].as_mut().expect("it runs").set_payload(b"pressing", true),
            13_000 => copies[5] = None,
            14_500 => copies[5] = Some(start(5, 9000, now)),
            22_000 => copies[6].as_mut().expect("it runs").leave(now),
            22_100 => copies[6] = None,
            26_000 => copies[6] = Some(start(6, 9100, now)),
            _ => {}
        }
        for copy in copies.iter_mut().flatten() {
            copy.set_request_rate(f64::from(copy.address().ip().octets()[3]) * 1.5);
        }
        // One is paused for a while.
        let still = |number: usize| number == 1 && (24_000..25_500).contains(&at);
        for (number, copy) in copies.iter_mut().enumerate() {
            copy.iter_mut().filter(|_| !still(number)).for_each(|copy| copy.tick(now));
        }
        for _ in 0..4 {
            for from in 0..COUNT {
                let Some(copy) = copies[from as usize].as_mut() else { continue };
                for (to, bytes) in std::mem::take(&mut copy.host().out) {
                    sent += 1;
                    digest = digested(digested(digest, &to.ip().octets()), &bytes);
                    let to = u32::from(*to.ip()) - 0x0a00_0000;
                    let reaches = !lost(at, from, to, sent) && !still(to as usize);
                    let hears = copies[to as usize].as_mut().filter(|_| reaches);
                    hears.into_iter().for_each(|copy| copy.receive(now, &bytes));
                }
            }
        }
        if (at + TICK_MS).is_multiple_of(1000) {
            let _ = writeln!(text, "{now:?} sent {sent} bytes {digest:016x}");
            for copy in copies.iter_mut().flatten() {
                let events = std::mem::take(&mut copy.host().events);
                let _ = writeln!(text, "  {}\n    {}", view(copy), events.join(", "));
            }
        }
    }
    text
}

#[test]
fn a_scripted_run_sends_the_same_bytes_and_comes_to_the_same_views() {
    let text = run();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/trace.txt");
    if std::env::var_os("LANDINGSPREAD_WRITE_FIXTURES").is_some() {
        std::fs::write(path, &text).expect("the fixture is written");
    }
    let fixture = std::fs::read_to_string(path).expect("the fixture");
    text.lines().zip(fixture.lines()).for_each(|(now, then)| assert_eq!(now, then));
    assert_eq!(text.len(), fixture.len());
}
