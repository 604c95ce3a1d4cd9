//! Servers that send each answer twice, the second time some milliseconds later, when the connection may carry another
//! request already. The copy is never taken for that request's answer: a client would be served with what was made for
//! another, and a copy of "it never ran" would let an unsafe request run twice.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::Peer;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const REQUESTS: usize = 150;
/// How late copies come.
const LATE_BY: [u64; 4] = [4, 6, 10, 20];
/// Pauses between one client's requests, in turn.
const PAUSES_US: [u64; 5] = [0, 1500, 3000, 4500, 6000];

/// How often each unsafe request ran.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Of three unsafe requests it turns one away; every answer comes once more after `late_by`.
fn server(late_by: Duration) -> (SocketAddr, Runs) {
    let listener = free();
    let address = listener.local_addr().expect("an address");
    let runs = Runs::default();
    let counted = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = counted.clone();
            thread::spawn(move || talk(stream, late_by, &runs));
        }
    });
    (address, runs)
}

fn talk(stream: TcpStream, late_by: Duration, runs: &Mutex<BTreeMap<String, usize>>) {
    let mut again = stream.try_clone().expect("a handle");
    let mut peer = Peer::new(stream);
    while let Ok(Some(heard)) = peer.command() {
        let id = heard.header("x-trace-id").unwrap_or("").to_string();
        let turned_away = heard.path().starts_with("/confirm") && id.ends_with(['2', '5', '8']);
        if heard.path().starts_with("/confirm") && !turned_away {
            *runs.lock().expect("a lock").entry(id.clone()).or_default() += 1;
        }
        let head = if turned_away { "503 Busy\r\nX-Never-Ran: 1" } else { "200 OK" };
        let text = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if peer.write(text.as_bytes()).is_err() {
            return;
        }
        // The copy may cross the next request: it is written by another thread.
        let mut later = again.try_clone().expect("a handle");
        thread::spawn(move || {
            thread::sleep(late_by);
            let _ = later.write_all(text.as_bytes());
        });
        let _ = again.flush();
    }
}

fn wrong_answers(verb: &str, late_by: Duration) -> Vec<String> {
    let (address, runs) = server(late_by);
    let (sidecar, _discovery) = Sidecar::with(&[("s1", address), ("s2", address)]);
    let mut wrong = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{verb}{number}");
        let (status, _, body) = sidecar.ask(&cmd(verb, &id, 1000)).expect("an answer");
        if status == 200 && body != id.as_bytes() {
            wrong.push(format!("{id}, copies {late_by:?} late: {:?}", String::from_utf8_lossy(&body)));
        }
        thread::sleep(Duration::from_micros(PAUSES_US[number % PAUSES_US.len()]));
    }
    let runs = runs.lock().expect("a lock");
    let twice = runs.iter().filter(|(_, count)| **count > 1);
    wrong.extend(twice.map(|(id, count)| format!("{id}, copies {late_by:?} late: it ran {count} times")));
    wrong
}

#[test]
fn a_copy_of_an_answer_some_milliseconds_late_is_not_taken_for_the_next_answer() {
    let plays: Vec<_> = LATE_BY
        .into_iter()
        .flat_map(|late_by| ["view", "hold", "confirm"].map(|verb| (verb, ms(late_by))))
        .map(|(verb, late_by)| thread::spawn(move || wrong_answers(verb, late_by)))
        .collect();
    let wrong: Vec<String> = plays.into_iter().flat_map(|play| play.join().expect("a play")).collect();
    assert!(wrong.is_empty(), "{} of {}: {wrong:#?}", wrong.len(), REQUESTS * 3 * LATE_BY.len());
}
