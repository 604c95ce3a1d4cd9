//! Compares the crate's output with fixtures of earlier releases: messages, stored snapshots, digests, the order of
//! machines and the pseudo-random backoffs. Each line of the fixture is `NAME<tab>TEXT`.

use landingspread_control::{
    ConfigError, ConfigHost, Contents, ControlMachine, Delta, Follower, MAX_DELTA_BYTES, MAX_KEY_BYTES,
    MAX_KEYS, MAX_NAME_BYTES, MAX_SCOPE_BYTES, MAX_SCOPES, MAX_VALUE_BYTES, Poll, ScopeStatus, Snapshot,
    Version, VersionStore, VersionSummary, rendezvous_order,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const FIXTURE: &str = include_str!("fixtures/formats.txt");

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn contents_of(pairs: &[(&str, &str)]) -> Contents {
    pairs.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

fn fixture(name: &str) -> &'static str {
    let mut lines = FIXTURE.lines().filter_map(|line| line.split_once('\t'));
    lines.find(|(known, _)| *known == name).expect(name).1
}

/// Accepts contents whose values are all whole numbers.
struct NumericHost;

impl ConfigHost for NumericHost {
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError> {
        let invalid = contents.iter().find(|(_, value)| value.parse::<u32>().is_err());
        invalid.map_or(Ok(()), |(key, _)| Err(ConfigError::new(key, "it is no number")))
    }

    fn apply(&mut self, _version: &Version, _contents: &Contents) {}
}

fn machines() -> Vec<ControlMachine> {
    let region = |at: u16| if at < 4 { "north" } else { "south" };
    let address = |at: u16| SocketAddr::from(([10, 0, 9, 1], 7800 + at));
    (0..8).map(|at| ControlMachine { address: address(at), region: region(at).into() }).collect()
}

fn follower() -> Follower {
    Follower::new("basket", "s1", &machines(), "north", 1)
}

/// A poll in which every parameter is set.
fn full_poll(acknowledged: Version, refused: Version) -> Poll {
    let reason = "a key, \u{e9}\u{20ac}: 'x' & y=1%".to_string();
    let (scope, name) = ("a-b.c_1".into(), "sidecar 7/\u{fc}".into());
    Poll {
        scope,
        name,
        acknowledged: Some(acknowledged),
        refused: Some((refused, reason).into()),
        wants_snapshot: true,
        wait: seconds(6),
    }
}

/// The names and texts of all lines, in the fixture's order.
fn current_lines() -> Vec<(&'static str, String)> {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), NumericHost);
    let first = store
        .publish("basket", None, contents_of(&[("a", "1"), ("b", "2")]), 100)
        .expect("valid contents are published");
    let snapshot = store.current("basket").expect("the scope has a snapshot").clone();
    let next_poll_query = |follower: &Follower| follower.next_poll().to_query();
    let mut lines =
        vec![("poll.first", next_poll_query(&follower)), ("snapshot", snapshot.full_delta().to_json())];
    let outcome = follower.on_delta(seconds(1), snapshot.full_delta().to_json().as_bytes(), &mut host);
    assert!(outcome.is_ok(), "{outcome:?}");
    lines.push(("poll.acknowledges", next_poll_query(&follower)));
    let second = store
        .publish("basket", Some(first), contents_of(&[("a", "x"), ("c", "\u{e9}\"")]), 7)
        .expect("valid contents are published");
    let delta = store.delta_for(&follower.next_poll()).expect("the follower has an older version").to_json();
    let outcome = follower.on_delta(seconds(2), delta.as_bytes(), &mut host);
    assert!(outcome.is_ok(), "{outcome:?}");
    lines.extend([("delta", delta), ("poll.refuses", next_poll_query(&follower))]);
    store.record_poll(seconds(2), &follower.next_poll());
    store.record_poll(seconds(3), &Poll { name: "s2".into(), refused: None, ..follower.next_poll() });
    let other = store.publish("other", None, Contents::new(), 5).expect("valid contents are published");
    let status = store.scope_status(seconds(4), "basket").expect("the scope is known");
    let malformed = follower
        .on_delta(seconds(3), br#"{"scope":"basket"}"#, &mut host)
        .expect_err("the delta has no version");
    let rejected =
        |delta: Delta| delta.apply("basket", Some(&snapshot)).expect_err("the delta is invalid").to_string();
    let full = snapshot.full_delta();
    lines.extend([
        ("empty", store.current("other").expect("the scope has a snapshot").full_delta().to_json()),
        ("poll.full", full_poll(second, other).to_query()),
        ("poll.asks_whole", Poll { wants_snapshot: true, ..follower.next_poll() }.to_query()),
        ("summary", serde_json::to_string(&store.summary()).expect("JSON")),
        ("digest", format!("{:032x}", store.digest())),
        ("digest.empty", format!("{:032x}", VersionStore::default().digest())),
        ("standing", serde_json::to_string(&status).expect("JSON")),
        ("fault", serde_json::to_string(&ConfigError::new("k", "it is odd")).expect("JSON")),
        ("no.unreadable", malformed.to_string()),
        ("no.scope", rejected(Delta { scope: "z".into(), ..full.clone() })),
        ("no.base", rejected(Delta { base: Some(second), ..full.clone() })),
        ("no.digest", rejected(Delta { set: contents_of(&[("a", "2")]), ..full.clone() })),
        ("no.bounds", rejected(Delta { set: contents_of(&[("", "2")]), ..full.clone() })),
        ("no.value", rejected(Delta { set: contents_of(&[("v", &"x".repeat(257))]), ..full })),
        ("no.version", "1.0".parse::<Version>().expect_err("the version has no digest").to_string()),
        (
            "rejected.base",
            store
                .publish("basket", None, Contents::new(), 1)
                .expect_err("the publication is invalid")
                .to_string(),
        ),
        (
            "rejected.none",
            store
                .publish("new", Some(first), Contents::new(), 1)
                .expect_err("the publication is invalid")
                .to_string(),
        ),
        (
            "rejected.back",
            store
                .roll_back("basket", Some(second), other, 1)
                .expect_err("the publication is invalid")
                .to_string(),
        ),
        (
            "rejected.scope",
            store.publish("A", None, Contents::new(), 1).expect_err("the publication is invalid").to_string(),
        ),
    ]);
    lines.extend([("order", orders()), ("pauses", backoffs()), ("limits", limits())]);
    lines
}

fn orders() -> String {
    let ports = |(name, region)| {
        rendezvous_order(&machines(), name, region).iter().map(|at| at.port() - 7800).collect()
    };
    let orders: Vec<Vec<u16>> =
        [("s1", "north"), ("s2", "south"), ("s3", "")].into_iter().map(ports).collect();
    serde_json::to_string(&orders).expect("JSON")
}

/// The backoff after each of 48 consecutive failures, in nanoseconds, and the failback time in milliseconds.
fn backoffs() -> String {
    let mut follower = follower();
    let backoffs: Vec<u128> = (0..48).map(|_| follower.on_failure(seconds(1)).as_nanos()).collect();
    let mut failed_over = Follower::new("basket", "s1", &machines(), "north", 9);
    failed_over.on_failure(seconds(1));
    let failback_ms = (0..70_000).find(|ms| failed_over.on_unchanged(Duration::from_millis(*ms)));
    serde_json::to_string(&(backoffs, failback_ms)).expect("JSON")
}

fn limits() -> String {
    let limits = [
        MAX_DELTA_BYTES,
        MAX_KEYS,
        MAX_KEY_BYTES,
        MAX_VALUE_BYTES,
        MAX_NAME_BYTES,
        MAX_SCOPE_BYTES,
        MAX_SCOPES,
    ];
    serde_json::to_string(&(limits, Follower::ANSWER_TIMEOUT.as_millis())).expect("JSON")
}

#[test]
fn written_formats_match_the_fixture() {
    let lines: Vec<String> = current_lines().iter().map(|(name, text)| format!("{name}\t{text}")).collect();
    let text = lines.join("\n") + "\n";
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        std::fs::write("tests/fixtures/formats.txt", &text).expect("the fixture can be written");
        return;
    }
    for (actual, expected) in text.lines().zip(FIXTURE.lines()) {
        assert_eq!(actual, expected);
    }
    assert_eq!(text.lines().count(), FIXTURE.lines().count());
}

#[test]
fn formats_in_the_fixture_are_parsed() {
    let delta = |name: &str| Delta::from_json(fixture(name).as_bytes()).expect(name);
    let snapshot = Snapshot::new("basket", 100, 1, contents_of(&[("a", "1"), ("b", "2")]))
        .expect("the contents are within bounds");
    assert_eq!(delta("snapshot").apply("basket", None), Ok(snapshot.clone()));
    let next = Snapshot::new("basket", 100, 2, contents_of(&[("a", "x"), ("c", "\u{e9}\"")]))
        .expect("the contents are within bounds");
    assert_eq!(delta("delta").apply("basket", Some(&snapshot)), Ok(next.clone()));
    let empty = Snapshot::new("other", 5, 1, Contents::new()).expect("the contents are within bounds");
    assert_eq!(delta("empty").apply("other", None), Ok(empty.clone()));
    let full = full_poll(next.version(), empty.version());
    assert_eq!(Poll::from_query(fixture("poll.full")), Ok(full));
    let mut follower = follower();
    let restored = follower.restore(fixture("snapshot").as_bytes(), &mut NumericHost);
    assert_eq!(restored, Ok(snapshot.version()));
    assert_eq!(follower.in_force(), Some(&snapshot));
    let summary: VersionSummary = serde_json::from_str(fixture("summary")).expect("JSON");
    let versions = [("basket", next.version()), ("other", empty.version())];
    assert_eq!(summary, BTreeMap::from(versions.map(|(scope, version)| (scope.into(), version))));
    let status: ScopeStatus = serde_json::from_str(fixture("standing")).expect("JSON");
    assert_eq!(status.refusals().collect::<Vec<_>>().len(), 1);
    assert_eq!(status.followers["s1"].age_ms, 2000);
    let error: ConfigError = serde_json::from_str(fixture("fault")).expect("JSON");
    assert_eq!(error.to_string(), "k: it is odd");
    for query in
        ["", "scope=A", "scope=a", "scope=a&name=%", "scope=a&name=n&why=%07", "scope=a&name=n&refused=1"]
    {
        let (invalid, known) =
            (Poll::from_query(query).expect_err(query).0, ["scope", "name", "why", "refused"]);
        assert!(known.contains(&invalid), "{query}: {invalid}");
    }
}
