//! System calls that fail because the sidecar has no free descriptor for a while, not because of any server. No server is
//! ejected, clients get their responses, and a shutdown during the shortage ends in time.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{Discovery, ScriptedBehavior, ScriptedServer};
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long the process has no free descriptor.
const SHORTAGE: Duration = Duration::from_millis(2500);
const CLIENTS: usize = 40;
/// How long after a request's deadline its response may come.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Milliseconds until a request expires.
const LEFT_MS: u64 = 1000;

/// Limits the process to the descriptors that it has now, or lifts that limit.
fn limit_descriptors(sidecar: &Sidecar, limited: bool) {
    // Give the sidecar time to close connections that have just ended.
    thread::sleep(ms(100));
    let pid = Pid::from_raw(sidecar.child.id() as i32).expect("process id is positive");
    let open = std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id()))
        .expect("failed to list the sidecar's descriptors")
        .count();
    let maximum = getrlimit(Resource::Nofile).maximum;
    let current = if limited { Some(open as u64) } else { maximum };
    prlimit(Some(pid), Resource::Nofile, Rlimit { current, maximum })
        .expect("failed to set the descriptor limit");
}

fn start_with_four_servers() -> (Sidecar, Vec<ScriptedServer>, Arc<Discovery>) {
    let servers: Vec<ScriptedServer> = (0..4).map(|_| start_endpoint(ScriptedBehavior::Respond)).collect();
    let ids: Vec<String> = (0..4).map(|number| format!("s{number}")).collect();
    let known: Vec<_> = ids.iter().map(String::as_str).zip(servers.iter().map(|s| s.address)).collect();
    let (sidecar, discovery) = Sidecar::start_with_servers(&known);
    (sidecar, servers, discovery)
}

/// Sends a request on a new connection. Returns the status and the latency.
fn timed_request(sidecar: &Sidecar, id: &str) -> Option<(u16, Duration)> {
    let begun = Instant::now();
    let mut stream: TcpStream = sidecar.connect()?;
    stream.write_all(request_text("view", id, LEFT_MS).as_bytes()).ok()?;
    let (status, ..) = read_response(&mut stream)?;
    Some((status, begun.elapsed()))
}

/// Sends a request from a new client every 30 ms, until some time after the shortage.
fn send_requests(sidecar: &Sidecar, prefix: &str) -> Vec<(usize, Option<(u16, Duration)>)> {
    thread::scope(|scope| {
        let runs: Vec<_> = (0..CLIENTS)
            .map(|number| {
                thread::sleep(ms(30));
                (number, scope.spawn(move || timed_request(sidecar, &format!("{prefix}{number}"))))
            })
            .collect();
        runs.into_iter().map(|(number, run)| (number, run.join().expect("run thread panicked"))).collect()
    })
}

fn late_answers(answers: &[(usize, Option<(u16, Duration)>)]) -> Vec<String> {
    let bound = Duration::from_millis(LEFT_MS) + ANSWER_SLACK;
    let late = answers.iter().filter(|(_, answer)| answer.is_none_or(|(_, took)| took > bound));
    late.map(|(number, answer)| format!("client {number}: {answer:?}")).collect()
}

#[test]
fn descriptor_shortage_ejects_no_server_and_loses_no_response() {
    let (sidecar, _servers, _discovery) = start_with_four_servers();
    // Some idle connections exist on both sides, as usual.
    let idle: Vec<TcpStream> = (0..12)
        .map(|number| {
            let mut stream = sidecar.connect().expect("failed to connect to the sidecar");
            stream
                .write_all(request_text("view", &format!("w{number}"), LEFT_MS).as_bytes())
                .expect("failed to write to the connection");
            assert_eq!(read_response(&mut stream).map(|(status, ..)| status), Some(200));
            stream
        })
        .collect();
    limit_descriptors(&sidecar, true);
    let answers = thread::scope(|scope| {
        let sidecar = &sidecar;
        let over = scope.spawn(move || {
            thread::sleep(SHORTAGE);
            limit_descriptors(sidecar, false);
        });
        let answers = send_requests(sidecar, "n");
        over.join().expect("failed to lift the descriptor limit");
        answers
    });
    drop(idle);
    assert_eq!(late_answers(&answers), Vec::<String>::new());
    let served = answers.iter().filter(|(_, answer)| answer.is_some_and(|(status, _)| status == 200)).count();
    assert!(served * 10 >= CLIENTS * 9, "{served} of {CLIENTS} served: {answers:?}");
    let log = sidecar.diagnostics();
    assert!(!log.contains("mark s") && !log.contains(" ejected"), "a server was ejected: {log}");
    assert!(log.matches("accept").count() < 10, "one log line per failure: {log}");
    for number in 0..20 {
        assert_eq!(
            sidecar.send_request("view", &format!("a{number}"), LEFT_MS),
            200,
            "requests are answered after the shortage"
        );
    }
}

#[test]
fn shutdown_without_descriptors_answers_and_ends_in_time() {
    let (mut sidecar, _servers, _discovery) = start_with_four_servers();
    let mut kept = sidecar.connect().expect("failed to connect to the sidecar");
    kept.write_all(request_text("view", "k", LEFT_MS).as_bytes()).expect("failed to write to the connection");
    assert_eq!(read_response(&mut kept).map(|(status, ..)| status), Some(200));
    limit_descriptors(&sidecar, true);
    let terminated = Instant::now();
    sidecar.signal("-TERM");
    let answers: Vec<_> = thread::scope(|scope| {
        let sidecar = &sidecar;
        let runs: Vec<_> = (0..8)
            .map(|number| {
                thread::sleep(ms(40));
                (number, scope.spawn(move || timed_request(sidecar, &format!("t{number}"))))
            })
            .collect();
        runs.into_iter().map(|(number, run)| (number, run.join().expect("run thread panicked"))).collect()
    });
    assert_eq!(late_answers(&answers), Vec::<String>::new());
    wait_until("the sidecar exits", || !sidecar.running());
    assert!(terminated.elapsed() < ms(2700), "exited {:?} after SIGTERM", terminated.elapsed());
}

#[test]
fn start_waits_for_an_address_briefly_in_use() {
    let server = start_endpoint(ScriptedBehavior::Respond);
    let discovery = start_discovery();
    let known = endpoint_list(1, &[("s1", server.address, "ready")]);
    let address = unused_address();
    // Like an earlier process that takes a moment to end.
    let earlier = std::net::TcpListener::bind(address).expect("failed to bind to the sidecar's address");
    let file = std::env::temp_dir().join(format!("landingspread-{address}.json"));
    let mut sidecar = Sidecar::spawn(address, file, &sidecar_config(&known, address, discovery.address), &[]);
    thread::sleep(ms(600));
    drop(earlier);
    sidecar.wait_ready();
    assert_eq!(sidecar.send_request("view", "after", LEFT_MS), 200);
}
