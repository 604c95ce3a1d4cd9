//! The rules of the protocol one by one: deltas and their bases, refusals, bounds, rollback, lagging followers, and the
//! order of machines with the backoff between them.

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

/// Records the applied contents, and refuses contents with a value that is not a whole number.
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

/// Sends the follower's next poll to the store and applies its answer; `None` if the store has no newer version.
fn poll(
    store: &mut VersionStore,
    follower: &mut Follower,
    host: &mut RecordingHost,
) -> Option<Result<ApplyOutcome, AnswerError>> {
    let request = follower.next_poll();
    store.record_poll(seconds(1), &request);
    let delta = store.delta_for(&request)?;
    Some(follower.on_delta(seconds(1), delta.to_json().as_bytes(), host))
}

fn publish(store: &mut VersionStore, pairs: &[(&str, &str)]) -> Version {
    let base = store.version("basket");
    store.publish("basket", base, contents_of(pairs), 100).expect("valid contents are published")
}

#[test]
fn deltas_are_sent_while_their_base_is_in_the_history() {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), RecordingHost::default());
    let first = publish(&mut store, &[("a", "1"), ("b", "2")]);
    assert!(store.delta_for(&follower.next_poll()).expect("a newer version").base.is_none());
    assert_eq!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(first))));
    assert_eq!(poll(&mut store, &mut follower, &mut host), None, "the version is in force already");
    publish(&mut store, &[("a", "1"), ("c", "3")]);
    let delta = store.delta_for(&follower.next_poll()).expect("a newer version");
    assert_eq!((delta.base, delta.removed.as_slice()), (Some(first), &["b".to_string()][..]));
    assert_eq!(delta.set, contents_of(&[("c", "3")]), "unchanged keys are left out");
    for number in 0..20 {
        publish(&mut store, &[("a", &number.to_string())]);
    }
    assert!(
        store.delta_for(&follower.next_poll()).expect("a newer version").base.is_none(),
        "the base is no longer in the history"
    );
    assert!(matches!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(_)))));
    assert_eq!(host.0.last(), Some(&contents_of(&[("a", "19")])));
}

#[test]
fn delta_with_a_wrong_base_leads_to_a_snapshot_request() {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), RecordingHost::default());
    let old = publish(&mut store, &[("a", "1")]);
    poll(&mut store, &mut follower, &mut host);
    let old = Snapshot::new("basket", old.epoch, old.number, contents_of(&[("a", "1")]))
        .expect("the contents are within bounds");
    publish(&mut store, &[("a", "2")]);
    poll(&mut store, &mut follower, &mut host);
    publish(&mut store, &[("a", "3")]);
    let stale = store.current("basket").expect("the scope has a snapshot").delta_since(&old);
    let result = follower.on_delta(seconds(2), stale.to_json().as_bytes(), &mut host);
    assert_eq!(result, Err(AnswerError::Delta(DeltaError::BaseMismatch)));
    assert!(follower.next_poll().wants_snapshot && host.0.len() == 2);
    assert!(store.delta_for(&follower.next_poll()).expect("a newer version").base.is_none());
    assert!(matches!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(_)))));
    assert!(!follower.next_poll().wants_snapshot);
}

#[test]
fn invalid_key_refuses_the_version_and_is_reported() {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), RecordingHost::default());
    let good = publish(&mut store, &[("a", "1")]);
    poll(&mut store, &mut follower, &mut host);
    let bad = publish(&mut store, &[("a", "2"), ("b", "much")]);
    let refused = poll(&mut store, &mut follower, &mut host);
    assert!(
        matches!(&refused, Some(Ok(ApplyOutcome::Refused(refused))) if refused.error.key == "b"),
        "{refused:?}"
    );
    assert_eq!(host.0, [contents_of(&[("a", "1")])], "the previous version stays in force");
    assert_eq!(follower.in_force().map(Snapshot::version), Some(good));
    assert_eq!(poll(&mut store, &mut follower, &mut host), None, "the refused version is not sent again");
    let status = store.scope_status(seconds(2), "basket").expect("the scope is known");
    let reported: Vec<_> = status.refusals().map(|(name, reason)| (name.as_str(), reason.as_str())).collect();
    assert_eq!(reported, [("s1", "b: it is no number")]);
    assert_eq!((status.acknowledged(), status.lagging().count()), (0, 0));
    // A rollback publishes the old contents as a new version.
    assert_eq!(store.roll_back("basket", Some(good), good, 100), Err(PublishError::BaseMismatch(Some(bad))));
    let rollback = store.roll_back("basket", Some(bad), good, 100).expect("the version is in the history");
    assert_eq!(rollback.number, 3);
    assert_eq!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(rollback))));
    assert_eq!(host.0.last(), Some(&contents_of(&[("a", "1")])));
    assert_eq!(poll(&mut store, &mut follower, &mut host), None);
    assert_eq!(store.scope_status(seconds(2), "basket").expect("the scope is known").acknowledged(), 1);
    assert!(follower.refused().is_none());
}

