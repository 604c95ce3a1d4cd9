//! Every call of seeded runs, as digests against a fixture: a decision that changes in any digit or in its order shows.
//! To write the fixture anew after a change that is meant: `PINNED=write cargo test -p landingspread-decisions pinned`.

use crate::logged_run::{SETTINGS, play};
use crate::scripted_host::ms;
use landingspread_decisions::peer_messages::{self, Outbox, PeerMessageHandler};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// FNV-1a, 64 bits.
fn digest(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

fn compare(fixture: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(fixture);
    if std::env::var_os("PINNED").is_some_and(|how| how == "write") {
        std::fs::write(&path, text).expect("the fixture can be written");
    }
    let pinned = std::fs::read_to_string(&path).expect("the fixture can be read");
    assert_eq!(text, pinned, "{} differs", path.display());
}

#[test]
fn the_calls_of_seeded_runs_are_as_pinned() {
    let mut lines = String::new();
    let mut kinds = BTreeSet::new();
    for (name, extra, servers, rate) in SETTINGS {
        for seed in 1..=3 {
            let text = play(extra, servers, rate, seed);
            let digest = digest(&text);
            writeln!(lines, "{name} {seed} {} lines {digest:016x}", text.lines().count())
                .expect("a string takes all");
            kinds.extend(text.lines().filter_map(|line| line.split(' ').nth(1)).map(str::to_string));
            if let Some(to) = std::env::var_os("PINNED_TEXTS") {
                std::fs::write(Path::new(&to).join(format!("{name}-{seed}")), text).expect("a text is kept");
            }
        }
    }
    let wanted =
        "asked cancel check decline learnt left let next note relay subscribe tell terminate wake zone";
    assert_eq!(kinds.into_iter().collect::<Vec<_>>().join(" "), wanted);
    compare("calls.txt", &lines);
}

#[derive(Default)]
struct Heard(String);

impl PeerMessageHandler for Heard {
    fn idle_connection_broke(&mut self, idle: Duration) {
        writeln!(self.0, "  broke {}", idle.as_nanos()).expect("a string takes all");
    }

    fn class_outcome(&mut self, server: u32, verb: usize, answered: bool) -> bool {
        writeln!(self.0, "  verb {server} {verb} {answered}").expect("a string takes all");
        server != 0
    }

    fn peer_request_rate(&mut self, per_s: f64) {
        writeln!(self.0, "  traffic {per_s}").expect("a string takes all");
    }
}

#[test]
fn the_bytes_of_words_are_as_pinned() {
    let mut messages = Vec::new();
    let mut words = Outbox::default();
    for span in [0, 1, 299, 1100, 65_535, 65_536, 900_000] {
        words.idle_connection_broke(ms(span));
    }
    messages.extend(words.take());
    for (server, verb, answered) in
        [(77, 2, false), (0xff_ffff, 63, true), (1, 64, true), (0x0123_4567, 0, false), (0, 1, true)]
    {
        words.class_outcome(server, verb, answered);
    }
    messages.extend(words.take());
    (0..100).for_each(|server| words.class_outcome(server, 1, server % 2 == 0));
    messages.extend(words.take());
    messages.extend(words.take());
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
        let mut heard = Heard::default();
        let unheard = peer_messages::read(&message, &mut heard);
        write!(text, "{}\n{}", bytes.concat(), heard.0).expect("a string takes all");
        writeln!(text, "  garbled {} strange {}", unheard.malformed, unheard.unknown_server)
            .expect("a string takes all");
    }
    compare("words.txt", &text);
}
