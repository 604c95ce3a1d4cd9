//! A sidecar is upgraded under load while a zone is evacuated by an operator.

use crate::rig::*;
use crate::zones::*;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(3000);
/// "The whole fleet evacuates the zone, within 2 s".
const EVACUATED_WITHIN: Duration = Duration::from_millis(2000);

/// A shell that `landingspread hold` has become: the processes that it starts inherit the clients' socket.
struct HoldingShell {
    input: std::process::ChildStdin,
    output: BufReader<std::process::ChildStdout>,
}

impl HoldingShell {
    fn open(listen: SocketAddr) -> HoldingShell {
        let program = root().join("target/release/landingspread");
        let mut child = Command::new(program)
            .args(["hold", "--listen", &listen.to_string(), "--", "/bin/sh"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("landingspread hold starts");
        let input = child.stdin.take().expect("its input");
        let output = BufReader::new(child.stdout.take().expect("its output"));
        adopt(child);
        HoldingShell { input, output }
    }

    /// Starts a process of the sidecar and returns its id.
    fn serve(&mut self, file: &str, console: SocketAddr, log: &str) -> u32 {
        let (program, log_path) = (root().join("target/release/landingspread"), folder().join(log));
        let line = format!(
            "NODE_CONSOLE={console} {} serve --file {file} 2>{} </dev/null >/dev/null & echo $!\n",
            program.display(),
            log_path.display()
        );
        self.input.write_all(line.as_bytes()).expect("the shell reads");
        let mut id = String::new();
        let _ = self.output.read_line(&mut id);
        let id = id.trim().parse().expect("the id of the process");
        adopt_id(id);
        note(&format!("started {log} as {id}"));
        id
    }
}

fn runs(id: u32) -> bool {
    std::fs::read_to_string(format!("/proc/{id}/stat"))
        .is_ok_and(|stat| !stat.rsplit(") ").next().unwrap_or("").starts_with('Z'))
}

pub fn case() -> ! {
    let (at_a, at_b) = (Arrivals::default(), Arrivals::default());
    let servers = [
        ("a1", "a", server("a", at_a.clone())),
        ("a2", "a", server("a", at_a.clone())),
        ("b1", "b", server("b", at_b.clone())),
        ("b2", "b", server("b", at_b.clone())),
    ];
    let replicas = replicas();
    let seeds: Vec<SocketAddr> = replicas.iter().map(|replica| replica.advertise).collect();
    let files: Vec<String> = replicas.iter().map(|replica| write_file(replica, &seeds, &servers)).collect();
    let consoles = [free_port(), free_port(), free_port()];
    let next_console = free_port();
    for number in [1, 2] {
        let log = format!("n{number}.log");
        let _ = start(
            &log,
            &["serve", "--file", &files[number]],
            &[("NODE_CONSOLE", consoles[number].to_string())],
        );
    }
    let mut shell = HoldingShell::open(replicas[0].listen);
    let old = shell.serve(&files[0], consoles[0], "n0-old.log");
    replicas.iter().for_each(|replica| wait_ready(replica.listen));
    let joined = |console: &SocketAddr| get(*console, "/fleet").is_some_and(|page| page.text().contains("3 live"));
    if !wait_until(ms(15_000), || consoles.iter().all(joined)) {
        say("the fleet did not form");
        end(NOT_RUN);
    }
    let clients = Clients::start(replicas[0].listen, 8, &["view", "confirm"], LIMIT, ms(6000), ms(100));
    thread::sleep(ms(4000));
    note(&format!("before: {} requests at zone a, {} at zone b", at_a.lock().unwrap().len(), at_b.lock().unwrap().len()));
    let left = put(consoles[0], "/zones/leave", "b").map(|found| found.status());
    note(&format!("PUT /zones/leave b at n0: {left:?}"));
    let is_left = |console: &SocketAddr| zone_b(*console).starts_with("left");
    if left != Some(200) || !wait_until(EVACUATED_WITHIN, || consoles.iter().all(is_left)) {
        say("the zone was not evacuated");
        end(NOT_RUN);
    }
    let judged_from = since_start() + EVACUATED_WITHIN;
    thread::sleep(ms(4000));
    let mut old_ended = None;
    if trouble() {
        let _new = shell.serve(&files[0], next_console, "n0-new.log");
        let serves = || get(next_console, "/status").is_some_and(|found| found.status() == 200);
        if !wait_until(ms(6000), serves) {
            say("the new process did not say yes within 6 s");
            end(NOT_RUN);
        }
        note("the new process says yes");
        signal(old, "TERM");
        let began = since_start();
        while since_start() < began + ms(9000) {
            note(&format!("n0-new: {} | n1: {}", zone_b(next_console), zone_b(consoles[1])));
            if old_ended.is_none() && !runs(old) {
                old_ended = Some(since_start() - began);
                note(&format!("the old process ended after {old_ended:?}"));
            }
            thread::sleep(ms(150));
        }
    } else {
        thread::sleep(ms(9000));
    }
    let sent = clients.finish();
    for (at, id) in at_b.lock().unwrap().iter() {
        note(&format!("request {id} came to zone b at {:.3}", at.as_secs_f64()));
    }
    ["n0-old.log", "n0-new.log", "n1.log", "n2.log"].iter().for_each(|log| note_log(log, &["zones:", "fleet:", "SIGTERM", "console:"]));
    let late: Vec<Duration> =
        at_b.lock().unwrap().iter().map(|(at, _)| *at).filter(|at| *at >= judged_from).collect();
    let span = late.first().zip(late.last()).map(|(first, last)| *last - *first);
    let served = sent.iter().filter(|request| request.status == 200).count();
    say(&format!(
        "{} requests, {served} with 200; {} came to the evacuated zone more than {EVACUATED_WITHIN:?} after the operator's 200, \
         over {span:?}; the old process ended {old_ended:?} after SIGTERM",
        sent.len(),
        late.len()
    ));
    if served < 200 {
        end(NOT_RUN);
    }
    end(if late.is_empty() { HELD } else { BROKEN })
}
