//! Clients that disconnect: no attempt of their request, first or later, begins more than 0.1 s after the sidecar could
//! read the disconnection. Each case combines what the request waits for, how the client disconnects, and whether the
//! sidecar is stopped meanwhile. `docs/endings.md` lists the cases.

mod helpers;

use helpers::gate::*;
use helpers::*;
use serde_json::json;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NEVER_RAN: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 2\r\n\r\nno";
/// An empty response closes the connection.
const CLOSE: &[u8] = b"";
const CLIENTS: usize = 24;
/// Number of cases that run at the same time.
const PARALLEL_CASES: usize = 4;

/// What a request waits for when its client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WaitsFor {
    /// The connection of the first attempt.
    FirstConnection,
    /// The connection of a retry, after an attempt that is known not to have run. If the sidecar is stopped, the response
    /// of that attempt.
    RetryAfterRefusal,
    /// The connection of a retry, after an attempt that may have run. If the sidecar is stopped, the end of that attempt.
    RetryAfterClose,
    /// The connection of the second of two parallel attempts, while the first one is unanswered.
    ParallelConnection,
    /// The start of its first attempt: the sidecar queues the request while its servers are busy.
    Queue,
}

const WAITS: [WaitsFor; 5] = [
    WaitsFor::FirstConnection,
    WaitsFor::RetryAfterRefusal,
    WaitsFor::RetryAfterClose,
    WaitsFor::ParallelConnection,
    WaitsFor::Queue,
];
const DEPARTURES: [Departure; 4] =
    [Departure::Closes, Departure::HalfCloses, Departure::Resets, Departure::PipelinesManyRequests];

#[derive(Clone, Copy, Debug)]
struct Case {
    waits_for: WaitsFor,
    departure: Departure,
    /// Whether the sidecar may cancel attempts.
    cancel: bool,
    /// Whether the sidecar is stopped while clients disconnect and what they wait for arrives.
    stopped: bool,
}

#[derive(Default)]
struct Outcome {
    /// Number of clients that disconnected before an attempt of theirs.
    disconnected: usize,
    begun_late: usize,
    connecting_late: usize,
    /// From when the disconnections could be read until the last connection attempt was given up.
    longest: Duration,
    /// How long the sidecar waited for a processor during that time.
    processor_wait: Duration,
}

/// Waits until the count has not changed for 60 ms, and returns it.
fn wait_until_stable(count: impl Fn() -> usize) -> usize {
    let (mut last, mut since) = (count(), Instant::now());
    while since.elapsed() < ms(60) {
        thread::sleep(ms(5));
        if std::mem::replace(&mut last, count()) != last {
            since = Instant::now();
        }
    }
    last
}

fn answer_with(gate: &Gate, response: &'static [u8]) {
    *gate.response.lock().expect("lock is not poisoned") = response;
    gate.answering.store(true, Ordering::Relaxed);
}