#[test]
fn unusable_answers_change_nothing() {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), RecordingHost::default());
    let first = publish(&mut store, &[("a", "1")]);
    let old = store.current("basket").expect("the scope has a snapshot").full_delta();
    publish(&mut store, &[("a", "2")]);
    poll(&mut store, &mut follower, &mut host);
    let current = store.current("basket").expect("the scope has a snapshot").clone();
    let text = |delta: &Delta| delta.to_json().into_bytes();
    let mut answer_error = |bytes: &[u8]| {
        follower.on_delta(seconds(3), bytes, &mut host).expect_err("the answer is unusable").to_string()
    };
    assert_eq!(answer_error(&text(&old)), format!("version: {first} is older than what is in force"));
    let other =
        Snapshot::new("orders", 100, 9, contents_of(&[("a", "3")])).expect("the contents are within bounds");
    assert_eq!(answer_error(&text(&other.full_delta())), "scope: \"orders\" is another");
    let renamed = Delta { scope: "basket".into(), ..other.full_delta() };
    assert_eq!(answer_error(&text(&renamed)), "version: its digest is not that of the contents");
    let next =
        Snapshot::new("basket", 100, 3, contents_of(&[("a", "3")])).expect("the contents are within bounds");
    let forged = Delta { set: contents_of(&[("a", "4")]), ..next.full_delta() };
    assert_eq!(answer_error(&text(&forged)), "version: its digest is not that of the contents");
    let long = "x".repeat(300);
    let bounds = Delta { set: contents_of(&[("a", &long)]), ..next.full_delta() };
    assert_eq!(answer_error(&text(&bounds)), "a: its value is too long or no plain text");
    let full = text(&next.full_delta());
    for length in 0..full.len() {
        assert!(answer_error(&full[..length]).starts_with("it can't be read"), "{length}");
    }
    assert!(answer_error(&vec![b' '; MAX_DELTA_BYTES + 1]).contains("longer than"));
    assert_eq!(follower.in_force(), Some(&current));
    assert_eq!(host.0.len(), 1);
}

#[test]
fn cached_snapshot_is_restored_completely_or_not_at_all() {
    let valid = Snapshot::new("basket", 100, 4, contents_of(&[("a", "1")]))
        .expect("the contents are within bounds")
        .full_delta()
        .to_json();
    let (mut next, mut host) = (follower(), RecordingHost::default());
    assert_eq!(next.restore(valid.as_bytes(), &mut host).map(|version| version.number), Ok(4));
    assert_eq!((next.next_poll().acknowledged.map(|version| version.number), host.0.len()), (Some(4), 1));
    let invalid = Snapshot::new("basket", 100, 4, contents_of(&[("a", "x")]))
        .expect("the contents are within bounds")
        .full_delta()
        .to_json();
    let foreign = Snapshot::new("orders", 100, 4, contents_of(&[("a", "1")]))
        .expect("the contents are within bounds")
        .full_delta()
        .to_json();
    for bytes in [&valid.as_bytes()[..20], invalid.as_bytes(), foreign.as_bytes(), b"{}"] {
        let (mut next, mut host) = (follower(), RecordingHost::default());
        assert!(next.restore(bytes, &mut host).is_err());
        assert!(next.next_poll().acknowledged.is_none() && host.0.is_empty());
    }
}

