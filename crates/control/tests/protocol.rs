//! The parts one by one: deltas and their bases, refusals, bounds, the way back, who is told as behind, and the order and
//! pace in which machines are asked.

use landingspread_control::{
    AnswerError, ApplyOutcome, ConfigError, ConfigHost, Contents, ControlMachine, Delta, DeltaError,
    Follower, MAX_DELTA_BYTES, MAX_KEYS, MergeOutcome, Poll, PublishError, Snapshot, Version, VersionStore,
    rendezvous_order,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn contents_of(pairs: &[(&str, &str)]) -> Contents {
    pairs.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

#[derive(Default)]
struct RecordingHost(Vec<Contents>);

impl ConfigHost for RecordingHost {
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError> {
        let invalid = contents.iter().find(|(_, value)| value.parse::<u32>().is_err());
        invalid.map_or(Ok(()), |(key, _)| Err(ConfigError::new(key, "it is no number")))
    }

    fn apply(&mut self, _version: &Version, contents: &Contents) {
        self.0.push(contents.clone());
    }
}

fn machines(count: u16) -> Vec<ControlMachine> {
    let region = |at: u16| if at < count / 2 { "north" } else { "south" };
    let address = |at: u16| SocketAddr::from(([127, 0, 0, 1], 7800 + at));
    (0..count).map(|at| ControlMachine { address: address(at), region: region(at).into() }).collect()
}

fn follower() -> Follower {
    Follower::new("basket", "s1", &machines(8), "north", 1)
}

/// One call of this sidecar at this machine, answered as it comes.
fn poll(
    store: &mut VersionStore,
    follower: &mut Follower,
    host: &mut RecordingHost,
) -> Option<Result<ApplyOutcome, AnswerError>> {
    let asks = follower.next_poll();
    store.record_poll(seconds(1), &asks);
    let delta = store.delta_for(&asks)?;
    Some(follower.on_delta(seconds(1), delta.to_json().as_bytes(), host))
}

fn publish(store: &mut VersionStore, pairs: &[(&str, &str)]) -> Version {
    let base = store.version("basket");
    store.publish("basket", base, contents_of(pairs), 100).expect("it is published")
}

#[test]
fn first_answer_is_a_snapshot_then_deltas_until_the_base_leaves_the_history() {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), RecordingHost::default());
    let first = publish(&mut store, &[("a", "1"), ("b", "2")]);
    assert!(store.delta_for(&follower.next_poll()).expect("news").base.is_none());
    assert_eq!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(first))));
    assert_eq!(poll(&mut store, &mut follower, &mut host), None, "nothing new");
    publish(&mut store, &[("a", "1"), ("c", "3")]);
    let delta = store.delta_for(&follower.next_poll()).expect("news");
    assert_eq!((delta.base, delta.removed.as_slice()), (Some(first), &["b".to_string()][..]));
    assert_eq!(delta.set, contents_of(&[("c", "3")]), "only what is new");
    for number in 0..20 {
        publish(&mut store, &[("a", &number.to_string())]);
    }
    assert!(store.delta_for(&follower.next_poll()).expect("news").base.is_none(), "its base is forgotten");
    assert!(matches!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(_)))));
    assert_eq!(host.0.last(), Some(&contents_of(&[("a", "19")])));
}

#[test]
fn delta_on_another_base_is_rejected_and_a_snapshot_is_requested() {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), RecordingHost::default());
    let old = publish(&mut store, &[("a", "1")]);
    poll(&mut store, &mut follower, &mut host);
    let old =
        Snapshot::new("basket", old.epoch, old.number, contents_of(&[("a", "1")])).expect("it is bounded");
    publish(&mut store, &[("a", "2")]);
    poll(&mut store, &mut follower, &mut host);
    publish(&mut store, &[("a", "3")]);
    let stale = store.current("basket").expect("a snapshot").delta_since(&old);
    let result = follower.on_delta(seconds(2), stale.to_json().as_bytes(), &mut host);
    assert_eq!(result, Err(AnswerError::Delta(DeltaError::BaseMismatch)));
    assert!(follower.next_poll().wants_snapshot && host.0.len() == 2);
    assert!(store.delta_for(&follower.next_poll()).expect("news").base.is_none());
    assert!(matches!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(_)))));
    assert!(!follower.next_poll().wants_snapshot);
}

