//! Clients that stop in the middle of a request and stay. Each is owed an error or a close within 3 s: of its connecting where
//! the connection is new, of its last byte where it has carried requests before. One that writes slowly and goes on is
//! served.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::Does;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const OWED_WITHIN: Duration = Duration::from_secs(3);
const LONG_BODY: usize = 200_000;
/// How much of a head that trickles is there in how many steps, before its client stops in the body.
const TRICKLE_STEPS: usize = 11;
const TRICKLE_PAUSE: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq)]
enum StopsIn {
    Head,
    Body,
    LongBody,
    /// Its head takes 2.2 s to come.
    BodyBehindASlowHead,
}

fn long_request(id: &str) -> String {
    let head = cmd("confirm", id, 1000).replace("Content-Length: 4\r\n\r\nbody", "");
    format!("{head}Content-Length: {LONG_BODY}\r\n\r\n{}", "x".repeat(LONG_BODY))
}

/// How long after it stopped, or connected, the client had a word or a close; none where it had neither.
fn told_after(sidecar: &Sidecar, stops: StopsIn, kept: bool) -> Option<Duration> {
    let mut stream = sidecar.open().expect("a connection");
    let mut since = Instant::now();
    if kept {
        stream.write_all(cmd("view", &format!("k{stops:?}"), 1000).as_bytes()).expect("it is written");
        assert_eq!(answer(&mut stream).expect("an answer").0, 200);
    }
    let id = format!("s{stops:?}{kept}");
    let request = cmd("confirm", &id, 1000);
    match stops {
        StopsIn::Head => stream.write_all(&request.as_bytes()[..40]),
        StopsIn::Body => stream.write_all(&request.as_bytes()[..request.len() - 2]),
        StopsIn::LongBody => stream.write_all(&long_request(&id).as_bytes()[..LONG_BODY / 2]),
        StopsIn::BodyBehindASlowHead => {
            let bytes = &request.as_bytes()[..request.len() - 2];
            for piece in bytes.chunks(bytes.len() / TRICKLE_STEPS + 1) {
                stream.write_all(piece).expect("it is written");
                thread::sleep(TRICKLE_PAUSE);
            }
            Ok(())
        }
    }
    .expect("it is written");
    if kept {
        since = Instant::now();
    }
    stream.set_read_timeout(Some(ms(6000))).expect("a time-out");
    let told = stream.read(&mut [0; 64]).is_ok();
    told.then(|| since.elapsed())
}

#[test]
fn a_client_that_stops_in_the_middle_of_a_request_is_told_within_3_s() {
    let server = endpoint(Does::Answer);
    let (sidecar, _discovery) = Sidecar::with(&[("s1", server.address)]);
    let stops = [StopsIn::Head, StopsIn::Body, StopsIn::LongBody, StopsIn::BodyBehindASlowHead];
    let cases = stops.into_iter().flat_map(|stops| [(stops, false), (stops, true)]);
    let wrong: Vec<String> = thread::scope(|scope| {
        let sidecar = &sidecar;
        let told = |(stops, kept)| (stops, kept, scope.spawn(move || told_after(sidecar, stops, kept)));
        let all: Vec<_> = cases.map(told).collect();
        let told = all.into_iter().map(|(stops, kept, play)| (stops, kept, play.join().expect("a play")));
        let late = told.filter(|(.., after)| after.is_none_or(|after| after > OWED_WITHIN));
        late.map(|(stops, kept, after)| format!("{stops:?}, kept: {kept}: {after:?}")).collect()
    });
    assert!(wrong.is_empty(), "{wrong:#?}");
    let cmds = &server.seen().cmds;
    assert!(cmds.iter().all(|heard| heard.path().starts_with("/view")), "none of them was sent on whole");
}

#[test]
fn a_client_that_writes_slowly_and_goes_on_is_served() {
    let server = endpoint(Does::Answer);
    let (sidecar, _discovery) = Sidecar::with(&[("s1", server.address)]);
    let slow = |kept: bool, pause: Duration| -> u16 {
        let mut stream: TcpStream = sidecar.open().expect("a connection");
        if kept {
            stream.write_all(cmd("view", &format!("w{pause:?}"), 1000).as_bytes()).expect("it is written");
            assert_eq!(answer(&mut stream).expect("an answer").0, 200);
        }
        let request = cmd("hold", &format!("p{kept}{pause:?}"), 1000);
        let (head, body) = request.as_bytes().split_at(request.len() - 4);
        stream.write_all(head).expect("it is written");
        for byte in body {
            thread::sleep(pause);
            stream.write_all(&[*byte]).expect("it is written");
        }
        answer(&mut stream).expect("an answer").0
    };
    thread::scope(|scope| {
        let slow = &slow;
        let plays = [(false, ms(400)), (true, ms(400)), (true, ms(1500))];
        let plays = plays.map(|(kept, pause)| (kept, pause, scope.spawn(move || slow(kept, pause))));
        for (kept, pause, play) in plays {
            assert_eq!(play.join().expect("a play"), 200, "kept: {kept}, a byte each {pause:?}");
        }
    });
}
