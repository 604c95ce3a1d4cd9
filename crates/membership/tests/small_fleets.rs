//! What a few members do, message by message, in virtual time.

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
        self.events.push(format!("back {}", member.name()));
    }
    fn duplicate_name(&mut self, one: &Member, _: &Member) {
        self.events.push(format!("twins {}", one.name()));
    }
    fn presumed_dead(&mut self) {
        self.events.push("taken for dead".into());
    }
    fn table_full(&mut self, refused: usize) {
        self.events.push(format!("full {refused}"));
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn address(number: u32) -> Address {
    Address::new(Ipv4Addr::from(0x0a00_0000 + number), 7000)
}

fn copy(number: u32, name: &str, incarnation: u64, fleet: &str) -> Membership<TestHost> {
    let about = MemberConfig {
        address: address(number),
        name: name.into(),
        zone: "a".into(),
        fleet: fleet.into(),
        incarnation,
        seeds: vec![address(1)],
        budget: Budget::default(),
        configured_members: 3.0,
    };
    Membership::start(TestHost::default(), about, incarnation ^ u64::from(number), ms(0))
}

/// Lets time pass, and carries all datagrams but those that `lost` says.
fn pass(copies: &mut [Membership<TestHost>], from: u64, to: u64, lost: impl Fn(Address, Address) -> bool) {
    for at in (from..to).step_by(50) {
        copies.iter_mut().for_each(|copy| copy.tick(ms(at)));
        for _ in 0..4 {
            for number in 0..copies.len() {
                let sender = copies[number].address();
                for (to, bytes) in std::mem::take(&mut copies[number].host().out) {
                    let heard = |copy: &&mut Membership<TestHost>| copy.address() == to && !lost(sender, to);
                    copies.iter_mut().filter(heard).for_each(|copy| copy.receive(ms(at), &bytes));
                }
            }
        }
    }
}

fn never(_: Address, _: Address) -> bool {
    false
}

fn state(copy: &Membership<TestHost>, number: u32) -> Option<MemberState> {
    copy.members().find(|member| member.address() == address(number)).map(Member::state)
}

#[test]
fn a_fleet_of_one_uses_the_configured_size() {
    let mut alone = [copy(1, "c1", 10, "f")];
    pass(&mut alone, 0, 5000, never);
    assert_eq!((alone[0].live_count(), alone[0].fleet_size().members), (1, 3.0));
    assert!(!alone[0].has_recent_contact());
}

#[test]
fn strangers_and_members_of_another_fleet_are_ignored() {
    let mut copies = [copy(1, "c1", 10, "f"), copy(2, "c2", 11, "another")];
    pass(&mut copies, 0, 3000, never);
    assert_eq!((copies[0].live_count(), copies[1].live_count()), (1, 1));
    let before = (copies[0].counters(), copies[0].host().out.len());
    for number in 0..10_000u32 {
        let bytes: Vec<u8> = (0..number % 300).map(|at| (at * 7 + number) as u8).collect();
        copies[0].receive(ms(3000), &bytes);
    }
    let after = (copies[0].counters(), copies[0].host().out.len());
    assert_eq!(after.0.unrecognized, before.0.unrecognized + 10_000);
    assert_eq!((after.0.datagrams, after.1), (before.0.datagrams, before.1), "no datagram is answered");
}

#[test]
fn of_two_members_the_survivor_declares_the_other_dead_for_itself_alone() {
    let mut copies = [copy(1, "c1", 10, "f"), copy(2, "c2", 11, "f")];
    pass(&mut copies, 0, 3000, never);
    assert_eq!((copies[0].live_count(), copies[1].live_count()), (2, 2));
    pass(&mut copies, 3000, 9000, |_, _| true);
    assert_eq!(state(&copies[0], 2), Some(MemberState::Dead));
    assert!(copies[0].host().events.contains(&"died c2 false".to_string()));
    pass(&mut copies, 9000, 12_000, never);
    assert_eq!((copies[0].live_count(), copies[1].live_count()), (2, 2));
    assert!(copies[0].host().events.contains(&"back c2".to_string()));
}

#[test]
fn an_address_taken_over_by_another_process_is_one_member_under_the_new_name() {
    let mut copies = [copy(1, "c1", 10, "f"), copy(2, "c2", 11, "f"), copy(3, "old", 12, "f")];
    pass(&mut copies, 0, 3000, never);
    // Its clock is behind the start of the previous process.
    copies[2] = copy(3, "new", 5, "f");
    pass(&mut copies, 3000, 8000, never);
    for other in &copies[..2] {
        let names: Vec<&str> = other.members().map(Member::name).collect();
        assert!(names.contains(&"new") && !names.contains(&"old"), "{names:?}");
        assert_eq!(other.live_count(), 3);
    }
    assert_eq!(copies[2].live_count(), 3);
    assert!(copies[2].host().events.contains(&"taken for dead".to_string()));
}

#[test]
fn two_members_with_one_name_are_two_and_it_is_reported() {
    let mut copies = [copy(1, "c1", 10, "f"), copy(2, "same", 11, "f"), copy(3, "same", 12, "f")];
    pass(&mut copies, 0, 4000, never);
    assert!(copies.iter().all(|copy| copy.live_count() == 3));
    assert!(copies[0].host().events.contains(&"twins same".to_string()));
}

#[test]
fn no_more_members_are_known_than_the_bound() {
    let mut first = copy(1, "c1", 10, "f");
    for number in 2..=10_100u32 {
        let mut other = copy(number, "c", u64::from(number), "f");
        other.tick(ms(0));
        for (_, bytes) in std::mem::take(&mut other.host().out) {
            first.receive(ms(0), &bytes);
        }
    }
    assert_eq!(first.members().count(), 10_000);
    assert!(first.host().events.contains(&"full 64".to_string()));
}

fn said(copy: &Membership<TestHost>, number: u32) -> Option<Vec<u8>> {
    let member = copy.members().find(|member| member.address() == address(number))?;
    member.payload().map(|(said, _)| said.to_vec())
}

#[test]
fn payloads_reach_all_members_and_only_the_newest_counts() {
    let mut copies: Vec<_> =
        (1..=3).map(|at| copy(at, &format!("c{at}"), 100 + u64::from(at), "f")).collect();
    pass(&mut copies, 0, 2000, never);
    assert_eq!(said(&copies[1], 1), None, "nothing was published yet");
    copies[0].set_payload(b"one", false);
    pass(&mut copies, 2000, 3000, never);
    assert_eq!(said(&copies[2], 1).as_deref(), Some(&b"one"[..]));
    // The third member receives it by way of the second alone, at once where it is urgent.
    let apart = |from: Address, to: Address| [from, to] == [address(1), address(3)];
    let before = copies[0].counters().datagrams;
    copies[0].set_payload(b"two", true);
    pass(&mut copies, 3000, 3200, apart);
    assert!(copies[0].counters().datagrams > before);
    assert_eq!(said(&copies[2], 1).as_deref(), Some(&b"two"[..]));
    // Its age is relayed with it.
    copies[0].set_payload(b"three", true);
    pass(&mut copies, 3200, 3300, apart);
    pass(&mut copies, 3300, 3800, |from, _| from == address(1));
    let member = copies[2].members().find(|member| member.address() == address(1)).expect("a member");
    let (words, at) = member.payload().expect("words");
    assert!(words == b"three" && (ms(3190)..=ms(3310)).contains(&at), "{at:?}");
    // Another process at the address has published nothing yet.
    copies[0] = copy(1, "c1", 900, "f");
    pass(&mut copies, 3800, 4800, never);
    assert_eq!(said(&copies[2], 1), None);
    assert_eq!(said(&copies[1], 1), None);
}