fn run_case(case: Case) -> Outcome {
    let Case { waits_for, departure, cancel, stopped } = case;
    let crosses = stopped && matches!(waits_for, WaitsFor::RetryAfterRefusal | WaitsFor::RetryAfterClose);
    // First attempts go to `near` or `far`; retries go from `near` on to `far`.
    let near = Gate::start_open();
    let mut far = if crosses { Gate::start_open() } else { Gate::start_closed() };
    let ids: Vec<String> = (0..CLIENTS).map(|number| format!("s{number}")).collect();
    let list = |near_count: usize, all: usize| {
        let at = |number: usize| if number < near_count { near.address } else { far.address };
        let entries = ids[..all].iter().enumerate();
        entries.map(|(number, id)| (id.as_str(), at(number), "ready")).collect::<Vec<_>>()
    };
    let known = match waits_for {
        WaitsFor::FirstConnection => list(0, CLIENTS),
        WaitsFor::RetryAfterRefusal | WaitsFor::RetryAfterClose => list(CLIENTS / 2, CLIENTS),
        WaitsFor::ParallelConnection => list(CLIENTS / 2, CLIENTS / 2),
        WaitsFor::Queue => list(1, 1),
    };
    let discovery = start_discovery();
    let sidecar = Sidecar::start_as(&endpoint_list(1, &known), discovery.address, |config| {
        set_long_limits(config, cancel);
        config["settings"]["PolicyLimits"]["ParallelTries"] =
            json!(waits_for == WaitsFor::ParallelConnection);
    });
    match waits_for {
        WaitsFor::ParallelConnection => {
            for number in 0..40 {
                assert_eq!(sidecar.send_request(VERBS[number % 2], &format!("w{number}"), 3900), 200);
            }
            let before = discovery.call_counts().0;
            discovery.set_raw_list(2, endpoint_list(2, &list(CLIENTS / 2, CLIENTS)).to_string());
            wait_until("the sidecar has the new list", || discovery.call_counts().0 > before);
            near.answering.store(false, Ordering::Relaxed);
        }
        WaitsFor::RetryAfterRefusal if !stopped => answer_with(&near, NEVER_RAN),
        WaitsFor::RetryAfterClose if !stopped => answer_with(&near, CLOSE),
        _ => near.answering.store(false, Ordering::Relaxed),
    }
    let warm_up = near.received().len();
    let mut clients = Vec::new();
    let mut send_next = |number: usize| {
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        write_request(departure, &mut stream, VERBS[number % VERBS.len()], &format!("c{number}"));
        clients.push(stream);
    };
    (0..CLIENTS).for_each(&mut send_next);
    let disconnected = match waits_for {
        WaitsFor::FirstConnection => {
            wait_until("all requests wait for a connection", || connecting_count(far.address) == CLIENTS);
            CLIENTS
        }
        WaitsFor::Queue => {
            wait_until("two requests have reached the server", || near.received().len() >= 2);
            CLIENTS - wait_until_stable(|| near.received().len())
        }
        _ if crosses => {
            wait_until("a first attempt has reached the server", || near.received().len() > warm_up);
            wait_until_stable(|| near.received().len())
        }
        _ => {
            // The balancer picks servers at random: more requests follow until four attempts wait for `far`.
            let (begun, mut more) = (Instant::now(), CLIENTS..2 * CLIENTS);
            wait_until("four attempts wait for a connection to `far`", || {
                let enough = connecting_count(far.address) >= 4;
                if !enough && begun.elapsed() > ms(25) {
                    more.next().into_iter().for_each(&mut send_next);
                }
                enough
            });
            wait_until_stable(|| connecting_count(far.address))
        }
    };
    assert!(
        near.received().len() > warm_up || waits_for == WaitsFor::FirstConnection,
        "{case:?}: no first attempt reached the server"
    );
    assert!(disconnected > 0, "{case:?}");
    if stopped {
        pause(&sidecar);
    }
    clients.into_iter().for_each(|stream| disconnect(departure, stream));
    match waits_for {
        _ if !stopped => {}
        WaitsFor::FirstConnection | WaitsFor::ParallelConnection => {
            far.open();
            wait_until("the connections are established", || connecting_count(far.address) == 0);
        }
        WaitsFor::RetryAfterRefusal => answer_with(&near, NEVER_RAN),
        WaitsFor::RetryAfterClose => answer_with(&near, CLOSE),
        WaitsFor::Queue => answer_with(&near, OK),
    }
    if stopped {
        thread::sleep(DEPARTURE_BOUND + ms(20));
        resume(&sidecar);
    }
    // From here on the sidecar can read the disconnections, as far as it gets processor time.
    let (readable, before) = (Instant::now(), processor_wait(&sidecar));
    let bound = || DEPARTURE_BOUND + processor_wait(&sidecar).saturating_sub(before);
    let mut connecting_late = connecting_count(far.address);
    let mut longest = Duration::ZERO;
    while connecting_late > 0 && readable.elapsed() < bound() {
        thread::sleep(ms(2));
        connecting_late = connecting_count(far.address);
        longest = readable.elapsed();
    }
    let processor_wait = bound() - DEPARTURE_BOUND;
    thread::sleep((DEPARTURE_BOUND + ms(20)).saturating_sub(readable.elapsed()));
    if !stopped && waits_for != WaitsFor::Queue {
        far.open();
    }
    answer_with(&near, OK);
    thread::sleep(DIAL_RETRY_WAIT.saturating_sub(readable.elapsed()));
    let late = |gate: &Gate| {
        gate.received().iter().filter(|(_, at)| *at > readable + DEPARTURE_BOUND + processor_wait).count()
    };
    let begun_late = late(&near) + late(&far);
    far.open();
    let next_id = AtomicUsize::new(0);
    wait_until("requests are still answered", || {
        let number = next_id.fetch_add(1, Ordering::Relaxed);
        sidecar.send_request("view", &format!("on{number}"), 1500) == 200
    });
    Outcome { disconnected, begun_late, connecting_late, longest, processor_wait }
}

/// Runs all cases of this kind and returns how many clients disconnected before an attempt of theirs.
fn run_all_cases(cancel: bool, stopped: bool) -> usize {
    let cases = WAITS
        .into_iter()
        .flat_map(|waits_for| DEPARTURES.map(|departure| Case { waits_for, departure, cancel, stopped }));
    let remaining: Arc<Mutex<Vec<Case>>> = Arc::new(Mutex::new(cases.collect()));
    let (all, failures) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::new())));
    let mut runners = Vec::new();
    for _ in 0..PARALLEL_CASES {
        let (remaining, all, failures) = (remaining.clone(), all.clone(), failures.clone());
        runners.push(thread::spawn(move || {
            while let Some(case) = { remaining.lock().expect("lock is not poisoned").pop() } {
                let Outcome { disconnected, begun_late, connecting_late, longest, processor_wait } = run_case(case);
                println!(
                    "{case:?}: {disconnected} disconnected, {begun_late} attempts begun late, {connecting_late} connecting late, \
                     last connection given up after {longest:?}, waited for a processor {processor_wait:?}"
                );
                all.fetch_add(disconnected, Ordering::Relaxed);
                if begun_late + connecting_late > 0 {
                    failures
                        .lock()
                        .expect("lock is not poisoned")
                        .push(format!("{case:?}: {begun_late}, {connecting_late}"));
                }
            }
        }));
    }
    runners.into_iter().for_each(|runner| runner.join().expect("case runner thread panicked"));
    let failures = failures.lock().expect("lock is not poisoned");
    assert!(
        failures.is_empty(),
        "attempts begun, or still connecting, 0.1 s after their clients disconnected: {failures:?}"
    );
    all.load(Ordering::Relaxed)
}

#[test]
fn no_attempt_begins_for_a_disconnected_client() {
    let mut disconnected = 0;
    for cancel in [true, false] {
        for stopped in [false, true] {
            let count = run_all_cases(cancel, stopped);
            println!("cancelling allowed: {cancel}, stopped across it: {stopped}: {count} disconnected");
            disconnected += count;
        }
    }
    println!("{disconnected} disconnected");
    assert!(disconnected >= 1000, "{disconnected} disconnected");
}
