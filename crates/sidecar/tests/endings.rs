//! Requests during which their client, server or sidecar ends. The tests force each race: a test server accepts no connection
//! until it is opened, and the sidecar is stopped while two events happen. `docs/endings.md` lists the cases.

mod helpers;

use helpers::gate::*;
use helpers::*;
use landingspread_lab::sockets::{Peer, ScriptedBehavior};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const DEPARTURES: [Departure; 7] = [
    Departure::Closes,
    Departure::HalfCloses,
    Departure::Resets,
    Departure::PipelinesManyRequests,
    Departure::MidBody,
    Departure::WhilePaused,
    Departure::BeforeFirstRead,
];
/// Requests of each class in one run: the sidecar sends about 30 at once here and queues the rest.
const REQUESTS_PER_CLASS: usize = 8;
const RUNS: usize = 3;

/// Lets clients with requests of all classes disconnect in one way. Returns how many disconnected, and how many of their
/// requests reached the server before and after `DEPARTURE_BOUND`.
fn run_disconnections(departure: Departure, cancel: bool) -> (usize, usize, usize) {
    let mut gate = Gate::start_closed();
    let discovery = start_discovery();
    let known = servers_at(gate.address, VERBS.len() * REQUESTS_PER_CLASS);
    let sidecar = Sidecar::start_as(&known, discovery.address, |config| set_long_limits(config, cancel));
    if departure == Departure::BeforeFirstRead {
        gate.open();
        pause(&sidecar);
    }
    let mut staying_client = sidecar.connect().expect("failed to connect to the sidecar");
    staying_client
        .write_all(request_text("view", "stays", 3900).as_bytes())
        .expect("failed to write to the connection");
    let mut clients = Vec::new();
    for (number, verb) in
        (0..VERBS.len() * REQUESTS_PER_CLASS).map(|number| (number, VERBS[number % VERBS.len()]))
    {
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        write_request(departure, &mut stream, verb, &format!("c{number}"));
        clients.push(stream);
    }
    if departure != Departure::BeforeFirstRead {
        wait_until("all requests wait for a connection", || {
            connecting_count(gate.address) == clients.len() + 1
        });
    }
    if departure == Departure::WhilePaused {
        pause(&sidecar);
    }
    let count = clients.len();
    clients.into_iter().for_each(|stream| disconnect(departure, stream));
    let disconnected = Instant::now();
    if matches!(departure, Departure::BeforeFirstRead | Departure::WhilePaused) {
        if departure == Departure::WhilePaused {
            gate.open();
            wait_until("the connections are established", || connecting_count(gate.address) == 0);
        }
        thread::sleep(DEPARTURE_BOUND.saturating_sub(disconnected.elapsed()) + ms(20));
        resume(&sidecar);
    } else {
        // A request that is still connecting after 0.25 s would be written as soon as the server accepts it.
        thread::sleep(ms(250));
        gate.open();
    }
    let (status, ..) = read_response(&mut staying_client).expect("no final response from the sidecar");
    assert_eq!(status, 200, "the client that stays connected is answered: {departure:?}");
    thread::sleep(DIAL_RETRY_WAIT.saturating_sub(disconnected.elapsed()));
    let received = gate.received();
    assert!(received.iter().any(|(id, _)| id == "stays"));
    let of_disconnected: Vec<&Instant> =
        received.iter().filter(|(id, _)| id != "stays").map(|(_, at)| at).collect();
    let late = of_disconnected.iter().filter(|at| **at > &(disconnected + DEPARTURE_BOUND)).count();
    (count, of_disconnected.len() - late, late)
}

fn assert_no_request_is_late(cancel: bool) {
    let (mut all, mut in_time, mut failures) = (0, 0, Vec::new());
    for departure in DEPARTURES {
        let runs: Vec<_> =
            (0..RUNS).map(|_| thread::spawn(move || run_disconnections(departure, cancel))).collect();
        let results = runs.into_iter().map(|run| run.join().expect("run thread panicked"));
        let (disconnected, within, late) = results.fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
        println!(
            "cancellation: {cancel}, {departure:?}: {disconnected} disconnected, {within} sent within 0.1 s, {late} later"
        );
        (all, in_time) = (all + disconnected, in_time + within);
        if late > 0 {
            failures.push(format!("{departure:?}: {late} of {disconnected}"));
        }
    }
    println!("cancellation: {cancel}: {all} disconnected, {in_time} sent within 0.1 s");
    assert!(failures.is_empty(), "requests sent 0.1 s after their clients disconnected: {failures:?}");
}

