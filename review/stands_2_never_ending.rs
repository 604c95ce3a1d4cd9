//! Messages that never end, as fast as they are read: an endpoint's answer, or a bad client's request.

use crate::rig::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The time limit of the usual clients' requests.
const LIMIT: Duration = Duration::from_millis(2000);
/// Past its time limit by half a second, a request is lost; 50 ms more are the protocol's slack.
const LOST_AFTER: Duration = Duration::from_millis(2550);
/// How long a client waits for an answer before it counts as none.
const PATIENCE: Duration = Duration::from_millis(6000);
/// The bad clients of the second case.
const BAD_CLIENTS: usize = 8;
/// What a spoilt answer is said to have at most.
const MOST_BYTES: u64 = 3 << 30;

/// Of the requests for a view, one in so many gets an answer that never ends, from any endpoint alike.
const ONE_IN: u64 = 60;

fn endpoint(
    name: &'static str,
    spoils: Arc<AtomicBool>,
    views: Arc<AtomicU64>,
    spoilt: Arc<AtomicU64>,
) -> SocketAddr {
    listen(move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(asked) = reader.message() {
            if asked.target() == "/ping" {
                let _ = reader.stream.write_all(&answer("200 OK", b""));
                continue;
            }
            thread::sleep(ms(5));
            let drawn = asked.method() == "GET" && views.fetch_add(1, Ordering::Relaxed) % ONE_IN == 0;
            if drawn && spoils.load(Ordering::Relaxed) {
                let began = Instant::now();
                note(&format!("{name} answers {} without end", asked.header("x-trace-id")));
                let written = never_ending_answer(&mut reader.stream, &spoilt);
                note(&format!("{name} has written {written} bytes of it in {:?}", began.elapsed()));
                return;
            }
            let body = format!("{} {}", asked.header("x-trace-id"), name);
            if reader.stream.write_all(&answer("200 OK", body.as_bytes())).is_err() {
                return;
            }
        }
    })
}

/// Interim heads, one behind the other, until the connection ends.
fn never_ending_answer(stream: &mut TcpStream, of_all: &AtomicU64) -> u64 {
    let head = "HTTP/1.1 100 Continue\r\n\r\n";
    let block = head.repeat((1 << 20) / head.len());
    let mut written = 0;
    while written < MOST_BYTES && stream.write_all(block.as_bytes()).is_ok() {
        written += block.len() as u64;
        of_all.fetch_add(block.len() as u64, Ordering::Relaxed);
    }
    written
}

struct Play {
    listen: SocketAddr,
    sidecar: u32,
    spoils: Arc<AtomicBool>,
    spoilt: Arc<AtomicU64>,
    clients: Clients,
}

fn start_play() -> Play {
    let (spoils, views, spoilt) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let servers: Vec<(String, SocketAddr)> = ["s1", "s2", "s3", "s4"]
        .into_iter()
        .map(|name| (name.to_string(), endpoint(name, spoils.clone(), views.clone(), spoilt.clone())))
        .collect();
    let listed = instances(&servers);
    let listen = free_port();
    let file = platform_file(listen, discovery(listed.clone()), &listed);
    let sidecar = start("sidecar.log", &["serve"], &[("NODE_CONFIG", file.display().to_string())]);
    wait_ready(listen);
    let clients = Clients::start(listen, 12, &["view", "view", "confirm"], LIMIT, PATIENCE, ms(100));
    thread::sleep(ms(4000));
    Play { listen, sidecar, spoils, spoilt, clients }
}

/// Judges the usual clients' requests: each has its final answer within its time and half a second.
fn judge(play: Play) -> ! {
    let health = get(play.listen, "/_health").map(|found| found.status());
    let sent = play.clients.finish();
    for request in &sent {
        let Sent { id, at, status, took, .. } = request;
        note(&format!("request {id} sent at {:.3}: status {status} after {took:?}", at.as_secs_f64()));
    }
    note_log("sidecar.log", &["WARN", "ERROR"]);
    let lost = sent.iter().filter(|request| request.status == 0 || request.took > LOST_AFTER).count();
    let longest = sent.iter().map(|request| request.took).max().unwrap_or_default();
    let foreign =
        sent.iter().filter(|request| request.status == 200 && !request.body.starts_with(&request.id));
    let foreign = foreign.count();
    say(&format!(
        "{} requests, {lost} lost (no answer within {LOST_AFTER:?}), {foreign} foreign, longest {longest:?}, {} bytes without end, \
         health at the end {health:?}, sidecar ended: {:?}",
        sent.len(),
        play.spoilt.load(Ordering::Relaxed),
        ended(play.sidecar)
    ));
    if sent.len() < 200 {
        end(NOT_RUN);
    }
    end(if lost > 0 || foreign > 0 || ended(play.sidecar).is_some() { BROKEN } else { HELD })
}

/// Some answers of endpoints never end.
pub fn answer_case() -> ! {
    let play = start_play();
    play.spoils.store(trouble(), Ordering::Relaxed);
    thread::sleep(ms(20_000));
    play.spoils.store(false, Ordering::Relaxed);
    judge(play)
}

/// The requests of a few bad clients never end.
pub fn request_case() -> ! {
    let play = start_play();
    if trouble() {
        let (to, written) = (play.listen, play.spoilt.clone());
        for number in 0..BAD_CLIENTS {
            let written = written.clone();
            thread::spawn(move || bad_client(number, to, &written));
        }
    }
    thread::sleep(ms(12_000));
    judge(play)
}

/// Writes a request whose trailer fields do not end, at full speed, until the connection ends.
fn bad_client(number: usize, to: SocketAddr, written: &AtomicU64) {
    let Ok(mut stream) = TcpStream::connect(to) else { return };
    let head = format!(
        "POST /confirm HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: bad{number}\r\nX-Customer: acme\r\n\
         X-Expires-In-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
    );
    let began = Instant::now();
    note(&format!("bad client {number} connects and writes trailer fields without end"));
    let field = "x:\r\n";
    let block = field.repeat((1 << 20) / field.len());
    let _ = stream.write_all(head.as_bytes());
    while began.elapsed() < ms(60_000) && stream.write_all(block.as_bytes()).is_ok() {
        written.fetch_add(block.len() as u64, Ordering::Relaxed);
    }
    note(&format!("bad client {number} was closed after {:?}", began.elapsed()));
}
