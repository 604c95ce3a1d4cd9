//! A receipted command is not sent again past the time for which its repeats are dropped, counted from the first byte of
//! the attempt that may have run, also where the connection for the repeat comes up late.

mod helpers;

use helpers::gate::*;
use helpers::*;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The second try of a dial, 1 s after the first, comes past the one and within the other.
const SHORT: Duration = Duration::from_millis(600);
const LONG: Duration = Duration::from_millis(1700);
const CUT: &[u8] = b"";

/// Some are at `near`, which takes commands and says what it is told to; the connections of the others hang.
fn sidecar_before(
    near: &Gate,
    far: &Gate,
    parallel: bool,
    cancel: bool,
    window: Duration,
) -> (Sidecar, std::sync::Arc<landingspread_lab::sockets::Discovery>) {
    let discovery = list_source();
    let names: Vec<String> = (0..6).map(|number| format!("s{number}")).collect();
    let known: Vec<_> = names[..3].iter().map(|name| (name.as_str(), near.address, "ready")).collect();
    let sidecar = Sidecar::start_as(&catalog(1, &known), discovery.address, |config| {
        roomy(config, cancel);
        config["settings"]["PolicyLimits"]["ParallelTries"] = json!(parallel);
        config["settings"]["Verbs"][1]["MemorySpan"] = json!(window.as_micros() as u64);
    });
    for number in 0..40 {
        assert_eq!(sidecar.cmd("hold", &format!("w{number}"), 3900), 200);
    }
    let before = discovery.seen().0;
    let both = names.iter().enumerate();
    let at = |number: usize| if number < 3 { near.address } else { far.address };
    let both: Vec<_> = both.map(|(number, name)| (name.as_str(), at(number), "ready")).collect();
    discovery.write(2, catalog(2, &both).to_string());
    within("the list is taken", || discovery.seen().0 > before);
    (sidecar, discovery)
}

/// How many repeats there were, and those whose first byte came past the window. The gate opens after most of the short
/// one.
fn repeats(parallel: bool, cancel: bool, window: Duration) -> (usize, Vec<(String, Duration)>) {
    let (near, mut far) = (Gate::opened(), Gate::closed());
    let (sidecar, _discovery) = sidecar_before(&near, &far, parallel, cancel, window);
    // Of a pair the first hangs; alone, it is cut off.
    *near.word.lock().expect("a lock") = CUT;
    near.answers.store(!parallel, Ordering::Relaxed);
    let mut callers = Vec::new();
    let mut ask = |number: usize| {
        let mut stream = sidecar.open().expect("a connection");
        let text = cmd("hold", &format!("r{number}"), 3900);
        stream.write_all(text.as_bytes()).expect("it is written");
        callers.push(stream);
    };
    (0..12).for_each(&mut ask);
    let asked = Instant::now();
    // How many of them are drawn to `far` is chance: more are asked for until four wait there.
    let mut more = 12..24;
    within("some wait for a connection", || {
        let enough = dialling(far.address) >= 4;
        if !enough && asked.elapsed() > ms(25) {
            more.next().into_iter().for_each(&mut ask);
        }
        enough
    });
    thread::sleep(Duration::from_millis(400).saturating_sub(asked.elapsed()));
    far.open();
    thread::sleep(LOOKED_FOR.saturating_sub(asked.elapsed()));
    near.answers.store(true, Ordering::Relaxed);
    for stream in &mut callers {
        let word = answer(stream).map(|(status, ..)| status);
        assert!(word.is_some(), "each has a final word");
    }
    let (first, again) = (near.came(), far.came());
    let mut late = Vec::new();
    let mut repeats = 0;
    for (id, at) in again {
        let earlier =
            first.iter().filter(|(other, begun)| *other == id && *begun < at).map(|(_, at)| *at).min();
        let Some(earlier) = earlier else { continue };
        repeats += 1;
        if at - earlier > window {
            late.push((id, at - earlier));
        }
    }
    (repeats, late)
}

#[test]
fn a_repeat_whose_connection_comes_up_past_its_window_is_not_written_and_within_it_is() {
    let mut wrong = Vec::new();
    for (parallel, cancel) in [(false, true), (false, false), (true, true), (true, false)] {
        for window in [SHORT, LONG] {
            let (all, late) = repeats(parallel, cancel, window);
            let late_ones = late.len();
            println!(
                "in pairs: {parallel}, cancelling allowed: {cancel}, {window:?}: {all} repeats, {late_ones} late"
            );
            if !late.is_empty() || (window == LONG && all == 0) {
                wrong.push((parallel, cancel, window, all, late));
            }
        }
    }
    assert!(wrong.is_empty(), "in pairs, cancelling allowed, window, repeats, late ones: {wrong:?}");
}