#[test]
fn disconnected_client_request_is_not_sent_with_cancellation() {
    assert_no_request_is_late(true);
}

#[test]
fn disconnected_client_request_is_not_sent_without_cancellation() {
    assert_no_request_is_late(false);
}

#[test]
fn queued_request_of_a_disconnected_client_is_not_sent() {
    for cancel in [true, false] {
        let mut gate = Gate::start_closed();
        gate.answering.store(false, Ordering::Relaxed);
        gate.open();
        let discovery = start_discovery();
        let known = endpoint_list(1, &[("s1", gate.address, "ready")]);
        let sidecar = Sidecar::start_as(&known, discovery.address, |config| set_long_limits(config, cancel));
        let mut clients = Vec::new();
        for number in 0..8 {
            let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
            stream
                .write_all(request_text("confirm", &format!("h{number}"), 3900).as_bytes())
                .expect("failed to write to the connection");
            clients.push(stream);
        }
        wait_until("two requests have reached the server", || gate.received().len() >= 2);
        thread::sleep(ms(50));
        let open = gate.received().len();
        assert!(open < clients.len(), "no request is queued: {open} are open");
        // The sidecar reads the disconnection and the response that frees a place at the same time.
        pause(&sidecar);
        clients.into_iter().for_each(drop);
        let disconnected = Instant::now();
        gate.answering.store(true, Ordering::Relaxed);
        thread::sleep(DEPARTURE_BOUND + ms(50));
        resume(&sidecar);
        assert_eq!(sidecar.send_request("view", "after", 1500), 200);
        thread::sleep(ms(300));
        let late = gate
            .received()
            .iter()
            .filter(|(id, at)| id != "after" && *at > disconnected + DEPARTURE_BOUND)
            .count();
        assert_eq!(late, 0, "cancellation: {cancel}");
    }
}

#[test]
fn connecting_attempt_leaves_a_server_that_drains_or_moves() {
    let other = start_endpoint(ScriptedBehavior::Respond);
    for (round, change) in ["draining", "gone", "missing", "moved"].into_iter().enumerate() {
        let mut gate = Gate::start_closed();
        let discovery = start_discovery();
        let known = endpoint_list(1, &[("s1", gate.address, "ready")]);
        let sidecar = Sidecar::start_as(&known, discovery.address, |config| set_long_limits(config, false));
        let mut clients: Vec<TcpStream> = Vec::new();
        for (number, verb) in VERBS.into_iter().enumerate() {
            let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
            stream
                .write_all(request_text(verb, &format!("d{round}-{number}"), 3900).as_bytes())
                .expect("failed to write to the connection");
            clients.push(stream);
        }
        wait_until("all requests wait for a connection", || connecting_count(gate.address) == VERBS.len());
        let entries = match change {
            "missing" => vec![("s2", other.address, "ready")],
            "moved" => vec![("s1", other.address, "ready")],
            state => vec![("s1", gate.address, state), ("s2", other.address, "ready")],
        };
        discovery.set_raw_list(2, endpoint_list(2, &entries).to_string());
        wait_until("the connection attempts are given up", || connecting_count(gate.address) == 0);
        let abandoned = Instant::now();
        gate.open();
        for stream in &mut clients {
            // A request never goes to the same server twice, even if its address has changed.
            let expected = if change == "moved" { 503 } else { 200 };
            assert_eq!(read_response(stream).map(|(status, ..)| status), Some(expected), "{change}");
        }
        thread::sleep(DIAL_RETRY_WAIT.saturating_sub(abandoned.elapsed()));
        assert!(gate.received().is_empty(), "{change}: {:?}", gate.received());
    }
}

