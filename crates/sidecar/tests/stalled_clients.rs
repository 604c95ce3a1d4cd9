//! Clients that stop sending in the middle of a request and stay connected. Each gets an error or a close within 3 s:
//! counted from its connecting if the connection is new, from its last byte if the connection has carried requests
//! before. A client that writes slowly but goes on is served.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::ScriptedBehavior;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const CLOSED_WITHIN: Duration = Duration::from_secs(3);
const LONG_BODY: usize = 200_000;
/// Number of pieces in which a slow client sends its head, and the pause after each.
const TRICKLE_STEPS: usize = 11;
const TRICKLE_PAUSE: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq)]
enum StopsIn {
    Head,
    Body,
    LongBody,
    /// Stops in the body, after a head that took 2.2 s to arrive.
    BodyAfterSlowHead,
}

fn long_request(id: &str) -> String {
    let head = request_text("confirm", id, 1000).replace("Content-Length: 4\r\n\r\nbody", "");
    format!("{head}Content-Length: {LONG_BODY}\r\n\r\n{}", "x".repeat(LONG_BODY))
}

/// The time from when the client stopped (or connected, on a new connection) to a response or a close; None if neither
/// came. `reused`: the connection has carried a request before.
fn time_to_close(sidecar: &Sidecar, stops: StopsIn, reused: bool) -> Option<Duration> {
    let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
    let mut since = Instant::now();
    if reused {
        stream
            .write_all(request_text("view", &format!("k{stops:?}"), 1000).as_bytes())
            .expect("failed to write to the connection");
        assert_eq!(read_response(&mut stream).expect("no response").0, 200);
    }
    let id = format!("s{stops:?}{reused}");
    let request = request_text("confirm", &id, 1000);
    match stops {
        StopsIn::Head => stream.write_all(&request.as_bytes()[..40]),
        StopsIn::Body => stream.write_all(&request.as_bytes()[..request.len() - 2]),
        StopsIn::LongBody => stream.write_all(&long_request(&id).as_bytes()[..LONG_BODY / 2]),
        StopsIn::BodyAfterSlowHead => {
            let bytes = &request.as_bytes()[..request.len() - 2];
            for piece in bytes.chunks(bytes.len() / TRICKLE_STEPS + 1) {
                stream.write_all(piece).expect("failed to write to the connection");
                thread::sleep(TRICKLE_PAUSE);
            }
            Ok(())
        }
    }
    .expect("failed to write to the connection");
    if reused {
        since = Instant::now();
    }
    stream.set_read_timeout(Some(ms(6000))).expect("failed to set the read timeout");
    let ended = stream.read(&mut [0; 64]).is_ok();
    ended.then(|| since.elapsed())
}

#[test]
fn client_that_stops_within_a_request_is_closed_within_3_s() {
    let server = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", server.address)]);
    let stops = [StopsIn::Head, StopsIn::Body, StopsIn::LongBody, StopsIn::BodyAfterSlowHead];
    let cases = stops.into_iter().flat_map(|stops| [(stops, false), (stops, true)]);
    let failures: Vec<String> = thread::scope(|scope| {
        let sidecar = &sidecar;
        let start =
            |(stops, reused)| (stops, reused, scope.spawn(move || time_to_close(sidecar, stops, reused)));
        let all: Vec<_> = cases.map(start).collect();
        let times = all
            .into_iter()
            .map(|(stops, reused, run)| (stops, reused, run.join().expect("run thread panicked")));
        let late = times.filter(|(.., after)| after.is_none_or(|after| after > CLOSED_WITHIN));
        late.map(|(stops, reused, after)| format!("{stops:?}, reused: {reused}: {after:?}")).collect()
    });
    assert!(failures.is_empty(), "{failures:#?}");
    let requests = &server.record().requests;
    assert!(
        requests.iter().all(|request| request.path().starts_with("/view")),
        "an incomplete request was forwarded"
    );
}

#[test]
fn slow_client_that_goes_on_writing_is_served() {
    let server = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", server.address)]);
    let slow = |reused: bool, pause: Duration| -> u16 {
        let mut stream: TcpStream = sidecar.connect().expect("failed to connect to the sidecar");
        if reused {
            stream
                .write_all(request_text("view", &format!("w{pause:?}"), 1000).as_bytes())
                .expect("failed to write to the connection");
            assert_eq!(read_response(&mut stream).expect("no response").0, 200);
        }
        let request = request_text("hold", &format!("p{reused}{pause:?}"), 1000);
        let (head, body) = request.as_bytes().split_at(request.len() - 4);
        stream.write_all(head).expect("failed to write to the connection");
        for byte in body {
            thread::sleep(pause);
            stream.write_all(&[*byte]).expect("failed to write to the connection");
        }
        read_response(&mut stream).expect("no response").0
    };
    thread::scope(|scope| {
        let slow = &slow;
        let cases = [(false, ms(400)), (true, ms(400)), (true, ms(1500))];
        let runs = cases.map(|(reused, pause)| (reused, pause, scope.spawn(move || slow(reused, pause))));
        for (reused, pause, run) in runs {
            assert_eq!(
                run.join().expect("run thread panicked"),
                200,
                "reused: {reused}, one byte every {pause:?}"
            );
        }
    });
}
