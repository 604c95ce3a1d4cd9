//! A server drops repeats of a deduplicated request for a limited time. Past that time, counted from the first byte of the
//! attempt that may have run, the sidecar sends no repeat, even if the connection for it is established late.

mod helpers;

use helpers::gate::*;
use helpers::*;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The kernel retransmits a SYN after 1 s: after this deduplication window, but within `LONG_WINDOW`.
const SHORT_WINDOW: Duration = Duration::from_millis(600);
const LONG_WINDOW: Duration = Duration::from_millis(1700);
/// An empty response closes the connection.
const CLOSE: &[u8] = b"";

/// A sidecar with half of its servers at `near`, which accepts requests, and half at `far`, where connections hang.
fn start_sidecar(
    near: &Gate,
    far: &Gate,
    parallel: bool,
    cancel: bool,
    window: Duration,
) -> (Sidecar, std::sync::Arc<landingspread_lab::sockets::Discovery>) {
    let discovery = start_discovery();
    let ids: Vec<String> = (0..6).map(|number| format!("s{number}")).collect();
    let known: Vec<_> = ids[..3].iter().map(|id| (id.as_str(), near.address, "ready")).collect();
    let sidecar = Sidecar::start_as(&endpoint_list(1, &known), discovery.address, |config| {
        set_long_limits(config, cancel);
        config["settings"]["PolicyLimits"]["ParallelTries"] = json!(parallel);
        config["settings"]["Verbs"][1]["MemorySpan"] = json!(window.as_micros() as u64);
    });
    for number in 0..40 {
        assert_eq!(sidecar.send_request("hold", &format!("w{number}"), 3900), 200);
    }
    let before = discovery.call_counts().0;
    let servers = ids.iter().enumerate();
    let at = |number: usize| if number < 3 { near.address } else { far.address };
    let servers: Vec<_> = servers.map(|(number, id)| (id.as_str(), at(number), "ready")).collect();
    discovery.set_raw_list(2, endpoint_list(2, &servers).to_string());
    wait_until("the sidecar has the new list", || discovery.call_counts().0 > before);
    (sidecar, discovery)
}

/// The number of repeats, and the id and age of those whose first byte came after the window. `far` opens late in the
/// short window.
fn count_repeats(parallel: bool, cancel: bool, window: Duration) -> (usize, Vec<(String, Duration)>) {
    let (near, mut far) = (Gate::start_open(), Gate::start_closed());
    let (sidecar, _discovery) = start_sidecar(&near, &far, parallel, cancel, window);
    // With parallel attempts the first one stays unanswered; without them its connection is closed.
    *near.response.lock().expect("lock is not poisoned") = CLOSE;
    near.answering.store(!parallel, Ordering::Relaxed);
    let mut clients = Vec::new();
    let mut send_next = |number: usize| {
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        let text = request_text("hold", &format!("r{number}"), 3900);
        stream.write_all(text.as_bytes()).expect("failed to write to the connection");
        clients.push(stream);
    };
    (0..12).for_each(&mut send_next);
    let sent = Instant::now();
    // The balancer picks servers at random: more requests follow until four attempts wait for `far`.
    let mut more = 12..24;
    wait_until("four attempts wait for a connection to `far`", || {
        let enough = connecting_count(far.address) >= 4;
        if !enough && sent.elapsed() > ms(25) {
            more.next().into_iter().for_each(&mut send_next);
        }
        enough
    });
    thread::sleep(Duration::from_millis(400).saturating_sub(sent.elapsed()));
    far.open();
    thread::sleep(DIAL_RETRY_WAIT.saturating_sub(sent.elapsed()));
    near.answering.store(true, Ordering::Relaxed);
    for stream in &mut clients {
        let status = read_response(stream).map(|(status, ..)| status);
        assert!(status.is_some(), "a request got no final response");
    }
    let (first_attempts, later_attempts) = (near.received(), far.received());
    let mut late = Vec::new();
    let mut repeats = 0;
    for (id, at) in later_attempts {
        let earlier = first_attempts
            .iter()
            .filter(|(other, begun)| *other == id && *begun < at)
            .map(|(_, at)| *at)
            .min();
        let Some(earlier) = earlier else { continue };
        repeats += 1;
        if at - earlier > window {
            late.push((id, at - earlier));
        }
    }
    (repeats, late)
}

#[test]
fn repeat_is_sent_only_within_the_deduplication_window() {
    let mut failures = Vec::new();
    for (parallel, cancel) in [(false, true), (false, false), (true, true), (true, false)] {
        for window in [SHORT_WINDOW, LONG_WINDOW] {
            let (all, late) = count_repeats(parallel, cancel, window);
            let late_count = late.len();
            println!(
                "parallel attempts: {parallel}, cancellation: {cancel}, {window:?}: {all} repeats, {late_count} late"
            );
            if !late.is_empty() || (window == LONG_WINDOW && all == 0) {
                failures.push((parallel, cancel, window, all, late));
            }
        }
    }
    assert!(
        failures.is_empty(),
        "(parallel attempts, cancellation, window, repeats, late ones): {failures:?}"
    );
}
