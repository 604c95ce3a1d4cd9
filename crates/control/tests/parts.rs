//! The parts one by one: deltas and their bases, refusals, bounds, the way back, who is told as behind, and the order and
//! pace in which machines are asked.

use landingspread_control::{
    Board, CHANGE_MOST, Change, Contents, Fault, Follower, Host, KEYS_MOST, Machine, Merged, Poll, Rejected,
    Snapshot, Took, Unfit, Version, Wrong, ordered,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn keys(pairs: &[(&str, &str)]) -> Contents {
    pairs.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

#[derive(Default)]
struct Force(Vec<Contents>);

impl Host for Force {
    fn check(&mut self, contents: &Contents) -> Result<(), Fault> {
        let odd = contents.iter().find(|(_, value)| value.parse::<u32>().is_err());
        odd.map_or(Ok(()), |(key, _)| Err(Fault::of(key, "it is no number")))
    }

    fn enforce(&mut self, _version: &Version, contents: &Contents) {
        self.0.push(contents.clone());
    }
}

fn machines(count: u16) -> Vec<Machine> {
    let region = |at: u16| if at < count / 2 { "north" } else { "south" };
    let address = |at: u16| SocketAddr::from(([127, 0, 0, 1], 7800 + at));
    (0..count).map(|at| Machine { address: address(at), region: region(at).into() }).collect()
}

fn follower() -> Follower {
    Follower::start("basket", "s1", &machines(8), "north", 1)
}

/// One call of this sidecar at this machine, answered as it comes.
fn poll(board: &mut Board, follower: &mut Follower, force: &mut Force) -> Option<Result<Took, Wrong>> {
    let asks = follower.asks();
    board.called(s(1), &asks);
    let change = board.answer(&asks)?;
    Some(follower.answered(s(1), change.text().as_bytes(), force))
}

fn publish(board: &mut Board, pairs: &[(&str, &str)]) -> Version {
    let base = board.version("basket");
    board.publish("basket", base, keys(pairs), 100).expect("it is published")
}

#[test]
fn the_first_answer_is_a_snapshot_and_the_next_ones_are_deltas_until_the_base_is_forgotten() {
    let (mut board, mut follower, mut force) = (Board::default(), follower(), Force::default());
    let first = publish(&mut board, &[("a", "1"), ("b", "2")]);
    assert!(board.answer(&follower.asks()).expect("news").base.is_none());
    assert_eq!(poll(&mut board, &mut follower, &mut force), Some(Ok(Took::Enforced(first))));
    assert_eq!(poll(&mut board, &mut follower, &mut force), None, "nothing new");
    publish(&mut board, &[("a", "1"), ("c", "3")]);
    let delta = board.answer(&follower.asks()).expect("news");
    assert_eq!((delta.base, delta.removed.as_slice()), (Some(first), &["b".to_string()][..]));
    assert_eq!(delta.set, keys(&[("c", "3")]), "only what is new");
    for number in 0..20 {
        publish(&mut board, &[("a", &number.to_string())]);
    }
    assert!(board.answer(&follower.asks()).expect("news").base.is_none(), "its base is forgotten");
    assert!(matches!(poll(&mut board, &mut follower, &mut force), Some(Ok(Took::Enforced(_)))));
    assert_eq!(force.0.last(), Some(&keys(&[("a", "19")])));
}

#[test]
fn a_delta_on_another_base_is_not_taken_and_a_snapshot_is_asked_for() {
    let (mut board, mut follower, mut force) = (Board::default(), follower(), Force::default());
    let old = publish(&mut board, &[("a", "1")]);
    poll(&mut board, &mut follower, &mut force);
    let old = Snapshot::new("basket", old.epoch, old.number, keys(&[("a", "1")])).expect("it is bounded");
    publish(&mut board, &[("a", "2")]);
    poll(&mut board, &mut follower, &mut force);
    publish(&mut board, &[("a", "3")]);
    let stale = board.holds("basket").expect("it holds").since(&old);
    let said = follower.answered(s(2), stale.text().as_bytes(), &mut force);
    assert_eq!(said, Err(Wrong::Unfit(Unfit::Base)));
    assert!(follower.asks().whole && force.0.len() == 2);
    assert!(board.answer(&follower.asks()).expect("news").base.is_none());
    assert!(matches!(poll(&mut board, &mut follower, &mut force), Some(Ok(Took::Enforced(_)))));
    assert!(!follower.asks().whole);
}

#[test]
fn one_key_at_fault_refuses_the_whole_and_the_machine_is_told_which() {
    let (mut board, mut follower, mut force) = (Board::default(), follower(), Force::default());
    let good = publish(&mut board, &[("a", "1")]);
    poll(&mut board, &mut follower, &mut force);
    let bad = publish(&mut board, &[("a", "2"), ("b", "much")]);
    let refused = poll(&mut board, &mut follower, &mut force);
    assert!(matches!(&refused, Some(Ok(Took::Refused(refused))) if refused.fault.key == "b"), "{refused:?}");
    assert_eq!(force.0, [keys(&[("a", "1")])], "the last good one stays in force");
    assert_eq!(follower.in_force().map(Snapshot::version), Some(good));
    assert_eq!(poll(&mut board, &mut follower, &mut force), None, "it is not told again");
    let standing = board.standing(s(2), "basket").expect("it is known");
    let told: Vec<_> = standing.refused().map(|(name, why)| (name.as_str(), why.as_str())).collect();
    assert_eq!(told, [("s1", "b: it is no number")]);
    assert_eq!((standing.acknowledged(), standing.behind().count()), (0, 0));
    // Going back: the old contents as a new version.
    assert_eq!(board.go_back("basket", Some(good), good, 100), Err(Rejected::Base(Some(bad))));
    let back = board.go_back("basket", Some(bad), good, 100).expect("it is kept");
    assert_eq!(back.number, 3);
    assert_eq!(poll(&mut board, &mut follower, &mut force), Some(Ok(Took::Enforced(back))));
    assert_eq!(force.0.last(), Some(&keys(&[("a", "1")])));
    assert_eq!(poll(&mut board, &mut follower, &mut force), None);
    assert_eq!(board.standing(s(2), "basket").expect("it is known").acknowledged(), 1);
    assert!(follower.refused().is_none());
}

#[test]
fn older_foreign_cut_garbled_and_long_answers_are_told_and_leave_all_as_it_was() {
    let (mut board, mut follower, mut force) = (Board::default(), follower(), Force::default());
    let first = publish(&mut board, &[("a", "1")]);
    let old = board.holds("basket").expect("it holds").whole();
    publish(&mut board, &[("a", "2")]);
    poll(&mut board, &mut follower, &mut force);
    let holds = board.holds("basket").expect("it holds").clone();
    let text = |change: &Change| change.text().into_bytes();
    let mut hear = |bytes: &[u8]| follower.answered(s(3), bytes, &mut force).expect_err("a no").to_string();
    assert_eq!(hear(&text(&old)), format!("version: {first} is older than what is in force"));
    let other = Snapshot::new("orders", 100, 9, keys(&[("a", "3")])).expect("it is bounded");
    assert_eq!(hear(&text(&other.whole())), "scope: \"orders\" is another");
    let renamed = Change { scope: "basket".into(), ..other.whole() };
    assert_eq!(hear(&text(&renamed)), "version: its digest is not that of the contents");
    let next = Snapshot::new("basket", 100, 3, keys(&[("a", "3")])).expect("it is bounded");
    let forged = Change { set: keys(&[("a", "4")]), ..next.whole() };
    assert_eq!(hear(&text(&forged)), "version: its digest is not that of the contents");
    let long = "x".repeat(300);
    let bounds = Change { set: keys(&[("a", &long)]), ..next.whole() };
    assert_eq!(hear(&text(&bounds)), "a: its value is too long or no plain text");
    let whole = text(&next.whole());
    for length in 0..whole.len() {
        assert!(hear(&whole[..length]).starts_with("it can't be read"), "{length}");
    }
    assert!(hear(&vec![b' '; CHANGE_MOST + 1]).contains("longer than"));
    assert_eq!(follower.in_force(), Some(&holds));
    assert_eq!(force.0.len(), 1);
}

#[test]
fn what_an_earlier_process_kept_is_taken_whole_or_not_at_all() {
    let kept = Snapshot::new("basket", 100, 4, keys(&[("a", "1")])).expect("it is bounded").whole().text();
    let (mut next, mut force) = (follower(), Force::default());
    assert_eq!(next.recall(kept.as_bytes(), &mut force).map(|version| version.number), Ok(4));
    assert_eq!((next.asks().have.map(|have| have.number), force.0.len()), (Some(4), 1));
    let odd = Snapshot::new("basket", 100, 4, keys(&[("a", "x")])).expect("it is bounded").whole().text();
    let foreign = Snapshot::new("orders", 100, 4, keys(&[("a", "1")])).expect("it is bounded").whole().text();
    for bytes in [&kept.as_bytes()[..20], odd.as_bytes(), foreign.as_bytes(), b"{}"] {
        let (mut next, mut force) = (follower(), Force::default());
        assert!(next.recall(bytes, &mut force).is_err());
        assert!(next.asks().have.is_none() && force.0.is_empty());
    }
}

#[test]
fn two_published_at_once_come_to_the_greater_digest_everywhere_and_are_told() {
    let (mut one, mut other) = (Board::default(), Board::default());
    let first = publish(&mut one, &[("a", "1")]);
    assert_eq!(other.merge(one.holds("basket").expect("it holds").whole()), Ok(Merged::Newer));
    let here = publish(&mut one, &[("a", "2")]);
    let there = publish(&mut other, &[("a", "3")]);
    assert_eq!((here.number, there.number), (2, 2));
    let (mine, theirs) =
        (one.holds("basket").expect("it").whole(), other.holds("basket").expect("it").whole());
    let said = [one.merge(theirs), other.merge(mine)];
    let rival = if here < there {
        [Ok(Merged::Rival(here)), Ok(Merged::Kept)]
    } else {
        [Ok(Merged::Kept), Ok(Merged::Rival(there))]
    };
    assert_eq!(said, rival);
    assert_eq!((one.version("basket"), one.digest()), (Some(here.max(there)), other.digest()));
    assert!(one.wanted(&other.summary()).is_empty());
    // A machine that lost all takes what the others have; what it began meanwhile goes before, as its epoch is later.
    let mut anew = Board::default();
    anew.publish("basket", None, keys(&[("a", "9")]), 200).expect("it is published");
    assert_eq!(one.wanted(&anew.summary()), ["basket"]);
    assert!(anew.wanted(&one.summary()).is_empty());
    assert_eq!(
        one.publish("basket", Some(first), Contents::new(), 100),
        Err(Rejected::Base(one.version("basket")))
    );
}

#[test]
fn a_scope_begun_anew_goes_before_what_sidecars_still_have_also_by_a_clock_that_is_behind() {
    let (mut board, mut anew) = (Board::default(), Board::default());
    let (mut follower, mut force) = (follower(), Force::default());
    let lost = publish(&mut board, &[("a", "1")]);
    poll(&mut board, &mut follower, &mut force);
    assert_eq!(poll(&mut anew, &mut follower, &mut force), None, "nothing is known there");
    let next = anew.publish("basket", None, keys(&[("a", "2")]), 50).expect("it is published");
    assert!(lost < next, "{lost} and {next}");
    assert_eq!(poll(&mut anew, &mut follower, &mut force), Some(Ok(Took::Enforced(next))));
}

#[test]
fn what_is_out_of_bounds_is_not_published_and_the_key_is_named() {
    let mut board = Board::default();
    let many: Contents = (0..=KEYS_MOST).map(|at| (format!("k{at:05}"), "1".into())).collect();
    for (contents, key) in [
        (many, format!("k{KEYS_MOST:05}")),
        (keys(&[("", "1")]), String::new()),
        (keys(&[("a", "1"), ("b", "1\n2")]), "b".into()),
    ] {
        let said = board.publish("basket", None, contents, 1);
        assert!(matches!(&said, Err(Rejected::Fault(fault)) if fault.key == key), "{said:?}");
    }
    let odd = board.publish("Bas ket", None, Contents::new(), 1);
    assert!(matches!(&odd, Err(Rejected::Fault(fault)) if fault.key == "scope"), "{odd:?}");
    // All of the largest there may be fits a change.
    let most: Contents =
        (0..KEYS_MOST).map(|at| (format!("tenants.t{at:05}.quota"), "100000".into())).collect();
    board.publish("basket", None, most, 1).expect("it is published");
    let text = board.holds("basket").expect("it holds").whole().text();
    assert!(text.len() <= CHANGE_MOST, "{}", text.len());
}

#[test]
fn who_is_behind_and_who_no_longer_calls_is_told_and_machines_answers_are_joined() {
    let (mut one, mut other) = (Board::default(), Board::default());
    let first = publish(&mut one, &[("a", "1")]);
    other.merge(one.holds("basket").expect("it holds").whole()).expect("it fits");
    let call = |name: &str, have| Poll {
        scope: "basket".into(),
        name: name.into(),
        have,
        refused: None,
        whole: false,
        wait: s(6),
    };
    one.called(s(1), &call("gone", Some(first)));
    one.called(s(1), &call("moved", None));
    other.called(s(60), &call("moved", Some(first)));
    one.called(s(60), &call("slow", Some(first)));
    let second = publish(&mut one, &[("a", "2")]);
    other.merge(one.holds("basket").expect("it holds").whole()).expect("it fits");
    other.called(s(61), &call("moved", Some(second)));
    let mut standing = one.standing(s(62), "basket").expect("it is known");
    standing.join(other.standing(s(62), "basket").expect("it is known"));
    let behind: BTreeMap<&str, bool> =
        standing.behind().map(|(name, silent)| (name.as_str(), silent)).collect();
    assert_eq!(behind, BTreeMap::from([("gone", true), ("slow", false)]));
    assert_eq!(standing.acknowledged(), 1);
    one.tidy(s(3605));
    assert!(!one.standing(s(3605), "basket").expect("it is known").followers.contains_key("gone"));
}

#[test]
fn each_machine_has_its_part_and_those_of_a_lost_one_spread_over_its_region() {
    let all = machines(8);
    let mut first: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut second: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for name in 0..4000 {
        let order = ordered(&all, &format!("sidecar-{name}"), "north");
        assert!(order[..4].iter().all(|address| address.port() < 7804), "its region's first");
        *first.entry(order[0]).or_default() += 1;
        if order[0].port() == 7800 {
            *second.entry(order[1]).or_default() += 1;
        }
    }
    assert!(first.len() == 4 && first.values().all(|count| (850..1150).contains(count)), "{first:?}");
    assert!(second.len() == 3 && second.values().all(|count| (260..400).contains(count)), "{second:?}");
}

#[test]
fn a_machine_that_fails_is_left_for_the_next_and_tried_again_later_at_a_bounded_pace() {
    let mut follower = follower();
    let home = follower.machine();
    assert_eq!(follower.asks().wait, Duration::ZERO, "what holds by now is known soon");
    assert!(!follower.unchanged(s(1)) && follower.asks().wait > Duration::ZERO);
    let mut met = vec![home];
    let mut took = Duration::ZERO;
    for _ in 0..7 {
        took += follower.failed(s(1));
        met.push(follower.machine());
    }
    met.sort();
    met.dedup();
    assert_eq!(met.len(), 8, "all are tried");
    assert!(took <= Duration::from_millis(1000), "seven in {took:?}");
    let pauses: Vec<Duration> = (0..100).map(|_| follower.failed(s(1))).collect();
    assert!(pauses.iter().all(|pause| *pause <= s(4)));
    assert!(pauses[60..].iter().sum::<Duration>() > s(60), "nobody is hammered: {pauses:?}");
    while follower.machine() == home {
        follower.failed(s(1));
    }
    assert!(!follower.unchanged(s(2)));
    assert!(follower.unchanged(s(70)) && follower.machine() == home, "it comes home");
}

#[test]
fn a_sidecar_that_refused_a_later_version_is_not_told_an_earlier_one_at_once() {
    let (mut board, mut behind) = (Board::default(), Board::default());
    let (mut follower, mut force) = (follower(), Force::default());
    publish(&mut board, &[("a", "1")]);
    poll(&mut board, &mut follower, &mut force);
    publish(&mut board, &[("a", "2")]);
    behind.merge(board.holds("basket").expect("it holds").whole()).expect("it fits");
    publish(&mut board, &[("a", "x")]);
    poll(&mut board, &mut follower, &mut force);
    assert_eq!(behind.answer(&follower.asks()), None, "it would ask again at once, for ever");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_call_reads_as_it_was_written(
        name in "\\PC{1,30}", why in "\\PC{0,60}", have in any::<Option<(u64, u64, u128)>>(), whole in any::<bool>(),
        wait in 0u64..60_000
    ) {
        let version = |(epoch, number, digest): (u64, u64, u128)| Version { epoch, number: number.max(1), digest };
        let refused = have.map(|(epoch, number, digest)| (version((number, epoch, digest)), why));
        let wait = Duration::from_millis(wait);
        let poll = Poll { scope: "a-b.c_1".into(), name, have: have.map(version), refused, whole, wait };
        prop_assume!(poll.name.len() <= 128);
        prop_assert_eq!(Poll::read(&poll.query()), Ok(poll.clone()));
        prop_assert!(poll.query().bytes().all(|byte| byte.is_ascii_graphic()));
    }

    #[test]
    fn odd_calls_are_told_without_a_panic(query in "[ -~]{0,80}") {
        let _ = Poll::read(&query);
        let _ = query.parse::<Version>();
        let read = Poll::read(&format!("scope=a&name=b&have={query}"));
        prop_assert!(read.is_err());
    }
}