#[test]
fn long_body_is_not_sent_again_after_its_attempt_is_cancelled() {
    // A server that answers short requests and leaves long ones unanswered.
    let listener = bind_unused_port();
    let (address, begun) =
        (listener.local_addr().expect("listener has a local address"), Arc::<Mutex<usize>>::default());
    let counted = begun.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counted = counted.clone();
            thread::spawn(move || {
                let _ = stream.peek(&mut [0]);
                let mut peer = Peer::new(stream);
                while let Ok(Some(request)) = peer.read_request() {
                    if request.body.len() > 1000 {
                        *counted.lock().expect("lock is not poisoned") += 1;
                        thread::sleep(ms(3000));
                        return;
                    }
                    let _ = peer.write(OK);
                }
            });
        }
    });
    let discovery = start_discovery();
    let known =
        endpoint_list(1, &[("s1", address, "ready"), ("s2", address, "ready"), ("s3", address, "ready")]);
    let sidecar = Sidecar::start_as(&known, discovery.address, |config| set_long_limits(config, true));
    for number in 0..60 {
        assert_eq!(sidecar.send_request("view", &format!("w{number}"), 1500), 200);
    }
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let length = 150_000;
    let head = request_text("view", "long", 1200)
        .replace("\r\n\r\n", &format!("\r\nContent-Length: {length}\r\n\r\n"));
    stream.write_all(head.as_bytes()).expect("failed to write to the connection");
    stream.write_all(&vec![b'x'; length]).expect("failed to write to the connection");
    let sent = Instant::now();
    let status = read_response(&mut stream).map(|(status, ..)| status);
    assert!(status.is_some(), "no final response");
    assert!(sent.elapsed() < ms(1300), "{status:?} after {:?}", sent.elapsed());
    assert_eq!(*begun.lock().expect("lock is not poisoned"), 1, "number of attempts of the long request");
}

#[test]
fn after_sigterm_accepted_requests_are_answered_and_it_exits() {
    // One server answers and one does not. A third one, different in each run, accepts no connection.
    let (answering, hanging) =
        (start_endpoint(ScriptedBehavior::Respond), start_endpoint(ScriptedBehavior::RespondAfterMs(20_000)));
    let mut runs = Vec::new();
    for number in 0..24u64 {
        let (answering, hanging) = (answering.address, hanging.address);
        runs.push(thread::spawn(move || run_shutdown(number, answering, hanging)));
    }
    runs.into_iter().for_each(|run| run.join().expect("run thread panicked"));
}

