//! Clients that write several requests at once on one connection. Each request that has been read has exactly one answer,
//! in its own time, which runs from the moment its last byte was written and not from the answer before it; whatever ends
//! the connection meanwhile.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{Discovery, Does, Peer, Scripted};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How much later than its time an answer may come, and how much more than is left a server may be told.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

fn sidecar_before(does: Does) -> (Sidecar, Scripted, Arc<Discovery>) {
    let server = endpoint(does);
    let (sidecar, discovery) = Sidecar::with(&[("s1", server.address)]);
    (sidecar, server, discovery)
}

/// Writes all of these at once.
fn written(sidecar: &Sidecar, requests: &[String]) -> TcpStream {
    let mut stream = sidecar.open().expect("a connection");
    stream.write_all(requests.concat().as_bytes()).expect("it is written");
    stream
}

/// The statuses of this many answers and when each was there, up to the connection's end.
fn answers(stream: TcpStream, count: usize, since: Instant) -> Vec<(u16, Duration)> {
    let mut peer = Peer::new(stream);
    let mut all = Vec::new();
    while all.len() < count {
        let Ok(heard) = peer.answer() else { break };
        all.push((heard.status().expect("a status"), since.elapsed()));
    }
    all
}

fn named(prefix: &str, verb: &str, count: usize, left_ms: u64) -> Vec<String> {
    (0..count).map(|number| cmd(verb, &format!("{prefix}{number}"), left_ms)).collect()
}

/// A server that takes 0.4 s for each; each request is written with 1 s to live.
fn told_more_than_is_left() -> Vec<String> {
    const TAKES: u64 = 400;
    const LEFT: u64 = 1000;
    let (sidecar, server, _discovery) = sidecar_before(Does::Wait(TAKES));
    let begun = Instant::now();
    let stream = written(&sidecar, &named("t", "view", 4, LEFT));
    let mut wrong = Vec::new();
    let all = answers(stream, 4, begun);
    if all.len() < 4 {
        wrong.push(format!("told: {} of 4 answers", all.len()));
    }
    for (number, heard) in (0u64..).zip(&server.seen().cmds) {
        let told: u64 =
            heard.header("x-expires-in-ms").and_then(|text| text.parse().ok()).expect("a deadline");
        let most = LEFT.saturating_sub(number * TAKES) + DEADLINE_SLACK.as_millis() as u64;
        if told > most {
            wrong
                .push(format!("told: request {number} was sent on with {told} ms, at most {most} were left"));
        }
    }
    wrong
}

/// A server that never answers in time: the last of five requests is owed its answer as early as the first.
fn answered_late() -> Vec<String> {
    let (sidecar, _server, _discovery) = sidecar_before(Does::Wait(10_000));
    let begun = Instant::now();
    let stream = written(&sidecar, &named("l", "confirm", 5, 500));
    let all = answers(stream, 5, begun);
    let late = all.iter().filter(|(_, at)| *at > Duration::from_millis(500) + ANSWER_SLACK);
    let mut wrong: Vec<String> = late.map(|(status, at)| format!("late: {status} after {at:?}")).collect();
    if all.len() < 5 {
        wrong.push(format!("late: {} of 5 answers", all.len()));
    }
    wrong
}

/// SIGTERM while most requests of four connections wait for their turn.
fn closed_at_shutdown() -> Vec<String> {
    const EACH: usize = 20;
    let (mut sidecar, _server, _discovery) = sidecar_before(Does::Wait(350));
    let streams: Vec<TcpStream> =
        (0..4).map(|number| written(&sidecar, &named(&format!("s{number}-"), "view", EACH, 4000))).collect();
    std::thread::sleep(ms(200));
    let told = Instant::now();
    sidecar.signal("-TERM");
    let counts: Vec<usize> = streams.into_iter().map(|stream| answers(stream, EACH, told).len()).collect();
    within("it ends", || !sidecar.running());
    let short = counts.iter().filter(|count| **count < EACH);
    short
        .map(|count| format!("shutdown: {count} of {EACH} answers, then the connection was closed"))
        .collect()
}

/// A body too long to be held, and the next request in the same packets.
fn behind_a_long_body() -> Vec<String> {
    let (sidecar, _server, _discovery) = sidecar_before(Does::Answer);
    let mut wrong = Vec::new();
    for (round, length) in [65_537usize, 70_000, 81_920, 200_000].into_iter().enumerate() {
        let long = cmd("hold", &format!("b{round}"), 2000).replace("Content-Length: 4\r\n\r\nbody", "");
        let long = format!("{long}Content-Length: {length}\r\n\r\n{}", "x".repeat(length));
        let stream = written(&sidecar, &[long, cmd("view", &format!("n{round}"), 1000)]);
        stream.set_read_timeout(Some(ms(2500))).expect("a time-out");
        let count = answers(stream, 2, Instant::now()).len();
        if count < 2 {
            wrong.push(format!("long body of {length}: {count} of 2 answers"));
        }
    }
    wrong
}

#[test]
fn requests_written_ahead_each_have_one_answer_in_their_own_time() {
    let cases = [told_more_than_is_left, answered_late, closed_at_shutdown, behind_a_long_body];
    let wrong: Vec<String> = cases.into_iter().flat_map(|case| case()).collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// To a client of HTTP/1.0 the end of the connection is the end of an answer without a length: a close over bytes that nobody
/// read would be a reset in its place.
#[test]
fn an_answer_that_its_connection_ends_is_no_reset_over_bytes_written_behind_the_request() {
    let listener = free();
    let server = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut peer = Peer::new(stream);
            while let Ok(Some(heard)) = peer.command() {
                if heard.path() == "/ping" {
                    let _ = peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                // Longer than an answer is held for.
                let _ = peer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf");
                std::thread::sleep(ms(150));
                let _ = peer.write(b"-half");
                break;
            }
        }
    });
    let (sidecar, _discovery) = Sidecar::with(&[("s1", server)]);
    for number in 0..5 {
        let request = cmd("view", &format!("e{number}"), 1000).replace("HTTP/1.1", "HTTP/1.0");
        let mut stream = written(&sidecar, &[request]);
        let behind = stream.try_clone().expect("a handle");
        let floods = std::thread::spawn(move || {
            // More than is read ahead lies unread when the answer ends.
            let _ = (&behind).write_all(&[b'x'; 60_000]);
        });
        let mut heard = Vec::new();
        let ended = stream.read_to_end(&mut heard);
        floods.join().expect("it is written");
        assert!(
            ended.is_ok() && heard.ends_with(b"half-half"),
            "{ended:?}: {}",
            String::from_utf8_lossy(&heard)
        );
    }
}
