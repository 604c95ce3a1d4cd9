//! `/fleet` as JSON and as text, compared with `tests/fixtures/fleet.txt`; LANDINGSPREAD_WRITE_FIXTURES=1 writes that file
//! anew.

use super::*;
use landingspread_membership::{Address, Budget, MemberConfig};
use std::net::Ipv4Addr;

#[derive(Default)]
struct Post(Vec<(Address, Vec<u8>)>);

impl Host for Post {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        self.0.push((to, bytes.to_vec()));
    }
}

fn address(number: u8) -> Address {
    Address::new(Ipv4Addr::new(10, 0, 3, number), 7946)
}

fn copy(number: u8, name: &str, zone: &str) -> Membership<Post> {
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
    Membership::start(Post::default(), config, u64::from(number), Duration::ZERO)
}

fn pass(copies: &mut [Membership<Post>], from_ms: u64, to_ms: u64) {
    for now in (from_ms..to_ms).step_by(50).map(Duration::from_millis) {
        copies.iter_mut().for_each(|copy| copy.tick(now));
        for from in 0..copies.len() {
            for (to, bytes) in std::mem::take(&mut copies[from].host().0) {
                let heard = copies.iter_mut().filter(|copy| copy.address() == to);
                heard.for_each(|copy| copy.receive(now, &bytes));
            }
        }
    }
}

#[test]
fn the_page_of_the_fleet_is_the_text_of_the_fixture() {
    let received = ReceivedCounters { datagrams: 12, bytes: 3456 };
    let mut pages = Vec::new();
    let mut page = |copy: &Membership<Post>, now_ms: u64| {
        let now = Duration::from_millis(now_ms);
        pages.push(json(copy, received, now) + &text(copy, now));
    };
    let mut copies = vec![copy(1, "c1", "a"), copy(2, "c2", "b"), copy(3, "", ""), copy(4, "c4", "a")];
    page(&copies[0], 0);
    copies[1].set_request_rate(31.26);
    pass(&mut copies, 0, 4000);
    page(&copies[0], 4012);
    copies[3].leave(Duration::from_millis(4000));
    pass(&mut copies, 4000, 4200);
    copies.truncate(2);
    pass(&mut copies, 4200, 4700);
    copies[0].receive(Duration::from_millis(4700), b"strange");
    page(&copies[0], 4700);
    pass(&mut copies, 4700, 7000);
    page(&copies[0], 7001);
    crate::fleet::fixture_tests::compare("fleet.txt", &pages.concat());
}