/// Shuts one process down with requests at every stage. The run's number decides whether cancellation is allowed, whether
/// the process is stopped when the signal arrives, and whether more signals follow.
fn run_shutdown(number: u64, answering: SocketAddr, hanging: SocketAddr) {
    let gate = Gate::start_closed();
    let discovery = start_discovery();
    let known = endpoint_list(
        1,
        &[("s1", answering, "ready"), ("s2", hanging, "ready"), ("s3", gate.address, "ready")],
    );
    let limit = ms(800);
    let mut sidecar = Sidecar::start_as(&known, discovery.address, |config| {
        set_long_limits(config, number.is_multiple_of(2));
        for verb in config["settings"]["Verbs"].as_array_mut().expect("settings contain a Verbs array") {
            (verb["TimeLimit"], verb["ResponseGoal"]) = (json!(800_000), json!(800_000));
        }
    });
    let verb = |at: u64| VERBS[(at % 3) as usize];
    let send = |at: u64| {
        let mut stream = sidecar.connect()?;
        let text = request_text(verb(at), &format!("e{number}-{at}"), 800);
        stream.write_all(text.as_bytes()).ok()?;
        Some(stream)
    };
    // A reused connection, one in the middle of a head, one in the middle of a body, and a silent one.
    let mut reused = sidecar.connect().expect("failed to connect to the sidecar");
    reused
        .write_all(request_text("view", &format!("k{number}"), 800).as_bytes())
        .expect("failed to write to the connection");
    let _ = read_response(&mut reused);
    let mut partial_head = sidecar.connect().expect("failed to connect to the sidecar");
    partial_head.write_all(b"GET /view/1 HTTP/1.1\r\nHost: a").expect("failed to write to the connection");
    let mut partial_body = sidecar.connect().expect("failed to connect to the sidecar");
    let long = request_text("confirm", &format!("b{number}"), 800)
        .replace("Content-Length: 4", "Content-Length: 200000");
    partial_body.write_all(long.as_bytes()).expect("failed to write to the connection");
    let _silent = sidecar.connect().expect("failed to connect to the sidecar");
    let mut open: Vec<TcpStream> = (0..4).filter_map(send).collect();
    let paused = number.is_multiple_of(3);
    if paused {
        // The sidecar finds the signal and the requests before and after it at the same time.
        pause(&sidecar);
    }
    open.extend((4..8).filter_map(send));
    sidecar.signal("-TERM");
    open.extend((8..12).filter_map(send));
    if paused {
        resume(&sidecar);
    }
    let terminated = Instant::now();
    if number % 4 == 1 {
        sidecar.signal("-TERM");
        sidecar.signal("-HUP");
    }
    // One more request on the reused connection, and one on a new connection a little later.
    let again = reused.write_all(request_text("view", &format!("l{number}"), 800).as_bytes()).is_ok();
    thread::sleep(ms(200));
    let late = send(12);
    let status = |stream: &mut TcpStream| read_response(stream).map(|(status, ..)| status);
    assert_eq!(open.len(), 12);
    for (at, stream) in open.iter_mut().chain(late.into_iter().collect::<Vec<_>>().iter_mut()).enumerate() {
        let status = status(stream);
        assert!(matches!(status, Some(200 | 502 | 503)), "run {number}, request {at}: {status:?}");
    }
    if again {
        assert!(
            matches!(status(&mut reused), Some(200 | 502 | 503)),
            "run {number}: no response on the reused connection"
        );
    }
    let within_limit = limit + ms(700);
    let end = loop {
        if let Some(end) = sidecar.child.try_wait().expect("failed to query the sidecar process") {
            break end;
        }
        assert!(
            terminated.elapsed() < within_limit,
            "run {number}: sidecar still runs after {within_limit:?}"
        );
        thread::sleep(ms(5));
    };
    assert!(end.success(), "run {number}: {end}");
    drop((partial_head, partial_body));
}

/// Requests that are open at SIGTERM and expire only after the platform kills the process get a response before that.
#[test]
fn after_sigterm_long_requests_are_answered_before_the_kill() {
    for cancel in [true, false] {
        let mut gate = Gate::start_closed();
        let hanging = start_endpoint(ScriptedBehavior::RespondAfterMs(20_000));
        let discovery = start_discovery();
        let known = endpoint_list(1, &[("s1", hanging.address, "ready"), ("s2", gate.address, "ready")]);
        let mut sidecar = Sidecar::start_as(&known, discovery.address, |config| {
            set_long_limits(config, cancel);
            config["settings"]["PolicyLimits"]["DialTimeout"] = json!(30_000_000);
            for verb in config["settings"]["Verbs"].as_array_mut().expect("settings contain a Verbs array") {
                (verb["TimeLimit"], verb["ResponseGoal"]) = (json!(9_000_000), json!(9_000_000));
            }
        });
        let send = |number: usize| {
            let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
            let text = request_text(VERBS[number % 3], &format!("t{number}"), 9000);
            stream.write_all(text.as_bytes()).expect("failed to write to the connection");
            stream
        };
        let mut open: Vec<TcpStream> = (0..9).map(send).collect();
        wait_until("some requests are open and some wait for a connection", || {
            hanging.request_count() > 0 && connecting_count(gate.address) > 0
        });
        sidecar.signal("-TERM");
        let terminated = Instant::now();
        for (number, stream) in open.iter_mut().enumerate() {
            let status = read_response(stream).map(|(status, ..)| status);
            // 503 says that a retry is harmless, as the request did not run or may be repeated; 502 that it may have run.
            let expected =
                matches!(status, Some(503)) || (VERBS[number % 3] != "view" && status == Some(502));
            assert!(
                expected,
                "cancellation: {cancel}, request {number}: {status:?} after {:?}",
                terminated.elapsed()
            );
        }
        let end = loop {
            if let Some(end) = sidecar.child.try_wait().expect("failed to query the sidecar process") {
                break end;
            }
            assert!(terminated.elapsed() < ms(3700), "sidecar still runs when the platform would kill it");
            thread::sleep(ms(5));
        };
        assert!(end.success(), "{end}");
        gate.open();
        thread::sleep(ms(300));
        assert!(gate.received().is_empty());
    }
}