#[test]
fn concurrent_publications_converge_on_the_greater_digest() {
    let (mut one, mut other) = (VersionStore::default(), VersionStore::default());
    let first = publish(&mut one, &[("a", "1")]);
    assert_eq!(
        other.merge(one.current("basket").expect("the scope has a snapshot").full_delta()),
        Ok(MergeOutcome::Updated)
    );
    let here = publish(&mut one, &[("a", "2")]);
    let there = publish(&mut other, &[("a", "3")]);
    assert_eq!((here.number, there.number), (2, 2));
    let (mine, theirs) = (
        one.current("basket").expect("the scope has a snapshot").full_delta(),
        other.current("basket").expect("the scope has a snapshot").full_delta(),
    );
    let result = [one.merge(theirs), other.merge(mine)];
    let expected = if here < there {
        [Ok(MergeOutcome::Replaced(here)), Ok(MergeOutcome::Unchanged)]
    } else {
        [Ok(MergeOutcome::Unchanged), Ok(MergeOutcome::Replaced(there))]
    };
    assert_eq!(result, expected);
    assert_eq!((one.version("basket"), one.digest()), (Some(here.max(there)), other.digest()));
    assert!(one.outdated_scopes(&other.summary()).is_empty());
    // A version published on a machine that lost its state wins over older ones, because its epoch is later.
    let mut restarted = VersionStore::default();
    restarted.publish("basket", None, contents_of(&[("a", "9")]), 200).expect("valid contents are published");
    assert_eq!(one.outdated_scopes(&restarted.summary()), ["basket"]);
    assert!(restarted.outdated_scopes(&one.summary()).is_empty());
    assert_eq!(
        one.publish("basket", Some(first), Contents::new(), 100),
        Err(PublishError::BaseMismatch(one.version("basket")))
    );
}

#[test]
fn republished_scope_is_newer_than_lost_versions_if_the_clock_lags() {
    let (mut store, mut restarted) = (VersionStore::default(), VersionStore::default());
    let (mut follower, mut host) = (follower(), RecordingHost::default());
    let lost = publish(&mut store, &[("a", "1")]);
    poll(&mut store, &mut follower, &mut host);
    assert_eq!(
        poll(&mut restarted, &mut follower, &mut host),
        None,
        "the machine has no version of the scope"
    );
    let next = restarted
        .publish("basket", None, contents_of(&[("a", "2")]), 50)
        .expect("valid contents are published");
    assert!(lost < next, "{lost} and {next}");
    assert_eq!(poll(&mut restarted, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(next))));
}

/// Contents with the maximum number of keys, whose version has this length as a message.
fn contents_of_message_length(length: usize) -> Contents {
    let entry = |at: usize| (format!("tenants.t{at:05}.quota"), "1".repeat(60));
    let mut contents: Contents = (0..MAX_KEYS - 1).map(entry).collect();
    // The last key fills the message up.
    contents.insert("z".into(), "1".into());
    let snapshot =
        Snapshot::new("basket", 100, 1, contents.clone()).expect("contents are within their bounds");
    let missing = length - snapshot.full_delta().to_json().len();
    for value in contents.values_mut().take(missing.div_ceil(100)) {
        value.push_str(&"1".repeat(100));
    }
    let excess = missing.next_multiple_of(100) - missing;
    if let Some(value) = contents.values_mut().next() {
        value.truncate(value.len() - excess);
    }
    contents
}

/// Guards against a version that a machine stored though its message was too long for other machines, followers and its
/// own next start.
#[test]
fn version_longer_than_a_message_is_rejected() {
    let mut store = VersionStore::default();
    let first = publish(&mut store, &[("a", "1")]);
    let mut next_store = VersionStore::default();
    let too_long = contents_of_message_length(MAX_DELTA_BYTES + 1);
    assert_eq!(
        next_store.publish("basket", None, too_long.clone(), 100),
        Err(PublishError::TooLong(MAX_DELTA_BYTES + 1))
    );
    assert!(next_store.current("basket").is_none());
    assert!(matches!(store.publish("basket", Some(first), too_long, 100), Err(PublishError::TooLong(_))));
    assert_eq!(store.version("basket"), Some(first), "the current version stays");
    let longest = contents_of_message_length(MAX_DELTA_BYTES);
    let version = next_store.publish("basket", None, longest, 100).expect("the longest version is published");
    let text = next_store.current("basket").expect("it is current").full_delta().to_json();
    assert_eq!(text.len(), MAX_DELTA_BYTES);
    let mut other = VersionStore::default();
    assert_eq!(
        other.merge(Delta::from_json(text.as_bytes()).expect("it is read")),
        Ok(MergeOutcome::Updated)
    );
    assert_eq!(other.version("basket"), Some(version));
}

