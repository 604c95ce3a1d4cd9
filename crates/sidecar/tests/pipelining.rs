//! Clients that write several requests at once on one connection. Each request that has been read gets exactly one
//! response, whatever ends the connection. Its time counts from its last byte, not from the response before it.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{Discovery, Peer, ScriptedBehavior, ScriptedServer};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long after the deadline of a request its response may come, and how much more time than is left the forwarded
/// request may state.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

fn start_with_server(does: ScriptedBehavior) -> (Sidecar, ScriptedServer, Arc<Discovery>) {
    let server = start_endpoint(does);
    let (sidecar, discovery) = Sidecar::start_with_servers(&[("s1", server.address)]);
    (sidecar, server, discovery)
}

/// Writes all requests at once on a new connection.
fn write_pipelined(sidecar: &Sidecar, requests: &[String]) -> TcpStream {
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    stream.write_all(requests.concat().as_bytes()).expect("failed to write to the connection");
    stream
}

/// Reads up to `count` responses: the status of each and the time from `since` until it was complete.
fn read_responses(stream: TcpStream, count: usize, since: Instant) -> Vec<(u16, Duration)> {
    let mut peer = Peer::new(stream);
    let mut all = Vec::new();
    while all.len() < count {
        let Ok(response) = peer.read_response() else { break };
        all.push((response.status().expect("response has a status"), since.elapsed()));
    }
    all
}

fn numbered_requests(prefix: &str, verb: &str, count: usize, left_ms: u64) -> Vec<String> {
    (0..count).map(|number| request_text(verb, &format!("{prefix}{number}"), left_ms)).collect()
}

/// The server takes 0.4 s per request, and each request expires in 1 s: the time stated in a forwarded request must not
/// exceed the time that is left.
fn forwarded_time_failures() -> Vec<String> {
    const TAKES: u64 = 400;
    const LEFT: u64 = 1000;
    let (sidecar, server, _discovery) = start_with_server(ScriptedBehavior::RespondAfterMs(TAKES));
    let begun = Instant::now();
    let stream = write_pipelined(&sidecar, &numbered_requests("t", "view", 4, LEFT));
    let mut failures = Vec::new();
    let all = read_responses(stream, 4, begun);
    if all.len() < 4 {
        failures.push(format!("forwarded time: {} of 4 responses", all.len()));
    }
    for (number, request) in (0u64..).zip(&server.record().requests) {
        let stated: u64 = request
            .header("x-expires-in-ms")
            .and_then(|text| text.parse().ok())
            .expect("forwarded request has X-Expires-In-Ms");
        let bound = LEFT.saturating_sub(number * TAKES) + DEADLINE_SLACK.as_millis() as u64;
        if stated > bound {
            failures
                .push(format!("forwarded time: request {number} was forwarded with {stated} ms, at most {bound} ms were left"));
        }
    }
    failures
}

/// The server never answers in time: the last of five requests must be answered as early as the first.
fn late_response_failures() -> Vec<String> {
    let (sidecar, _server, _discovery) = start_with_server(ScriptedBehavior::RespondAfterMs(10_000));
    let begun = Instant::now();
    let stream = write_pipelined(&sidecar, &numbered_requests("l", "confirm", 5, 500));
    let all = read_responses(stream, 5, begun);
    let late = all.iter().filter(|(_, at)| *at > Duration::from_millis(500) + ANSWER_SLACK);
    let mut failures: Vec<String> = late.map(|(status, at)| format!("late: {status} after {at:?}")).collect();
    if all.len() < 5 {
        failures.push(format!("late: {} of 5 responses", all.len()));
    }
    failures
}

/// SIGTERM arrives while most requests of four connections are queued: all of them must be answered.
fn shutdown_failures() -> Vec<String> {
    const EACH: usize = 20;
    let (mut sidecar, _server, _discovery) = start_with_server(ScriptedBehavior::RespondAfterMs(350));
    let streams: Vec<TcpStream> = (0..4)
        .map(|number| {
            write_pipelined(&sidecar, &numbered_requests(&format!("s{number}-"), "view", EACH, 4000))
        })
        .collect();
    std::thread::sleep(ms(200));
    let terminated = Instant::now();
    sidecar.signal("-TERM");
    let counts: Vec<usize> =
        streams.into_iter().map(|stream| read_responses(stream, EACH, terminated).len()).collect();
    wait_until("the sidecar exits", || !sidecar.running());
    let short = counts.iter().filter(|count| **count < EACH);
    short
        .map(|count| format!("shutdown: {count} of {EACH} responses, then the connection was closed"))
        .collect()
}

/// The next request arrives together with the end of a body too long to be buffered: both must be answered.
fn long_body_failures() -> Vec<String> {
    let (sidecar, _server, _discovery) = start_with_server(ScriptedBehavior::Respond);
    let mut failures = Vec::new();
    for (round, length) in [65_537usize, 70_000, 81_920, 200_000].into_iter().enumerate() {
        let long =
            request_text("hold", &format!("b{round}"), 2000).replace("Content-Length: 4\r\n\r\nbody", "");
        let long = format!("{long}Content-Length: {length}\r\n\r\n{}", "x".repeat(length));
        let stream = write_pipelined(&sidecar, &[long, request_text("view", &format!("n{round}"), 1000)]);
        stream.set_read_timeout(Some(ms(2500))).expect("failed to set the read timeout");
        let count = read_responses(stream, 2, Instant::now()).len();
        if count < 2 {
            failures.push(format!("long body of {length}: {count} of 2 responses"));
        }
    }
    failures
}

#[test]
fn pipelined_requests_get_one_response_each_in_time() {
    let cases = [forwarded_time_failures, late_response_failures, shutdown_failures, long_body_failures];
    let failures: Vec<String> = cases.into_iter().flat_map(|case| case()).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// For an HTTP/1.0 client a response without a length ends with its connection. Closing a socket with unread bytes sends a
/// reset instead, so the sidecar has to read the bytes that follow the request first.
#[test]
fn unread_bytes_after_a_request_do_not_reset_its_response() {
    let listener = bind_unused_port();
    let server = listener.local_addr().expect("listener has a local address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut peer = Peer::new(stream);
            while let Ok(Some(request)) = peer.read_request() {
                if request.path() == "/ping" {
                    let _ = peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                // The pause is longer than the sidecar buffers a response.
                let _ = peer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf");
                std::thread::sleep(ms(150));
                let _ = peer.write(b"-half");
                break;
            }
        }
    });
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", server)]);
    for number in 0..5 {
        let request = request_text("view", &format!("e{number}"), 1000).replace("HTTP/1.1", "HTTP/1.0");
        let mut stream = write_pipelined(&sidecar, &[request]);
        let extra = stream.try_clone().expect("failed to clone the connection");
        let writer = std::thread::spawn(move || {
            // More bytes than the sidecar reads ahead, so that some are unread when the response ends.
            let _ = (&extra).write_all(&[b'x'; 60_000]);
        });
        let mut response = Vec::new();
        let ended = stream.read_to_end(&mut response);
        writer.join().expect("writer thread panicked");
        assert!(
            ended.is_ok() && response.ends_with(b"half-half"),
            "{ended:?}: {}",
            String::from_utf8_lossy(&response)
        );
    }
}
