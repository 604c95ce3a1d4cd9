//! Endpoints send some answers twice, the second copy some milliseconds behind the first, in another data centre.

use crate::rig::*;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The delay of the network between the two data centres, one way.
const ONE_WAY: Duration = Duration::from_millis(10);
/// How far a second copy is behind the answer.
const BEHIND: Duration = Duration::from_millis(10);
/// How long an endpoint works on a request.
const WORK: Duration = Duration::from_millis(2);
/// One answer in so many comes twice.
const ONE_IN: u64 = 30;
/// What the clients wait for: a try is given up after half of the time limit of 4 s.
const LIMIT: Duration = Duration::from_millis(2000);
/// The clients, each with one request open at a time.
const CLIENTS: usize = 80;
/// A sidecar that has seen bytes that belong to no request is careful for a minute, so new ones are played, so many at most.
const PLAYS: usize = 14;
/// How long a play is calm, and how long second copies are sent then.
const CALM: Duration = Duration::from_millis(5200);
const SPOILT: Duration = Duration::from_millis(800);

struct Endpoints {
    spoils: Arc<AtomicBool>,
    answers: Arc<AtomicU64>,
    copies: Arc<AtomicU64>,
}

impl Endpoints {
    /// Answers each request with its id. What comes lies for `ONE_WAY` before it is seen, and what is sent before it is
    /// written: that is the network. A second copy is sent only if nothing more had come to the endpoint by then.
    fn start(&self, name: &'static str) -> SocketAddr {
        let (spoils, answers, copies) = (self.spoils.clone(), self.answers.clone(), self.copies.clone());
        listen(move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(asked) = reader.message() {
                if asked.target() == "/ping" {
                    thread::sleep(2 * ONE_WAY);
                    let _ = reader.stream.write_all(&answer("200 OK", b""));
                    continue;
                }
                let id = asked.header("x-trace-id").to_string();
                thread::sleep(ONE_WAY + WORK + ONE_WAY);
                let body = answer("200 OK", id.as_bytes());
                if reader.stream.write_all(&body).is_err() {
                    return;
                }
                let drawn = answers.fetch_add(1, Ordering::Relaxed) % ONE_IN == 0;
                if !drawn || !spoils.load(Ordering::Relaxed) {
                    continue;
                }
                // The copy leaves the endpoint now less ONE_WAY plus BEHIND. A request that has come to this machine by
                // then less ONE_WAY is one that the endpoint has seen.
                thread::sleep((BEHIND).saturating_sub(2 * ONE_WAY));
                let seen_by_endpoint = reader.has_more();
                let waits = BEHIND.min(2 * ONE_WAY);
                thread::sleep(waits);
                if !seen_by_endpoint {
                    let _ = reader.stream.write_all(&body);
                    copies.fetch_add(1, Ordering::Relaxed);
                    note(&format!("{name} sends its answer to {id} a second time"));
                }
            }
        })
    }
}

/// Changes the settings to the figures of dublin-docklands, where the two data centres are.
fn as_at_dublin_docklands(file: &Path) {
    let figures = [
        ("\"TimeLimit\":2000000", "\"TimeLimit\":4000000"),
        ("\"ResponseGoal\":800000", "\"ResponseGoal\":1500000"),
        ("\"MemorySpan\":2500000", "\"MemorySpan\":6000000"),
        ("\"Probes\":true", "\"Probes\":false"),
        ("\"MostRelays\":6", "\"MostRelays\":5"),
        ("\"ColdShare\":0.31,\"Cold\":8800000", "\"ColdShare\":0.12,\"Cold\":24000000"),
        ("\"TipMultiple\":3.0,\"Fall\":2000000", "\"TipMultiple\":4.0,\"Fall\":1000000"),
        ("\"DrainGrace\":2500000", "\"DrainGrace\":500000"),
    ];
    let mut text = std::fs::read_to_string(file).expect("the configuration");
    for (from, to) in figures {
        assert!(text.contains(from), "{from} is no setting");
        text = text.replace(from, to);
    }
    std::fs::write(file, text).expect("the configuration is written");
}

pub fn case() -> ! {
    let endpoints = Endpoints { spoils: Arc::default(), answers: Arc::default(), copies: Arc::default() };
    let servers: Vec<(String, SocketAddr)> =
        ["s1", "s2"].into_iter().map(|name| (name.to_string(), endpoints.start(name))).collect();
    let listed = instances(&servers);
    let discovery = discovery(listed.clone());
    let (mut requests, mut served, mut foreign, mut plays) = (0, 0, 0, 0);
    let began = Instant::now();
    while plays < PLAYS && foreign == 0 && began.elapsed() < ms(95_000) {
        plays += 1;
        let listen = free_port();
        let file = platform_file(listen, discovery, &listed);
        as_at_dublin_docklands(&file);
        let log = format!("sidecar-{plays}.log");
        let sidecar = start(&log, &["serve"], &[("NODE_CONFIG", file.display().to_string())]);
        wait_ready(listen);
        let clients = Clients::start(listen, CLIENTS, &["view"], LIMIT, ms(6000), Duration::ZERO);
        thread::sleep(CALM);
        endpoints.spoils.store(trouble(), Ordering::Relaxed);
        thread::sleep(SPOILT);
        endpoints.spoils.store(false, Ordering::Relaxed);
        let sent = clients.finish();
        signal(sidecar, "KILL");
        requests += sent.len();
        served += sent.iter().filter(|request| request.status == 200).count();
        for Sent { id, at, body, took, .. } in
            sent.iter().filter(|sent| sent.status == 200 && sent.body != sent.id)
        {
            foreign += 1;
            note(&format!(
                "request {id} sent at {:.3} was answered with 200 and {body} after {took:?}",
                at.as_secs_f64()
            ));
        }
        note(&format!("play {plays}: {} requests", sent.len()));
        note_log(&log, &["WARN", "ERROR"]);
    }
    let copies = endpoints.copies.load(Ordering::Relaxed);
    say(&format!(
        "{plays} plays, {requests} requests, {served} with 200, {copies} second copies, {foreign} foreign answers"
    ));
    if served < 5000 || (trouble() && copies == 0) {
        end(NOT_RUN);
    }
    end(if foreign > 0 { BROKEN } else { HELD })
}
