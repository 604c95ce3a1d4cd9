//! What leaves the crate as bytes or text, against what was written before: messages, stored snapshots, digests, the order
//! of machines and the draws behind retries. A line of the fixture is `NAME<tab>TEXT`.

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

struct TakesNumbers;

impl ConfigHost for TakesNumbers {
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError> {
        let odd = contents.iter().find(|(_, value)| value.parse::<u32>().is_err());
        odd.map_or(Ok(()), |(key, _)| Err(ConfigError::new(key, "it is no number")))
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

/// A call with each part that a call can have.
fn full_poll(have: Version, refused: Version) -> Poll {
    let why = "a key, \u{e9}\u{20ac}: 'x' & y=1%".to_string();
    let (scope, name) = ("a-b.c_1".into(), "sidecar 7/\u{fc}".into());
    Poll {
        scope,
        name,
        acknowledged: Some(have),
        refused: Some((refused, why).into()),
        wants_snapshot: true,
        wait: seconds(6),
    }
}

/// Every text by its name, in the fixture's order.
fn written() -> Vec<(&'static str, String)> {
    let (mut store, mut follower, mut host) = (VersionStore::default(), follower(), TakesNumbers);
    let first =
        store.publish("basket", None, contents_of(&[("a", "1"), ("b", "2")]), 100).expect("a version");
    let snapshot = store.current("basket").expect("a snapshot").clone();
    let next_poll_query = |follower: &Follower| follower.next_poll().to_query();
    let mut lines =
        vec![("poll.first", next_poll_query(&follower)), ("snapshot", snapshot.full_delta().to_json())];
    let taken = follower.on_delta(seconds(1), snapshot.full_delta().to_json().as_bytes(), &mut host);
    assert!(taken.is_ok(), "{taken:?}");
    lines.push(("poll.acknowledges", next_poll_query(&follower)));
    let second =
        store.publish("basket", Some(first), contents_of(&[("a", "x"), ("c", "\u{e9}\"")]), 7).expect("one");
    let delta = store.delta_for(&follower.next_poll()).expect("news").to_json();
    let taken = follower.on_delta(seconds(2), delta.as_bytes(), &mut host);
    assert!(taken.is_ok(), "{taken:?}");
    lines.extend([("delta", delta), ("poll.refuses", next_poll_query(&follower))]);
    store.record_poll(seconds(2), &follower.next_poll());
    store.record_poll(seconds(3), &Poll { name: "s2".into(), refused: None, ..follower.next_poll() });
    let other = store.publish("other", None, Contents::new(), 5).expect("a version");
    let status = store.scope_status(seconds(4), "basket").expect("it is known");
    let malformed = follower.on_delta(seconds(3), br#"{"scope":"basket"}"#, &mut host).expect_err("no delta");
    let rejected =
        |delta: Delta| delta.apply("basket", Some(&snapshot)).expect_err("it does not fit").to_string();
    let whole = snapshot.full_delta();
    lines.extend([
        ("empty", store.current("other").expect("a snapshot").full_delta().to_json()),
        ("poll.full", full_poll(second, other).to_query()),
        ("poll.asks_whole", Poll { wants_snapshot: true, ..follower.next_poll() }.to_query()),
        ("summary", serde_json::to_string(&store.summary()).expect("JSON")),
        ("digest", format!("{:032x}", store.digest())),
        ("digest.empty", format!("{:032x}", VersionStore::default().digest())),
        ("standing", serde_json::to_string(&status).expect("JSON")),
        ("fault", serde_json::to_string(&ConfigError::new("k", "it is odd")).expect("JSON")),
        ("no.unreadable", malformed.to_string()),
        ("no.scope", rejected(Delta { scope: "z".into(), ..whole.clone() })),
        ("no.base", rejected(Delta { base: Some(second), ..whole.clone() })),
        ("no.digest", rejected(Delta { set: contents_of(&[("a", "2")]), ..whole.clone() })),
        ("no.bounds", rejected(Delta { set: contents_of(&[("", "2")]), ..whole.clone() })),
        ("no.value", rejected(Delta { set: contents_of(&[("v", &"x".repeat(257))]), ..whole })),
        ("no.version", "1.0".parse::<Version>().expect_err("no version").to_string()),
        ("rejected.base", store.publish("basket", None, Contents::new(), 1).expect_err("a no").to_string()),
        (
            "rejected.none",
            store.publish("new", Some(first), Contents::new(), 1).expect_err("a no").to_string(),
        ),
        ("rejected.back", store.roll_back("basket", Some(second), other, 1).expect_err("a no").to_string()),
        ("rejected.scope", store.publish("A", None, Contents::new(), 1).expect_err("a no").to_string()),
    ]);
    lines.extend([("order", order()), ("pauses", pauses()), ("limits", limits())]);
    lines
}

fn order() -> String {
    let one = |(name, region)| {
        rendezvous_order(&machines(), name, region).iter().map(|at| at.port() - 7800).collect()
    };
    let orders: Vec<Vec<u16>> = [("s1", "north"), ("s2", "south"), ("s3", "")].into_iter().map(one).collect();
    serde_json::to_string(&orders).expect("JSON")
}

/// How long a sidecar waits after each failure in turn, in nanoseconds, and when it goes home.
fn pauses() -> String {
    let mut follower = follower();
    let pauses: Vec<u128> = (0..48).map(|_| follower.on_failure(seconds(1)).as_nanos()).collect();
    let mut home = Follower::new("basket", "s1", &machines(), "north", 9);
    home.on_failure(seconds(1));
    let after = (0..70_000).find(|ms| home.on_unchanged(Duration::from_millis(*ms)));
    serde_json::to_string(&(pauses, after)).expect("JSON")
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
fn formats_are_written_as_in_the_fixture() {
    let lines: Vec<String> = written().iter().map(|(name, text)| format!("{name}\t{text}")).collect();
    let text = lines.join("\n") + "\n";
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        std::fs::write("tests/fixtures/formats.txt", &text).expect("it is written");
        return;
    }
    for (now, before) in text.lines().zip(FIXTURE.lines()) {
        assert_eq!(now, before);
    }
    assert_eq!(text.lines().count(), FIXTURE.lines().count());
}

#[test]
fn formats_of_the_fixture_are_read() {
    let read = |name: &str| Delta::from_json(fixture(name).as_bytes()).expect(name);
    let snapshot =
        Snapshot::new("basket", 100, 1, contents_of(&[("a", "1"), ("b", "2")])).expect("it is bounded");
    assert_eq!(read("snapshot").apply("basket", None), Ok(snapshot.clone()));
    let next = Snapshot::new("basket", 100, 2, contents_of(&[("a", "x"), ("c", "\u{e9}\"")]))
        .expect("it is bounded");
    assert_eq!(read("delta").apply("basket", Some(&snapshot)), Ok(next.clone()));
    let empty = Snapshot::new("other", 5, 1, Contents::new()).expect("it is bounded");
    assert_eq!(read("empty").apply("other", None), Ok(empty.clone()));
    let full = full_poll(next.version(), empty.version());
    assert_eq!(Poll::from_query(fixture("poll.full")), Ok(full));
    let mut follower = follower();
    let restored = follower.restore(fixture("snapshot").as_bytes(), &mut TakesNumbers);
    assert_eq!(restored, Ok(snapshot.version()));
    assert_eq!(follower.in_force(), Some(&snapshot));
    let summary: VersionSummary = serde_json::from_str(fixture("summary")).expect("JSON");
    let versions = [("basket", next.version()), ("other", empty.version())];
    assert_eq!(summary, BTreeMap::from(versions.map(|(scope, version)| (scope.into(), version))));
    let status: ScopeStatus = serde_json::from_str(fixture("standing")).expect("JSON");
    assert_eq!(status.refusals().collect::<Vec<_>>().len(), 1);
    assert_eq!(status.followers["s1"].age_ms, 2000);
    let fault: ConfigError = serde_json::from_str(fixture("fault")).expect("JSON");
    assert_eq!(fault.to_string(), "k: it is odd");
    for query in
        ["", "scope=A", "scope=a", "scope=a&name=%", "scope=a&name=n&why=%07", "scope=a&name=n&refused=1"]
    {
        let (odd, known) = (Poll::from_query(query).expect_err(query).0, ["scope", "name", "why", "refused"]);
        assert!(known.contains(&odd), "{query}: {odd}");
    }
}