#[test]
fn one_invalid_key_refuses_the_version_and_is_reported_to_the_machine() {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), RecordingHost::default());
    let good = publish(&mut store, &[("a", "1")]);
    poll(&mut store, &mut follower, &mut host);
    let bad = publish(&mut store, &[("a", "2"), ("b", "much")]);
    let refused = poll(&mut store, &mut follower, &mut host);
    assert!(
        matches!(&refused, Some(Ok(ApplyOutcome::Refused(refused))) if refused.error.key == "b"),
        "{refused:?}"
    );
    assert_eq!(host.0, [contents_of(&[("a", "1")])], "the last good one stays in force");
    assert_eq!(follower.in_force().map(Snapshot::version), Some(good));
    assert_eq!(poll(&mut store, &mut follower, &mut host), None, "it is not told again");
    let status = store.scope_status(seconds(2), "basket").expect("it is known");
    let reported: Vec<_> = status.refusals().map(|(name, why)| (name.as_str(), why.as_str())).collect();
    assert_eq!(reported, [("s1", "b: it is no number")]);
    assert_eq!((status.acknowledged(), status.lagging().count()), (0, 0));
    // Going back: the old contents as a new version.
    assert_eq!(store.roll_back("basket", Some(good), good, 100), Err(PublishError::BaseMismatch(Some(bad))));
    let back = store.roll_back("basket", Some(bad), good, 100).expect("it is kept");
    assert_eq!(back.number, 3);
    assert_eq!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(back))));
    assert_eq!(host.0.last(), Some(&contents_of(&[("a", "1")])));
    assert_eq!(poll(&mut store, &mut follower, &mut host), None);
    assert_eq!(store.scope_status(seconds(2), "basket").expect("it is known").acknowledged(), 1);
    assert!(follower.refused().is_none());
}

#[test]
fn stale_foreign_truncated_corrupt_and_oversized_answers_change_nothing() {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), RecordingHost::default());
    let first = publish(&mut store, &[("a", "1")]);
    let old = store.current("basket").expect("a snapshot").full_delta();
    publish(&mut store, &[("a", "2")]);
    poll(&mut store, &mut follower, &mut host);
    let current = store.current("basket").expect("a snapshot").clone();
    let text = |delta: &Delta| delta.to_json().into_bytes();
    let mut hear =
        |bytes: &[u8]| follower.on_delta(seconds(3), bytes, &mut host).expect_err("a no").to_string();
    assert_eq!(hear(&text(&old)), format!("version: {first} is older than what is in force"));
    let other = Snapshot::new("orders", 100, 9, contents_of(&[("a", "3")])).expect("it is bounded");
    assert_eq!(hear(&text(&other.full_delta())), "scope: \"orders\" is another");
    let renamed = Delta { scope: "basket".into(), ..other.full_delta() };
    assert_eq!(hear(&text(&renamed)), "version: its digest is not that of the contents");
    let next = Snapshot::new("basket", 100, 3, contents_of(&[("a", "3")])).expect("it is bounded");
    let forged = Delta { set: contents_of(&[("a", "4")]), ..next.full_delta() };
    assert_eq!(hear(&text(&forged)), "version: its digest is not that of the contents");
    let long = "x".repeat(300);
    let bounds = Delta { set: contents_of(&[("a", &long)]), ..next.full_delta() };
    assert_eq!(hear(&text(&bounds)), "a: its value is too long or no plain text");
    let whole = text(&next.full_delta());
    for length in 0..whole.len() {
        assert!(hear(&whole[..length]).starts_with("it can't be read"), "{length}");
    }
    assert!(hear(&vec![b' '; MAX_DELTA_BYTES + 1]).contains("longer than"));
    assert_eq!(follower.in_force(), Some(&current));
    assert_eq!(host.0.len(), 1);
}

#[test]
fn cached_snapshot_is_restored_completely_or_not_at_all() {
    let kept = Snapshot::new("basket", 100, 4, contents_of(&[("a", "1")]))
        .expect("it is bounded")
        .full_delta()
        .to_json();
    let (mut next, mut host) = (follower(), RecordingHost::default());
    assert_eq!(next.restore(kept.as_bytes(), &mut host).map(|version| version.number), Ok(4));
    assert_eq!((next.next_poll().acknowledged.map(|have| have.number), host.0.len()), (Some(4), 1));
    let invalid = Snapshot::new("basket", 100, 4, contents_of(&[("a", "x")]))
        .expect("it is bounded")
        .full_delta()
        .to_json();
    let foreign = Snapshot::new("orders", 100, 4, contents_of(&[("a", "1")]))
        .expect("it is bounded")
        .full_delta()
        .to_json();
    for bytes in [&kept.as_bytes()[..20], invalid.as_bytes(), foreign.as_bytes(), b"{}"] {
        let (mut next, mut host) = (follower(), RecordingHost::default());
        assert!(next.restore(bytes, &mut host).is_err());
        assert!(next.next_poll().acknowledged.is_none() && host.0.is_empty());
    }
}

