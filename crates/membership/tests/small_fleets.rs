//! Fleets of up to three members, and the member limit, in virtual time.

use landingspread_membership::{Address, Budget, Host, Member, MemberConfig, MemberState, Membership};
use std::net::Ipv4Addr;
use std::time::Duration;

#[derive(Default)]
struct TestHost {
    out: Vec<(Address, Vec<u8>)>,
    events: Vec<String>,
}

impl Host for TestHost {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        self.out.push((to, bytes.to_vec()));
    }
    fn joined(&mut self, member: &Member) {
        self.events.push(format!("joined {}", member.name()));
    }
    fn died(&mut self, member: &Member, agreed: bool) {
        self.events.push(format!("died {} {agreed}", member.name()));
    }
    fn returned(&mut self, member: &Member) {
        self.events.push(format!("returned {}", member.name()));
    }
    fn duplicate_name(&mut self, known: &Member, _: &Member) {
        self.events.push(format!("duplicate name {}", known.name()));
    }
    fn presumed_dead(&mut self) {
        self.events.push("presumed dead".into());
    }
    fn table_full(&mut self, rejected: usize) {
        self.events.push(format!("table full {rejected}"));
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn address(number: u32) -> Address {
    Address::new(Ipv4Addr::from(0x0a00_0000 + number), 7000)
}

fn start_member(number: u32, name: &str, incarnation: u64, fleet: &str) -> Membership<TestHost> {
    let config = MemberConfig {
        address: address(number),
        name: name.into(),
        zone: "a".into(),
        fleet: fleet.into(),
        incarnation,
        seeds: vec![address(1)],
        budget: Budget::default(),
        configured_members: 3.0,
    };
    Membership::start(TestHost::default(), config, incarnation ^ u64::from(number), ms(0))
}

/// Runs the members from `from_ms` to `to_ms` and delivers all datagrams except those for which `is_lost` returns `true`
/// for the sender and the receiver.
fn run(
    members: &mut [Membership<TestHost>],
    from_ms: u64,
    to_ms: u64,
    is_lost: impl Fn(Address, Address) -> bool,
) {
    for at in (from_ms..to_ms).step_by(50) {
        members.iter_mut().for_each(|member| member.tick(ms(at)));
        for _ in 0..4 {
            for index in 0..members.len() {
                let sender = members[index].address();
                for (to, bytes) in std::mem::take(&mut members[index].host().out) {
                    let receives =
                        |member: &&mut Membership<TestHost>| member.address() == to && !is_lost(sender, to);
                    members.iter_mut().filter(receives).for_each(|member| member.receive(ms(at), &bytes));
                }
            }
        }
    }
}

fn lossless(_: Address, _: Address) -> bool {
    false
}

fn state_in_view(viewer: &Membership<TestHost>, number: u32) -> Option<MemberState> {
    viewer.members().find(|member| member.address() == address(number)).map(Member::state)
}

#[test]
fn single_member_uses_the_configured_size() {
    let mut members = [start_member(1, "c1", 10, "f")];
    run(&mut members, 0, 5000, lossless);
    assert_eq!((members[0].live_count(), members[0].fleet_size().members), (1, 3.0));
    assert!(!members[0].has_recent_contact());
}

#[test]
fn invalid_datagrams_and_other_fleets_are_ignored() {
    let mut members = [start_member(1, "c1", 10, "f"), start_member(2, "c2", 11, "another")];
    run(&mut members, 0, 3000, lossless);
    assert_eq!((members[0].live_count(), members[1].live_count()), (1, 1));
    let before = (members[0].counters(), members[0].host().out.len());
    for number in 0..10_000u32 {
        let bytes: Vec<u8> = (0..number % 300).map(|at| (at * 7 + number) as u8).collect();
        members[0].receive(ms(3000), &bytes);
    }
    let after = (members[0].counters(), members[0].host().out.len());
    assert_eq!(after.0.unrecognized, before.0.unrecognized + 10_000);
    assert_eq!(
        (after.0.datagrams, after.1),
        (before.0.datagrams, before.1),
        "invalid datagrams must not be answered"
    );
}

#[test]
fn isolated_member_declares_its_peer_dead_locally_only() {
    let mut members = [start_member(1, "c1", 10, "f"), start_member(2, "c2", 11, "f")];
    run(&mut members, 0, 3000, lossless);
    assert_eq!((members[0].live_count(), members[1].live_count()), (2, 2));
    run(&mut members, 3000, 9000, |_, _| true);
    assert_eq!(state_in_view(&members[0], 2), Some(MemberState::Dead));
    assert!(members[0].host().events.contains(&"died c2 false".to_string()));
    run(&mut members, 9000, 12_000, lossless);
    assert_eq!((members[0].live_count(), members[1].live_count()), (2, 2));
    assert!(members[0].host().events.contains(&"returned c2".to_string()));
}

#[test]
fn new_process_at_an_address_replaces_the_old_member() {
    let mut members =
        [start_member(1, "c1", 10, "f"), start_member(2, "c2", 11, "f"), start_member(3, "old", 12, "f")];
    run(&mut members, 0, 3000, lossless);
    // The clock of the new process is behind the start time of the previous one.
    members[2] = start_member(3, "new", 5, "f");
    run(&mut members, 3000, 8000, lossless);
    for other in &members[..2] {
        let names: Vec<&str> = other.members().map(Member::name).collect();
        assert!(
            names.contains(&"new") && !names.contains(&"old"),
            "expected \"new\" in place of \"old\" in {names:?}"
        );
        assert_eq!(other.live_count(), 3);
    }
    assert_eq!(members[2].live_count(), 3);
    assert!(members[2].host().events.contains(&"presumed dead".to_string()));
}

#[test]
fn members_with_the_same_name_are_distinct_and_reported() {
    let mut members =
        [start_member(1, "c1", 10, "f"), start_member(2, "same", 11, "f"), start_member(3, "same", 12, "f")];
    run(&mut members, 0, 4000, lossless);
    assert!(members.iter().all(|member| member.live_count() == 3));
    assert!(members[0].host().events.contains(&"duplicate name same".to_string()));
}

#[test]
fn member_table_is_limited_to_10000_members() {
    let mut first = start_member(1, "c1", 10, "f");
    for number in 2..=10_100u32 {
        let mut other = start_member(number, "c", u64::from(number), "f");
        other.tick(ms(0));
        for (_, bytes) in std::mem::take(&mut other.host().out) {
            first.receive(ms(0), &bytes);
        }
    }
    assert_eq!(first.members().count(), 10_000);
    assert!(first.host().events.contains(&"table full 64".to_string()));
}

fn payload_in_view(viewer: &Membership<TestHost>, number: u32) -> Option<Vec<u8>> {
    let member = viewer.members().find(|member| member.address() == address(number))?;
    member.payload().map(|(payload, _)| payload.to_vec())
}

#[test]
fn newest_payload_reaches_all_members_directly_or_relayed() {
    let mut members: Vec<_> = (1..=3)
        .map(|number| start_member(number, &format!("c{number}"), 100 + u64::from(number), "f"))
        .collect();
    run(&mut members, 0, 2000, lossless);
    assert_eq!(payload_in_view(&members[1], 1), None, "no payload was published yet");
    members[0].set_payload(b"one", false);
    run(&mut members, 2000, 3000, lossless);
    assert_eq!(payload_in_view(&members[2], 1).as_deref(), Some(&b"one"[..]));
    // The third member receives an urgent payload immediately, relayed by the second one only.
    let direct_path = |from: Address, to: Address| [from, to] == [address(1), address(3)];
    let before = members[0].counters().datagrams;
    members[0].set_payload(b"two", true);
    run(&mut members, 3000, 3200, direct_path);
    assert!(members[0].counters().datagrams > before);
    assert_eq!(payload_in_view(&members[2], 1).as_deref(), Some(&b"two"[..]));
    // The payload's age is relayed with it.
    members[0].set_payload(b"three", true);
    run(&mut members, 3200, 3300, direct_path);
    run(&mut members, 3300, 3800, |from, _| from == address(1));
    let member =
        members[2].members().find(|member| member.address() == address(1)).expect("member 1 is known");
    let (payload, published_at) = member.payload().expect("the payload of member 1 is known");
    assert!(
        payload == b"three" && (ms(3190)..=ms(3310)).contains(&published_at),
        "payload {payload:?} published at {published_at:?}, expected \"three\" between 3.19 s and 3.31 s"
    );
    // A new process at the address has not published a payload yet.
    members[0] = start_member(1, "c1", 900, "f");
    run(&mut members, 3800, 4800, lossless);
    assert_eq!(payload_in_view(&members[2], 1), None);
    assert_eq!(payload_in_view(&members[1], 1), None);
}
