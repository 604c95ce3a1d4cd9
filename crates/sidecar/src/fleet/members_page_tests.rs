//! `/fleet` as JSON and as text, compared with `tests/fixtures/fleet.txt`. LANDINGSPREAD_WRITE_FIXTURES=1 rewrites the file.

use super::*;
use landingspread_membership::{Address, Budget, MemberConfig};
use std::net::Ipv4Addr;

#[derive(Default)]
struct TestHost(Vec<(Address, Vec<u8>)>);

impl Host for TestHost {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        self.0.push((to, bytes.to_vec()));
    }
}

fn address(number: u8) -> Address {
    Address::new(Ipv4Addr::new(10, 0, 3, number), 7946)
}

fn start_member(number: u8, name: &str, zone: &str) -> Membership<TestHost> {
    let config = MemberConfig {
        address: address(number),
        name: name.into(),
        zone: zone.into(),
        fleet: "f".into(),
        incarnation: 1_796_160_066_200 + u64::from(number),
        seeds: vec![address(1)],
        budget: Budget::default(),
        configured_members: 3.5,
    };
    Membership::start(TestHost::default(), config, u64::from(number), Duration::ZERO)
}

/// Runs the members from `from_ms` to `to_ms` and delivers all datagrams.
fn run(members: &mut [Membership<TestHost>], from_ms: u64, to_ms: u64) {
    for now in (from_ms..to_ms).step_by(50).map(Duration::from_millis) {
        members.iter_mut().for_each(|member| member.tick(now));
        for from in 0..members.len() {
            for (to, bytes) in std::mem::take(&mut members[from].host().0) {
                let receivers = members.iter_mut().filter(|member| member.address() == to);
                receivers.for_each(|member| member.receive(now, &bytes));
            }
        }
    }
}

#[test]
fn fleet_page_matches_the_fixture() {
    let received = ReceivedCounters { datagrams: 12, bytes: 3456 };
    let mut pages = Vec::new();
    let mut add_page = |membership: &Membership<TestHost>, now_ms: u64| {
        let now = Duration::from_millis(now_ms);
        pages.push(json(membership, received, now) + &text(membership, now));
    };
    let mut members = vec![
        start_member(1, "c1", "a"),
        start_member(2, "c2", "b"),
        start_member(3, "", ""),
        start_member(4, "c4", "a"),
    ];
    add_page(&members[0], 0);
    members[1].set_request_rate(31.26);
    run(&mut members, 0, 4000);
    add_page(&members[0], 4012);
    members[3].leave(Duration::from_millis(4000));
    run(&mut members, 4000, 4200);
    members.truncate(2);
    run(&mut members, 4200, 4700);
    members[0].receive(Duration::from_millis(4700), b"strange");
    add_page(&members[0], 4700);
    run(&mut members, 4700, 7000);
    add_page(&members[0], 7001);
    crate::fleet::fixture_tests::compare_with_fixture("fleet.txt", &pages.concat());
}
