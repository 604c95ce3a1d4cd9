//! What leaves the crate as bytes or text, against what was written before: messages, stored snapshots, digests, the order
//! of machines and the draws behind retries. A line of the fixture is `NAME<tab>TEXT`.

use landingspread_control::{
    Board, CHANGE_MOST, Change, Contents, Fault, Follower, Host, KEY_MOST, KEYS_MOST, Machine, NAME_MOST,
    Poll, SCOPE_MOST, SCOPES_MOST, Snapshot, Standing, Summary, VALUE_MOST, Version, ordered,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const FIXTURE: &str = include_str!("fixtures/formats.txt");

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn keys(pairs: &[(&str, &str)]) -> Contents {
    pairs.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

fn fixture(name: &str) -> &'static str {
    let mut lines = FIXTURE.lines().filter_map(|line| line.split_once('\t'));
    lines.find(|(known, _)| *known == name).expect(name).1
}

struct TakesNumbers;

impl Host for TakesNumbers {
    fn check(&mut self, contents: &Contents) -> Result<(), Fault> {
        let odd = contents.iter().find(|(_, value)| value.parse::<u32>().is_err());
        odd.map_or(Ok(()), |(key, _)| Err(Fault::of(key, "it is no number")))
    }

    fn enforce(&mut self, _version: &Version, _contents: &Contents) {}
}

fn machines() -> Vec<Machine> {
    let region = |at: u16| if at < 4 { "north" } else { "south" };
    let address = |at: u16| SocketAddr::from(([10, 0, 9, 1], 7800 + at));
    (0..8).map(|at| Machine { address: address(at), region: region(at).into() }).collect()
}

fn follower() -> Follower {
    Follower::start("basket", "s1", &machines(), "north", 1)
}

/// A call with each part that a call can have.
fn full_poll(have: Version, refused: Version) -> Poll {
    let why = "a key, \u{e9}\u{20ac}: 'x' & y=1%".to_string();
    let (scope, name) = ("a-b.c_1".into(), "sidecar 7/\u{fc}".into());
    Poll { scope, name, have: Some(have), refused: Some((refused, why)), whole: true, wait: s(6) }
}

/// Every text by its name, in the fixture's order.
fn written() -> Vec<(&'static str, String)> {
    let (mut board, mut follower, mut host) = (Board::default(), follower(), TakesNumbers);
    let first = board.publish("basket", None, keys(&[("a", "1"), ("b", "2")]), 100).expect("a version");
    let snapshot = board.holds("basket").expect("it holds").clone();
    let polls = |follower: &Follower| follower.asks().query();
    let mut lines = vec![("poll.first", polls(&follower)), ("snapshot", snapshot.whole().text())];
    let taken = follower.answered(s(1), snapshot.whole().text().as_bytes(), &mut host);
    assert!(taken.is_ok(), "{taken:?}");
    lines.push(("poll.acknowledges", polls(&follower)));
    let second =
        board.publish("basket", Some(first), keys(&[("a", "x"), ("c", "\u{e9}\"")]), 7).expect("one");
    let delta = board.answer(&follower.asks()).expect("news").text();
    let taken = follower.answered(s(2), delta.as_bytes(), &mut host);
    assert!(taken.is_ok(), "{taken:?}");
    lines.extend([("delta", delta), ("poll.refuses", polls(&follower))]);
    board.called(s(2), &follower.asks());
    board.called(s(3), &Poll { name: "s2".into(), refused: None, ..follower.asks() });
    let other = board.publish("other", None, Contents::new(), 5).expect("a version");
    let standing = board.standing(s(4), "basket").expect("it is known");
    let stale = follower.answered(s(3), br#"{"scope":"basket"}"#, &mut host).expect_err("no change");
    let unfit =
        |change: Change| change.onto("basket", Some(&snapshot)).expect_err("it does not fit").to_string();
    let whole = snapshot.whole();
    lines.extend([
        ("empty", board.holds("other").expect("it holds").whole().text()),
        ("poll.full", full_poll(second, other).query()),
        ("poll.asks_whole", Poll { whole: true, ..follower.asks() }.query()),
        ("summary", serde_json::to_string(&board.summary()).expect("JSON")),
        ("digest", format!("{:032x}", board.digest())),
        ("digest.empty", format!("{:032x}", Board::default().digest())),
        ("standing", serde_json::to_string(&standing).expect("JSON")),
        ("fault", serde_json::to_string(&Fault::of("k", "it is odd")).expect("JSON")),
        ("no.unreadable", stale.to_string()),
        ("no.scope", unfit(Change { scope: "z".into(), ..whole.clone() })),
        ("no.base", unfit(Change { base: Some(second), ..whole.clone() })),
        ("no.digest", unfit(Change { set: keys(&[("a", "2")]), ..whole.clone() })),
        ("no.bounds", unfit(Change { set: keys(&[("", "2")]), ..whole.clone() })),
        ("no.value", unfit(Change { set: keys(&[("v", &"x".repeat(257))]), ..whole })),
        ("no.version", "1.0".parse::<Version>().expect_err("no version").to_string()),
        ("rejected.base", board.publish("basket", None, Contents::new(), 1).expect_err("a no").to_string()),
        (
            "rejected.none",
            board.publish("new", Some(first), Contents::new(), 1).expect_err("a no").to_string(),
        ),
        ("rejected.back", board.go_back("basket", Some(second), other, 1).expect_err("a no").to_string()),
        ("rejected.scope", board.publish("A", None, Contents::new(), 1).expect_err("a no").to_string()),
    ]);
    lines.extend([("order", order()), ("pauses", pauses()), ("limits", limits())]);
    lines
}

fn order() -> String {
    let one = |(name, region)| ordered(&machines(), name, region).iter().map(|at| at.port() - 7800).collect();
    let orders: Vec<Vec<u16>> = [("s1", "north"), ("s2", "south"), ("s3", "")].into_iter().map(one).collect();
    serde_json::to_string(&orders).expect("JSON")
}

/// How long a sidecar waits after each failure in turn, in nanoseconds, and when it goes home.
fn pauses() -> String {
    let mut follower = follower();
    let pauses: Vec<u128> = (0..48).map(|_| follower.failed(s(1)).as_nanos()).collect();
    let mut home = Follower::start("basket", "s1", &machines(), "north", 9);
    home.failed(s(1));
    let after = (0..70_000).find(|ms| home.unchanged(Duration::from_millis(*ms)));
    serde_json::to_string(&(pauses, after)).expect("JSON")
}

fn limits() -> String {
    let limits = [CHANGE_MOST, KEYS_MOST, KEY_MOST, VALUE_MOST, NAME_MOST, SCOPE_MOST, SCOPES_MOST];
    serde_json::to_string(&(limits, Follower::IN_TURN.as_millis())).expect("JSON")
}

#[test]
fn texts_are_written_as_before() {
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
fn what_was_written_before_is_read_as_it_was_meant() {
    let read = |name: &str| Change::read(fixture(name).as_bytes()).expect(name);
    let snapshot = Snapshot::new("basket", 100, 1, keys(&[("a", "1"), ("b", "2")])).expect("it is bounded");
    assert_eq!(read("snapshot").onto("basket", None), Ok(snapshot.clone()));
    let next =
        Snapshot::new("basket", 100, 2, keys(&[("a", "x"), ("c", "\u{e9}\"")])).expect("it is bounded");
    assert_eq!(read("delta").onto("basket", Some(&snapshot)), Ok(next.clone()));
    let empty = Snapshot::new("other", 5, 1, Contents::new()).expect("it is bounded");
    assert_eq!(read("empty").onto("other", None), Ok(empty.clone()));
    let full = full_poll(next.version(), empty.version());
    assert_eq!(Poll::read(fixture("poll.full")), Ok(full));
    let mut follower = follower();
    let recalled = follower.recall(fixture("snapshot").as_bytes(), &mut TakesNumbers);
    assert_eq!(recalled, Ok(snapshot.version()));
    assert_eq!(follower.in_force(), Some(&snapshot));
    let summary: Summary = serde_json::from_str(fixture("summary")).expect("JSON");
    let versions = [("basket", next.version()), ("other", empty.version())];
    assert_eq!(summary, BTreeMap::from(versions.map(|(scope, version)| (scope.into(), version))));
    let standing: Standing = serde_json::from_str(fixture("standing")).expect("JSON");
    assert_eq!(standing.refused().collect::<Vec<_>>().len(), 1);
    assert_eq!(standing.followers["s1"].age_ms, 2000);
    let fault: Fault = serde_json::from_str(fixture("fault")).expect("JSON");
    assert_eq!(fault.to_string(), "k: it is odd");
    for query in
        ["", "scope=A", "scope=a", "scope=a&name=%", "scope=a&name=n&why=%07", "scope=a&name=n&refused=1"]
    {
        let (odd, known) = (Poll::read(query).expect_err(query).0, ["scope", "name", "why", "refused"]);
        assert!(known.contains(&odd), "{query}: {odd}");
    }
}