#[test]
fn parallel_attempt_does_not_begin_after_the_response() {
    for cancel in [true, false] {
        let mut gate = Gate::start_closed();
        let server = start_endpoint(ScriptedBehavior::RespondAfterMs(30));
        let discovery = start_discovery();
        let known = endpoint_list(1, &[("s1", server.address, "ready")]);
        let sidecar = Sidecar::start_as(&known, discovery.address, |config| {
            set_long_limits(config, cancel);
            config["settings"]["PolicyLimits"]["ParallelTries"] = json!(true);
        });
        for number in 0..20 {
            assert_eq!(sidecar.send_request("view", &format!("w{number}"), 3900), 200);
        }
        let before = discovery.call_counts().0;
        let both = [("s1", server.address, "ready"), ("s2", gate.address, "ready")];
        discovery.set_raw_list(2, endpoint_list(2, &both).to_string());
        wait_until("the sidecar has the new list", || discovery.call_counts().0 > before);
        // Requests routed to the closed server soon get a parallel attempt, and the other server answers them.
        let mut pairs = 0;
        for number in 0..60 {
            let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
            let text = request_text("view", &format!("p{number}"), 3900);
            stream.write_all(text.as_bytes()).expect("failed to write to the connection");
            let connected_to_gate = loop {
                let mut byte = [0];
                let _ = stream.set_read_timeout(Some(ms(5)));
                let connecting = connecting_count(gate.address) > 0;
                if connecting || matches!(stream.peek(&mut byte), Ok(1)) {
                    break connecting;
                }
            };
            let _ = stream.set_read_timeout(Some(WAIT_BOUND));
            assert_eq!(read_response(&mut stream).map(|(status, ..)| status), Some(200), "request {number}");
            if connected_to_gate {
                pairs += 1;
                // The dial timeout is 4 s, so this checks that the attempt is given up earlier.
                let answered = Instant::now();
                while connecting_count(gate.address) > 0 {
                    assert!(
                        answered.elapsed() < ms(1000),
                        "cancellation: {cancel}: still connecting 1 s after the response"
                    );
                    thread::sleep(ms(5));
                }
            }
        }
        assert!(pairs > 0, "no request was routed to the closed server");
        println!("cancellation: {cancel}: {pairs} pairs");
        gate.open();
        thread::sleep(DIAL_RETRY_WAIT);
        assert!(gate.received().is_empty(), "cancellation: {cancel}: {:?}", gate.received());
    }
}

#[test]
fn response_before_the_last_request_byte_is_not_accepted() {
    // The server sends a second copy of its first response after the next request has begun.
    let listener = bind_unused_port();
    let at = listener.local_addr().expect("listener has a local address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                if matches!(peer.read_request(), Ok(Some(_))) && peer.write(OK).is_ok() {
                    let _ = peer.stream.peek(&mut [0]);
                    let _ = peer.write(OK);
                    let _ = peer.read_request();
                }
            });
        }
    });
    for (number, verb) in VERBS.into_iter().enumerate() {
        let discovery = start_discovery();
        let known = endpoint_list(1, &[("s1", at, "ready")]);
        let sidecar = Sidecar::start_as(&known, discovery.address, |config| set_long_limits(config, true));
        assert_eq!(sidecar.send_request("hold", &format!("f{number}"), 1500), 200);
        // After this pause without stray bytes the sidecar reuses the connection, so the copy arrives during the next request.
        thread::sleep(ms(60));
        let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
        let text = request_text(verb, &format!("n{number}"), 1500).replace("Content-Length: 4\r\n", "");
        let (head, _) = text.split_once("\r\n\r\n").expect("request has a head");
        stream
            .write_all(format!("{head}\r\nContent-Length: 200000\r\n\r\n").as_bytes())
            .expect("failed to write to the connection");
        stream.write_all(&[b'x'; 100_000]).expect("failed to write to the connection");
        // The request cannot have run, so 503 says that a retry is harmless.
        assert_eq!(read_response(&mut stream).map(|(status, ..)| status), Some(503), "{verb}");
    }
}