/// Guards against a delta whose removed and new keys together exceed a message, which followers refuse to read.
#[test]
fn delta_longer_than_a_message_is_sent_as_a_snapshot() {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), RecordingHost::default());
    let named = |prefix: &str| -> Contents {
        (0..MAX_KEYS).map(|at| (format!("{prefix}{at:05}.{}", "k".repeat(70)), "1".into())).collect()
    };
    let first = store.publish("basket", None, named("a"), 100).expect("valid contents are published");
    assert_eq!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(first))));
    let next = store.publish("basket", Some(first), named("b"), 100).expect("valid contents are published");
    assert_eq!(poll(&mut store, &mut follower, &mut host), Some(Ok(ApplyOutcome::Applied(next))));
}

#[test]
fn contents_out_of_bounds_are_rejected_with_the_invalid_key() {
    let mut store = VersionStore::default();
    let many: Contents = (0..=MAX_KEYS).map(|at| (format!("k{at:05}"), "1".into())).collect();
    for (contents, key) in [
        (many, format!("k{MAX_KEYS:05}")),
        (contents_of(&[("", "1")]), String::new()),
        (contents_of(&[("a", "1"), ("b", "1\n2")]), "b".into()),
    ] {
        let result = store.publish("basket", None, contents, 1);
        assert!(matches!(&result, Err(PublishError::Config(error)) if error.key == key), "{result:?}");
    }
    let invalid = store.publish("Bas ket", None, Contents::new(), 1);
    assert!(matches!(&invalid, Err(PublishError::Config(error)) if error.key == "scope"), "{invalid:?}");
    // The maximum number of keys fits into a delta.
    let largest: Contents =
        (0..MAX_KEYS).map(|at| (format!("tenants.t{at:05}.quota"), "100000".into())).collect();
    store.publish("basket", None, largest, 1).expect("valid contents are published");
    let text = store.current("basket").expect("the scope has a snapshot").full_delta().to_json();
    assert!(text.len() <= MAX_DELTA_BYTES, "{}", text.len());
}

#[test]
fn merged_status_reports_lagging_and_silent_followers() {
    let (mut one, mut other) = (VersionStore::default(), VersionStore::default());
    let first = publish(&mut one, &[("a", "1")]);
    other
        .merge(one.current("basket").expect("the scope has a snapshot").full_delta())
        .expect("the snapshot can be merged");
    let poll = |name: &str, acknowledged| Poll {
        scope: "basket".into(),
        name: name.into(),
        acknowledged,
        refused: None,
        wants_snapshot: false,
        wait: seconds(6),
    };
    one.record_poll(seconds(1), &poll("gone", Some(first)));
    one.record_poll(seconds(1), &poll("moved", None));
    other.record_poll(seconds(60), &poll("moved", Some(first)));
    one.record_poll(seconds(60), &poll("slow", Some(first)));
    let second = publish(&mut one, &[("a", "2")]);
    other
        .merge(one.current("basket").expect("the scope has a snapshot").full_delta())
        .expect("the snapshot can be merged");
    other.record_poll(seconds(61), &poll("moved", Some(second)));
    let mut status = one.scope_status(seconds(62), "basket").expect("the scope is known");
    status.merge(other.scope_status(seconds(62), "basket").expect("the scope is known"));
    let lagging: BTreeMap<&str, bool> =
        status.lagging().map(|follower| (follower.name, follower.silent)).collect();
    assert_eq!(lagging, BTreeMap::from([("gone", true), ("slow", false)]));
    assert_eq!(status.acknowledged(), 1);
    one.expire(seconds(3605));
    assert!(
        !one.scope_status(seconds(3605), "basket")
            .expect("the scope is known")
            .followers
            .contains_key("gone")
    );
}

