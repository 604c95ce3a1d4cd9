//! Compares digests of all calls of seeded runs with a fixture, which detects any change of a value or of the order of
//! calls. `PINNED=write cargo test -p landingspread-decisions pinned` rewrites the fixture after an intended change, and
//! `PINNED_TEXTS=DIRECTORY` writes the logs of the runs into a directory.

use crate::logged_run::{RUNS, run_for_a_minute};
use crate::scripted_host::ms;
use landingspread_decisions::peer_messages::{self, Outbox, PeerMessageHandler};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// The 64-bit FNV-1a hash of the text.
fn fnv1a(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

fn compare(fixture: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(fixture);
    if std::env::var_os("PINNED").is_some_and(|mode| mode == "write") {
        std::fs::write(&path, text).expect("the fixture file is writable");
    }
    let pinned = std::fs::read_to_string(&path).expect("the fixture file is readable");
    assert_eq!(text, pinned, "{} differs from the recorded one", path.display());
}

#[test]
fn calls_of_seeded_runs_match_the_fixture() {
    let mut lines = String::new();
    let mut kinds = BTreeSet::new();
    for (name, settings, servers, rate) in RUNS {
        for seed in 1..=3 {
            let text = run_for_a_minute(settings, servers, rate, seed);
            let digest = fnv1a(&text);
            writeln!(lines, "{name} {seed} {} lines {digest:016x}", text.lines().count())
                .expect("writing to a String does not fail");
            kinds.extend(text.lines().filter_map(|line| line.split(' ').nth(1)).map(str::to_string));
            if let Some(directory) = std::env::var_os("PINNED_TEXTS") {
                std::fs::write(Path::new(&directory).join(format!("{name}-{seed}")), text)
                    .expect("the directory of PINNED_TEXTS is writable");
            }
        }
    }
    let expected_kinds =
        "asked cancel check decline learnt left let next note relay subscribe tell terminate wake zone";
    assert_eq!(kinds.into_iter().collect::<Vec<_>>().join(" "), expected_kinds);
    compare("calls.txt", &lines);
}

#[derive(Default)]
struct RecordingHandler(String);

impl PeerMessageHandler for RecordingHandler {
    fn idle_connection_broke(&mut self, idle: Duration) {
        writeln!(self.0, "  broke {}", idle.as_nanos()).expect("writing to a String does not fail");
    }

    fn class_outcome(&mut self, server: u32, class: usize, answered: bool) -> bool {
        writeln!(self.0, "  verb {server} {class} {answered}").expect("writing to a String does not fail");
        server != 0
    }

    fn peer_request_rate(&mut self, per_s: f64) {
        writeln!(self.0, "  traffic {per_s}").expect("writing to a String does not fail");
    }
}

#[test]
fn bytes_of_peer_messages_match_the_fixture() {
    let mut messages = Vec::new();
    let mut outbox = Outbox::default();
    for span in [0, 1, 299, 1100, 65_535, 65_536, 900_000] {
        outbox.idle_connection_broke(ms(span));
    }
    messages.extend(outbox.take());
    for (server, class, answered) in
        [(77, 2, false), (0xff_ffff, 63, true), (1, 64, true), (0x0123_4567, 0, false), (0, 1, true)]
    {
        outbox.class_outcome(server, class, answered);
    }
    messages.extend(outbox.take());
    (0..100).for_each(|server| outbox.class_outcome(server, 1, server % 2 == 0));
    messages.extend(outbox.take());
    messages.extend(outbox.take());
    messages.extend(
        [0.0, 0.04, 2.5, 6553.5, 1e9, -1.0, f64::NAN]
            .map(|per_s| peer_messages::request_rate_message(per_s).to_vec()),
    );
    messages.extend([
        vec![],
        vec![0],
        vec![1, 2],
        vec![200, 1, 2, 3, 4],
        vec![2, 0, 9, 64, 1],
        vec![191, 0, 0, 5],
    ]);
    let mut text = String::new();
    for message in messages {
        let bytes: Vec<String> = message.iter().map(|byte| format!("{byte:02x}")).collect();
        let mut handler = RecordingHandler::default();
        let ignored = peer_messages::read(&message, &mut handler);
        write!(text, "{}\n{}", bytes.concat(), handler.0).expect("writing to a String does not fail");
        writeln!(text, "  garbled {} strange {}", ignored.malformed, ignored.unknown_server)
            .expect("writing to a String does not fail");
    }
    compare("words.txt", &text);
}
