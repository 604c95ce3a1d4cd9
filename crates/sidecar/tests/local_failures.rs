//! System calls that fail because of this machine and not of any server: no descriptor is left for a while. No server is
//! held to blame, clients have their answers, and a shutdown in the middle of it ends in time.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{Discovery, Does, Scripted};
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LASTS: Duration = Duration::from_millis(2500);
const CLIENTS: usize = 40;
/// How much later than its time an answer may come.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const LEFT_MS: u64 = 1000;

/// The process may open no descriptor past those that it has, or as many as it wants.
fn limit_descriptors(sidecar: &Sidecar, limited: bool) {
    // Connections that have just ended are closed by then.
    thread::sleep(ms(100));
    let pid = Pid::from_raw(sidecar.child.id() as i32).expect("a process");
    let open =
        std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id())).expect("its descriptors").count();
    let maximum = getrlimit(Resource::Nofile).maximum;
    let current = if limited { Some(open as u64) } else { maximum };
    prlimit(Some(pid), Resource::Nofile, Rlimit { current, maximum }).expect("a limit");
}

fn started() -> (Sidecar, Vec<Scripted>, Arc<Discovery>) {
    let servers: Vec<Scripted> = (0..4).map(|_| endpoint(Does::Answer)).collect();
    let names: Vec<String> = (0..4).map(|number| format!("s{number}")).collect();
    let known: Vec<_> = names.iter().map(String::as_str).zip(servers.iter().map(|s| s.address)).collect();
    let (sidecar, discovery) = Sidecar::with(&known);
    (sidecar, servers, discovery)
}

/// Connects and asks at once; the status and how long that took.
fn ask(sidecar: &Sidecar, id: &str) -> Option<(u16, Duration)> {
    let begun = Instant::now();
    let mut stream: TcpStream = sidecar.open()?;
    stream.write_all(cmd("view", id, LEFT_MS).as_bytes()).ok()?;
    let (status, ..) = answer(&mut stream)?;
    Some((status, begun.elapsed()))
}

/// Every 30 ms a new client asks, while no descriptor is left and a little longer.
fn asked(sidecar: &Sidecar, prefix: &str) -> Vec<(usize, Option<(u16, Duration)>)> {
    thread::scope(|scope| {
        let plays: Vec<_> = (0..CLIENTS)
            .map(|number| {
                thread::sleep(ms(30));
                (number, scope.spawn(move || ask(sidecar, &format!("{prefix}{number}"))))
            })
            .collect();
        plays.into_iter().map(|(number, play)| (number, play.join().expect("a play"))).collect()
    })
}

fn late(answers: &[(usize, Option<(u16, Duration)>)]) -> Vec<String> {
    let most = Duration::from_millis(LEFT_MS) + ANSWER_SLACK;
    let late = answers.iter().filter(|(_, answer)| answer.is_none_or(|(_, took)| took > most));
    late.map(|(number, answer)| format!("client {number}: {answer:?}")).collect()
}

#[test]
fn no_descriptor_left_for_a_while_is_held_against_no_server_and_costs_no_client_its_answer() {
    let (sidecar, _servers, _discovery) = started();
    // Some connections rest on both sides, as ever.
    let resting: Vec<TcpStream> = (0..12)
        .map(|number| {
            let mut stream = sidecar.open().expect("a connection");
            stream.write_all(cmd("view", &format!("w{number}"), LEFT_MS).as_bytes()).expect("it is written");
            assert_eq!(answer(&mut stream).map(|(status, ..)| status), Some(200));
            stream
        })
        .collect();
    limit_descriptors(&sidecar, true);
    let answers = thread::scope(|scope| {
        let sidecar = &sidecar;
        let over = scope.spawn(move || {
            thread::sleep(LASTS);
            limit_descriptors(sidecar, false);
        });
        let answers = asked(sidecar, "n");
        over.join().expect("the limit is off");
        answers
    });
    drop(resting);
    assert_eq!(late(&answers), Vec::<String>::new());
    let served = answers.iter().filter(|(_, answer)| answer.is_some_and(|(status, _)| status == 200)).count();
    assert!(served * 10 >= CLIENTS * 9, "{served} of {CLIENTS} served: {answers:?}");
    let log = sidecar.account();
    assert!(!log.contains("mark s") && !log.contains(" ejected"), "a server was ejected: {log}");
    assert!(log.matches("accept").count() < 10, "a line for each failure");
    for number in 0..20 {
        assert_eq!(sidecar.cmd("view", &format!("a{number}"), LEFT_MS), 200, "as ever afterwards");
    }
}

#[test]
fn a_shutdown_while_no_descriptor_is_left_answers_those_it_has_and_ends_in_time() {
    let (mut sidecar, _servers, _discovery) = started();
    let mut kept = sidecar.open().expect("a connection");
    kept.write_all(cmd("view", "k", LEFT_MS).as_bytes()).expect("it is written");
    assert_eq!(answer(&mut kept).map(|(status, ..)| status), Some(200));
    limit_descriptors(&sidecar, true);
    let told = Instant::now();
    sidecar.signal("-TERM");
    let answers: Vec<_> = thread::scope(|scope| {
        let sidecar = &sidecar;
        let plays: Vec<_> = (0..8)
            .map(|number| {
                thread::sleep(ms(40));
                (number, scope.spawn(move || ask(sidecar, &format!("t{number}"))))
            })
            .collect();
        plays.into_iter().map(|(number, play)| (number, play.join().expect("a play"))).collect()
    });
    assert_eq!(late(&answers), Vec::<String>::new());
    within("it ends", || !sidecar.running());
    assert!(told.elapsed() < ms(2700), "it ended {:?} after SIGTERM", told.elapsed());
}

#[test]
fn a_start_whose_address_is_in_use_for_a_moment_goes_on() {
    let server = endpoint(Does::Answer);
    let discovery = list_source();
    let known = catalog(1, &[("s1", server.address, "ready")]);
    let address = nobody();
    // As an earlier process that takes a moment to end.
    let earlier = std::net::TcpListener::bind(address).expect("a listener");
    let file = std::env::temp_dir().join(format!("landingspread-{address}.json"));
    let mut sidecar = Sidecar::spawn(address, file, &told(&known, address, discovery.address), &[]);
    thread::sleep(ms(600));
    drop(earlier);
    sidecar.wait_ready();
    assert_eq!(sidecar.cmd("view", "after", LEFT_MS), 200);
}