#[test]
fn concurrent_publications_converge_on_the_greater_digest_and_are_reported() {
    let (mut one, mut other) = (VersionStore::default(), VersionStore::default());
    let first = publish(&mut one, &[("a", "1")]);
    assert_eq!(
        other.merge(one.current("basket").expect("a snapshot").full_delta()),
        Ok(MergeOutcome::Updated)
    );
    let here = publish(&mut one, &[("a", "2")]);
    let there = publish(&mut other, &[("a", "3")]);
    assert_eq!((here.number, there.number), (2, 2));
    let (mine, theirs) = (
        one.current("basket").expect("a snapshot").full_delta(),
        other.current("basket").expect("a snapshot").full_delta(),
    );
    let result = [one.merge(theirs), other.merge(mine)];
    let rival = if here < there {
        [Ok(MergeOutcome::Replaced(here)), Ok(MergeOutcome::Unchanged)]
    } else {
        [Ok(MergeOutcome::Unchanged), Ok(MergeOutcome::Replaced(there))]
    };
    assert_eq!(result, rival);
    assert_eq!((one.version("basket"), one.digest()), (Some(here.max(there)), other.digest()));
    assert!(one.outdated_scopes(&other.summary()).is_empty());
    // A machine that lost all takes what the others have; what it began meanwhile goes before, as its epoch is later.
    let mut anew = VersionStore::default();
    anew.publish("basket", None, contents_of(&[("a", "9")]), 200).expect("it is published");
    assert_eq!(one.outdated_scopes(&anew.summary()), ["basket"]);
    assert!(anew.outdated_scopes(&one.summary()).is_empty());
    assert_eq!(
        one.publish("basket", Some(first), Contents::new(), 100),
        Err(PublishError::BaseMismatch(one.version("basket")))
    );
}

#[test]
fn republished_scope_is_newer_than_acknowledged_versions_even_if_the_clock_is_behind() {
    let (mut store, mut anew) = (VersionStore::default(), VersionStore::default());
    let (mut follower, mut host) = (follower(), RecordingHost::default());
    let lost = publish(&mut store, &[("a", "1")]);
    poll(&mut store, &mut follower, &mut host);
    assert_eq!(poll(&mut anew, &mut follower, &mut host), None, "nothing is known there");
    let next = anew.publish("basket", None, contents_of(&[("a", "2")]), 50).expect("it is published");
    assert!(lost < next, "{lost} and {next}");
    assert_eq!(poll(&mut anew, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(next))));
}

#[test]
fn contents_out_of_bounds_are_not_published_and_the_key_is_named() {
    let mut store = VersionStore::default();
    let many: Contents = (0..=MAX_KEYS).map(|at| (format!("k{at:05}"), "1".into())).collect();
    for (contents, key) in [
        (many, format!("k{MAX_KEYS:05}")),
        (contents_of(&[("", "1")]), String::new()),
        (contents_of(&[("a", "1"), ("b", "1\n2")]), "b".into()),
    ] {
        let result = store.publish("basket", None, contents, 1);
        assert!(matches!(&result, Err(PublishError::Config(fault)) if fault.key == key), "{result:?}");
    }
    let invalid = store.publish("Bas ket", None, Contents::new(), 1);
    assert!(matches!(&invalid, Err(PublishError::Config(fault)) if fault.key == "scope"), "{invalid:?}");
    // All of the largest there may be fits a delta.
    let most: Contents =
        (0..MAX_KEYS).map(|at| (format!("tenants.t{at:05}.quota"), "100000".into())).collect();
    store.publish("basket", None, most, 1).expect("it is published");
    let text = store.current("basket").expect("a snapshot").full_delta().to_json();
    assert!(text.len() <= MAX_DELTA_BYTES, "{}", text.len());
}

