//! Servers that send each response twice, the second time some milliseconds later, when the connection may already carry
//! another request. The sidecar must not take the copy for the response to that request: a client would get the response
//! to another request, and a copy of `X-Never-Ran` would let an unsafe request run twice.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::Peer;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REQUESTS: usize = 150;
/// Delay of the copies, in milliseconds.
const LATE_BY: [u64; 4] = [4, 6, 10, 20];
/// Pauses between the requests of one client, used in turn.
const PAUSES_US: [u64; 5] = [0, 1500, 3000, 4500, 6000];

/// How often each unsafe request ran, by its id.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Starts a server that rejects one in three unsafe requests and sends every response again after `late_by`.
fn start_server(late_by: Duration) -> (SocketAddr, Runs) {
    let listener = bind_unused_port();
    let address = listener.local_addr().expect("listener has a local address");
    let runs = Runs::default();
    let counted = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = counted.clone();
            thread::spawn(move || serve_connection(stream, late_by, &runs));
        }
    });
    (address, runs)
}

fn serve_connection(stream: TcpStream, late_by: Duration, runs: &Mutex<BTreeMap<String, usize>>) {
    let mut again = stream.try_clone().expect("failed to clone the connection");
    let mut peer = Peer::new(stream);
    while let Ok(Some(request)) = peer.read_request() {
        let id = request.header("x-trace-id").unwrap_or("").to_string();
        let rejected = request.path().starts_with("/confirm") && id.ends_with(['2', '5', '8']);
        if request.path().starts_with("/confirm") && !rejected {
            *runs.lock().expect("lock is not poisoned").entry(id.clone()).or_default() += 1;
        }
        let head = if rejected { "503 Busy\r\nX-Never-Ran: 1" } else { "200 OK" };
        let text = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if peer.write(text.as_bytes()).is_err() {
            return;
        }
        // Another thread writes the copy, so that it can arrive after the next request.
        let mut later = again.try_clone().expect("failed to clone the connection");
        thread::spawn(move || {
            thread::sleep(late_by);
            let _ = later.write_all(text.as_bytes());
        });
        let _ = again.flush();
    }
}

fn copy_failures(verb: &str, late_by: Duration) -> Vec<String> {
    let (address, runs) = start_server(late_by);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", address), ("s2", address)]);
    let mut failures = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{verb}{number}");
        let (status, _, body) = sidecar.send_text(&request_text(verb, &id, 1000)).expect("no response");
        if status == 200 && body != id.as_bytes() {
            failures.push(format!("{id}, copies {late_by:?} late: {:?}", String::from_utf8_lossy(&body)));
        }
        thread::sleep(Duration::from_micros(PAUSES_US[number % PAUSES_US.len()]));
    }
    let runs = runs.lock().expect("lock is not poisoned");
    let twice = runs.iter().filter(|(_, count)| **count > 1);
    failures.extend(twice.map(|(id, count)| format!("{id}, copies {late_by:?} late: it ran {count} times")));
    failures
}

#[test]
fn late_copy_of_a_response_is_not_taken_for_the_next_one() {
    let runs: Vec<_> = LATE_BY
        .into_iter()
        .flat_map(|late_by| ["view", "hold", "confirm"].map(|verb| (verb, ms(late_by))))
        .map(|(verb, late_by)| thread::spawn(move || copy_failures(verb, late_by)))
        .collect();
    let failures: Vec<String> =
        runs.into_iter().flat_map(|run| run.join().expect("run thread panicked")).collect();
    assert!(failures.is_empty(), "{} of {}: {failures:#?}", failures.len(), REQUESTS * 3 * LATE_BY.len());
}

/// How long after a response its copy may still cross the next request on the connection.
const CROSSES_WITHIN: Duration = Duration::from_millis(20);
const CROSSING_CLIENTS: usize = 24;
const CROSSING_REQUESTS: usize = 60;

/// Answers each request with its id after 5 ms. A request that comes shortly after a response is followed by a copy of that
/// response, as if the copy had been on its way when the request was written. Counts the copies.
fn serve_crossing(stream: TcpStream, copies: &AtomicUsize) {
    let mut peer = Peer::new(stream);
    let mut last: Option<(String, Instant)> = None;
    while let Ok(Some(request)) = peer.read_request() {
        let id = request.header("x-trace-id").unwrap_or("").to_string();
        if let Some((text, at)) = last.take()
            && at.elapsed() < CROSSES_WITHIN
        {
            copies.fetch_add(1, Ordering::Relaxed);
            let _ = peer.write(text.as_bytes());
        }
        thread::sleep(ms(5));
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if peer.write(text.as_bytes()).is_err() {
            return;
        }
        last = Some((text, Instant::now()));
    }
}

/// Sends requests one after the other on one connection, and the next one later if one is declined, as limits are low at
/// first. Returns the number of their own responses, and what else came.
fn send_and_compare(sidecar: &Sidecar, client: usize) -> (usize, Vec<String>) {
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let (mut own_responses, mut failures) = (0, Vec::new());
    for number in 0..CROSSING_REQUESTS {
        let id = format!("c{client}-{number}");
        stream.write_all(request_text("view", &id, 1900).as_bytes()).expect("failed to write the request");
        let (status, _, body) = read_response(&mut stream).expect("no response");
        match status {
            200 if body == id.as_bytes() => own_responses += 1,
            503 => thread::sleep(ms(10)),
            _ => failures.push(format!("{id}: {status} {:?}", String::from_utf8_lossy(&body))),
        }
    }
    (own_responses, failures)
}

/// Guards against a copy of a response that arrives after the next request was written: while many connections were idle, one
/// was used again after 3 ms, and the client got the response to another request.
#[test]
fn copy_that_crosses_the_next_request_is_not_taken_for_its_response() {
    let copies = Arc::new(AtomicUsize::new(0));
    let servers = ["s1", "s2"].map(|id| {
        let copies = copies.clone();
        let listener = bind_unused_port();
        let address = listener.local_addr().expect("listener has a local address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let copies = copies.clone();
                thread::spawn(move || serve_crossing(stream, &copies));
            }
        });
        (id, address, "ready")
    });
    let (discovery, known) = (start_discovery(), endpoint_list(1, &servers));
    let sidecar =
        Sidecar::start_as(&known, discovery.address, |config| config["limits"]["sockets"] = json!(600));
    let results: Vec<_> = thread::scope(|scope| {
        let start = |client| {
            scope.spawn({
                let sidecar = &sidecar;
                move || send_and_compare(sidecar, client)
            })
        };
        let clients: Vec<_> = (0..CROSSING_CLIENTS).map(start).collect();
        clients.into_iter().map(|client| client.join().expect("client thread panicked")).collect()
    });
    let (own, failures): (Vec<usize>, Vec<Vec<String>>) = results.into_iter().unzip();
    let (own, failures) = (own.iter().sum::<usize>(), failures.concat());
    assert!(copies.load(Ordering::Relaxed) > 0, "no connection was used again soon after a response");
    assert!(failures.is_empty(), "{} beside {own} own responses: {failures:#?}", failures.len());
    assert!(own > CROSSING_CLIENTS * CROSSING_REQUESTS / 2, "{own} own responses");
}