#[test]
fn rendezvous_order_balances_and_spreads_within_the_region() {
    let all = machines(8);
    let mut first: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut second: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for name in 0..4000 {
        let order = rendezvous_order(&all, &format!("sidecar-{name}"), "north");
        assert!(order[..4].iter().all(|address| address.port() < 7804), "machines of the region come first");
        *first.entry(order[0]).or_default() += 1;
        if order[0].port() == 7800 {
            *second.entry(order[1]).or_default() += 1;
        }
    }
    assert!(first.len() == 4 && first.values().all(|count| (850..1150).contains(count)), "{first:?}");
    assert!(second.len() == 3 && second.values().all(|count| (260..400).contains(count)), "{second:?}");
}

#[test]
fn failing_machine_is_replaced_with_bounded_backoff_and_failback() {
    let mut follower = follower();
    let first = follower.machine();
    assert_eq!(follower.next_poll().wait, Duration::ZERO, "the first poll does not wait");
    assert!(!follower.on_unchanged(seconds(1)) && follower.next_poll().wait > Duration::ZERO);
    let mut tried = vec![first];
    let mut total_backoff = Duration::ZERO;
    for _ in 0..7 {
        total_backoff += follower.on_failure(seconds(1));
        tried.push(follower.machine());
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 8, "all machines are tried");
    assert!(total_backoff <= Duration::from_millis(1000), "seven backoffs: {total_backoff:?}");
    let backoffs: Vec<Duration> = (0..100).map(|_| follower.on_failure(seconds(1))).collect();
    assert!(backoffs.iter().all(|backoff| *backoff <= seconds(4)));
    assert!(backoffs[60..].iter().sum::<Duration>() > seconds(60), "backoffs stay long: {backoffs:?}");
    while follower.machine() == first {
        follower.on_failure(seconds(1));
    }
    assert!(!follower.on_unchanged(seconds(2)));
    assert!(follower.on_unchanged(seconds(70)) && follower.machine() == first, "the follower fails back");
}

#[test]
fn older_version_is_not_sent_after_a_refused_newer_one() {
    let (mut store, mut lagging_store) = (VersionStore::default(), VersionStore::default());
    let (mut follower, mut host) = (follower(), RecordingHost::default());
    publish(&mut store, &[("a", "1")]);
    poll(&mut store, &mut follower, &mut host);
    publish(&mut store, &[("a", "2")]);
    lagging_store
        .merge(store.current("basket").expect("the scope has a snapshot").full_delta())
        .expect("the snapshot can be merged");
    publish(&mut store, &[("a", "x")]);
    poll(&mut store, &mut follower, &mut host);
    assert_eq!(
        lagging_store.delta_for(&follower.next_poll()),
        None,
        "the follower would ignore the older version and poll again"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn poll_query_round_trips(
        name in "\\PC{1,30}", reason in "\\PC{0,60}", parts in any::<Option<(u64, u64, u128)>>(),
        wants_snapshot in any::<bool>(),
        wait in 0u64..60_000
    ) {
        let version = |(epoch, number, digest): (u64, u64, u128)| Version { epoch, number: number.max(1), digest };
        let refused = parts.map(|(epoch, number, digest)| (version((number, epoch, digest)), reason).into());
        let wait = Duration::from_millis(wait);
        let poll = Poll { scope: "a-b.c_1".into(), name, acknowledged: parts.map(version), refused, wants_snapshot, wait };
        prop_assume!(poll.name.len() <= 128);
        prop_assert_eq!(Poll::from_query(&poll.to_query()), Ok(poll.clone()));
        prop_assert!(poll.to_query().bytes().all(|byte| byte.is_ascii_graphic()));
    }

    #[test]
    fn malformed_polls_are_rejected_without_panic(query in "[ -~]{0,80}") {
        let _ = Poll::from_query(&query);
        let _ = query.parse::<Version>();
        let parsed = Poll::from_query(&format!("scope=a&name=b&have={query}"));
        prop_assert!(parsed.is_err());
    }
}