#[test]
fn lagging_and_silent_followers_are_reported_and_machines_statuses_are_merged() {
    let (mut one, mut other) = (VersionStore::default(), VersionStore::default());
    let first = publish(&mut one, &[("a", "1")]);
    other.merge(one.current("basket").expect("a snapshot").full_delta()).expect("it fits");
    let call = |name: &str, have| Poll {
        scope: "basket".into(),
        name: name.into(),
        acknowledged: have,
        refused: None,
        wants_snapshot: false,
        wait: seconds(6),
    };
    one.record_poll(seconds(1), &call("gone", Some(first)));
    one.record_poll(seconds(1), &call("moved", None));
    other.record_poll(seconds(60), &call("moved", Some(first)));
    one.record_poll(seconds(60), &call("slow", Some(first)));
    let second = publish(&mut one, &[("a", "2")]);
    other.merge(one.current("basket").expect("a snapshot").full_delta()).expect("it fits");
    other.record_poll(seconds(61), &call("moved", Some(second)));
    let mut status = one.scope_status(seconds(62), "basket").expect("it is known");
    status.merge(other.scope_status(seconds(62), "basket").expect("it is known"));
    let lagging: BTreeMap<&str, bool> =
        status.lagging().map(|follower| (follower.name, follower.silent)).collect();
    assert_eq!(lagging, BTreeMap::from([("gone", true), ("slow", false)]));
    assert_eq!(status.acknowledged(), 1);
    one.expire(seconds(3605));
    assert!(!one.scope_status(seconds(3605), "basket").expect("it is known").followers.contains_key("gone"));
}

#[test]
fn rendezvous_order_balances_machines_and_spreads_those_of_a_lost_one_over_its_region() {
    let all = machines(8);
    let mut first: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut second: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for name in 0..4000 {
        let order = rendezvous_order(&all, &format!("sidecar-{name}"), "north");
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
fn failing_machine_is_left_for_the_next_with_bounded_backoff_and_failback() {
    let mut follower = follower();
    let home = follower.machine();
    assert_eq!(follower.next_poll().wait, Duration::ZERO, "the current version is known soon");
    assert!(!follower.on_unchanged(seconds(1)) && follower.next_poll().wait > Duration::ZERO);
    let mut met = vec![home];
    let mut took = Duration::ZERO;
    for _ in 0..7 {
        took += follower.on_failure(seconds(1));
        met.push(follower.machine());
    }
    met.sort();
    met.dedup();
    assert_eq!(met.len(), 8, "all are tried");
    assert!(took <= Duration::from_millis(1000), "seven in {took:?}");
    let pauses: Vec<Duration> = (0..100).map(|_| follower.on_failure(seconds(1))).collect();
    assert!(pauses.iter().all(|pause| *pause <= seconds(4)));
    assert!(pauses[60..].iter().sum::<Duration>() > seconds(60), "nobody is hammered: {pauses:?}");
    while follower.machine() == home {
        follower.on_failure(seconds(1));
    }
    assert!(!follower.on_unchanged(seconds(2)));
    assert!(follower.on_unchanged(seconds(70)) && follower.machine() == home, "it comes home");
}

#[test]
fn follower_that_refused_a_newer_version_is_not_sent_an_older_one() {
    let (mut store, mut lagging_store) = (VersionStore::default(), VersionStore::default());
    let (mut follower, mut host) = (follower(), RecordingHost::default());
    publish(&mut store, &[("a", "1")]);
    poll(&mut store, &mut follower, &mut host);
    publish(&mut store, &[("a", "2")]);
    lagging_store.merge(store.current("basket").expect("a snapshot").full_delta()).expect("it fits");
    publish(&mut store, &[("a", "x")]);
    poll(&mut store, &mut follower, &mut host);
    assert_eq!(lagging_store.delta_for(&follower.next_poll()), None, "it would ask again at once, for ever");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn poll_query_round_trips(
        name in "\\PC{1,30}", why in "\\PC{0,60}", have in any::<Option<(u64, u64, u128)>>(), whole in any::<bool>(),
        wait in 0u64..60_000
    ) {
        let version = |(epoch, number, digest): (u64, u64, u128)| Version { epoch, number: number.max(1), digest };
        let refused = have.map(|(epoch, number, digest)| (version((number, epoch, digest)), why).into());
        let wait = Duration::from_millis(wait);
        let poll = Poll { scope: "a-b.c_1".into(), name, acknowledged: have.map(version), refused, wants_snapshot: whole, wait };
        prop_assume!(poll.name.len() <= 128);
        prop_assert_eq!(Poll::from_query(&poll.to_query()), Ok(poll.clone()));
        prop_assert!(poll.to_query().bytes().all(|byte| byte.is_ascii_graphic()));
    }

    #[test]
    fn malformed_polls_are_rejected_without_a_panic(query in "[ -~]{0,80}") {
        let _ = Poll::from_query(&query);
        let _ = query.parse::<Version>();
        let read = Poll::from_query(&format!("scope=a&name=b&have={query}"));
        prop_assert!(read.is_err());
    }
}
