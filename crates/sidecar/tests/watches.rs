//! A watch that dies in each way that one can: when the next call comes, over twenty processes of the program each. The
//! stand-in counts from the moment in which the dying call was whole.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::Peer;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PLAYS: usize = 20;
/// What a call may wait at discovery, what an answer may come late by, and the longest pause after a first failure.
const GIVEN_UP: u64 = 2000 + 1000 + 500;
/// Twenty processes start and end beside it.
const SLACK: u64 = 250;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Dies {
    SilentFromTheFirstByte,
    SilentHalfWay,
    Trickles,
    /// The connection ends right after the answer, before the next call.
    EndsBehindAnAnswer,
    Reset,
    Says503,
    /// It comes after the call was given up, on the connection that is no longer read.
    AnswersTooLate,
    /// Half a list and the end.
    CutShort,
}

/// One discovery for one process: its first call is answered, the second dies, later ones are answered.
struct Source {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl Source {
    fn start(dies: Dies, server: SocketAddr) -> Source {
        let listener = free();
        let address = listener.local_addr().expect("an address");
        let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let noted = calls.clone();
        thread::spawn(move || serve(&listener, dies, server, &noted));
        Source { address, calls }
    }

    fn call(&self, number: usize) -> Option<Instant> {
        self.calls.lock().expect("a lock").get(number).copied()
    }
}

fn list(generation: u64, server: SocketAddr) -> Vec<u8> {
    let body = catalog(generation, &[("s1", server, "ready")]).to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn serve(listener: &TcpListener, dies: Dies, server: SocketAddr, calls: &Arc<Mutex<Vec<Instant>>>) {
    for stream in listener.incoming().flatten() {
        let calls = calls.clone();
        thread::spawn(move || {
            let mut peer = Peer::new(stream);
            while let Ok(Some(_)) = peer.command() {
                let number = {
                    let mut calls = calls.lock().expect("a lock");
                    calls.push(Instant::now());
                    calls.len() - 1
                };
                match number {
                    0 if dies == Dies::EndsBehindAnAnswer => {
                        let _ = peer.write(&list(1, server));
                        return;
                    }
                    1 if dies != Dies::EndsBehindAnAnswer => return die(dies, &mut peer, server),
                    0 => drop(peer.write(&list(1, server))),
                    // Nothing is new any more: the call waits longer than the test lasts.
                    _ => thread::sleep(ms(20_000)),
                }
            }
        });
    }
}

fn die(dies: Dies, peer: &mut Peer, server: SocketAddr) {
    let list = list(2, server);
    match dies {
        Dies::SilentFromTheFirstByte => thread::sleep(ms(20_000)),
        Dies::SilentHalfWay => {
            let _ = peer.write(&list[..list.len() / 2]);
            thread::sleep(ms(20_000));
        }
        Dies::Trickles => {
            for byte in list.chunks(1) {
                if peer.write(byte).is_err() {
                    return;
                }
                thread::sleep(ms(100));
            }
        }
        Dies::Reset => {
            rustix::net::sockopt::set_socket_linger(&peer.stream, Some(Duration::ZERO)).expect("linger");
        }
        Dies::Says503 => {
            let _ = peer.write(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n");
        }
        Dies::AnswersTooLate => {
            thread::sleep(ms(3300));
            let _ = peer.write(&list);
        }
        Dies::CutShort => drop(peer.write(&list[..list.len() / 2])),
        Dies::EndsBehindAnAnswer => {}
    }
}

/// The time from the dying call to the next one, of one process.
fn play(dies: Dies, copies: u64, number: usize, bound: Duration) -> Duration {
    let server = nobody();
    let source = Source::start(dies, server);
    let known = catalog(0, &[("s1", server, "ready")]);
    let sidecar = Sidecar::start_as(&known, source.address, |config| {
        config["settings"]["Balancers"] = json!(copies);
        config["seed"] = json!(format!("{:x}", 0x51 * (number + 1)));
    });
    // Where the connection ends behind the first answer it is the first call that the next one is counted from.
    let dying = usize::from(dies != Dies::EndsBehindAnAnswer);
    let begun = Instant::now();
    while source.call(dying + 1).is_none() {
        assert!(begun.elapsed() < bound + ms(3000), "{dies:?}: no new call");
        thread::sleep(ms(2));
    }
    drop(sidecar);
    source.call(dying + 1).zip(source.call(dying)).map(|(next, dead)| next - dead).expect("two calls")
}

fn opened_anew(dies: Dies, copies: u64, bound_ms: u64) {
    let bound = ms(bound_ms + SLACK);
    let plays: Vec<_> =
        (0..PLAYS).map(|number| thread::spawn(move || play(dies, copies, number, bound))).collect();
    let mut took: Vec<Duration> = plays.into_iter().map(|play| play.join().expect("a play")).collect();
    took.sort();
    println!("{dies:?}, {copies} copies: {:?} {:?} {:?}", took[0], took[PLAYS / 2], took[PLAYS - 1]);
    assert!(took[PLAYS - 1] <= bound, "{dies:?}: {:?}, {bound:?} allowed", took[PLAYS - 1]);
}

#[test]
fn a_watch_that_says_nothing_more_is_opened_anew_once_its_call_is_over() {
    for dies in [Dies::SilentFromTheFirstByte, Dies::SilentHalfWay, Dies::Trickles, Dies::AnswersTooLate] {
        opened_anew(dies, 1, GIVEN_UP);
    }
}

#[test]
fn a_watch_that_ends_is_opened_anew_at_once() {
    for dies in [Dies::EndsBehindAnAnswer, Dies::Reset, Dies::Says503, Dies::CutShort] {
        opened_anew(dies, 1, 500);
    }
}

#[test]
fn with_three_hundred_copies_a_silent_watch_is_opened_anew_before_what_it_misses_counts_as_told() {
    // Its calls would wait for 6 s to be few, but a change counts as told 6 s after discovery had it: they wait for 3 s.
    opened_anew(Dies::SilentFromTheFirstByte, 300, 3000 + 1000 + 500);
}

#[test]
fn a_reset_watch_and_a_new_configuration_at_once_leave_one_watch_at_the_new_place() {
    let server = nobody();
    for _ in 0..PLAYS {
        let (old, new) = (Source::start(Dies::SilentHalfWay, server), Source::start(Dies::CutShort, server));
        let known = catalog(0, &[("s1", server, "ready")]);
        let sidecar = Sidecar::start_as(&known, old.address, |_| {});
        within("the watch stands", || old.call(1).is_some());
        // Both are there when the program looks: the end of its watch and the signal.
        let config = told(&known, sidecar.address, new.address);
        std::fs::write(&sidecar.file, config.to_string()).expect("a file");
        sidecar.signal("-STOP");
        sidecar.signal("-HUP");
        sidecar.signal("-CONT");
        within("the new place is asked", || new.call(0).is_some());
        let before = old.calls.lock().expect("a lock").len();
        within("and again once its watch was cut short", || new.call(2).is_some());
        assert_eq!(old.calls.lock().expect("a lock").len(), before, "the old place is asked no more");
    }
}

#[test]
fn discovery_that_turns_all_calls_away_is_asked_again_within_four_seconds_of_each() {
    let server = nobody();
    let listener = free();
    let address = listener.local_addr().expect("an address");
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let noted = calls.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let stream: TcpStream = stream;
            let mut peer = Peer::new(stream);
            if matches!(peer.command(), Ok(Some(_))) {
                noted.lock().expect("a lock").push(Instant::now());
                let _ = peer.stream.write_all(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n");
            }
        }
    });
    let sidecar = Sidecar::start_as(&catalog(0, &[("s1", server, "ready")]), address, |_| {});
    thread::sleep(ms(15_000));
    drop(sidecar);
    let calls = calls.lock().expect("a lock").clone();
    let longest = calls.windows(2).map(|pair| pair[1] - pair[0]).max().expect("calls");
    println!("{} calls in 15 s, {longest:?} apart at most", calls.len());
    assert!(calls.len() >= 5 && longest <= ms(4000 + SLACK), "{longest:?}");
}
