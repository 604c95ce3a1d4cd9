//! Case 2: many long bodies without a length are read slowly, together over the memory limit.

use crate::client::{
    ANSWER_SLACK, DESK_CONFIRM, End, FLOOR_VIEW, RIG_SLACK, chunked_head, judge, new_id, send,
};
use crate::discovery::Discovery;
use crate::http::Connection;
use crate::record::Record;
use crate::server::{Behavior, Server};
use crate::settings::{Parameters, Site, config};
use crate::sidecar::{Sidecar, Start, free_address};
use crate::{Context, Run, Verdict};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the sidecar: 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: usize = 32;
/// Clients hold a third of the 1,024 descriptors at most for requests.
const CLIENTS: usize = 290;
/// A body that is longer than 64 KiB and far shorter than 32 MB.
const LONG_BODY: usize = 120_000;
/// The body without the disruption.
const SHORT_BODY: usize = 8_000;
/// The rate of a body in bytes a second, and the piece that is written at a time.
const RATE: f64 = 64_000.0;
const PIECE: usize = 8_000;
/// The clients begin within this time.
const SPREAD: Duration = Duration::from_millis(150);
/// How long the usual client goes on afterwards.
const AFTER: Duration = Duration::from_secs(8);

fn upload(record: &Record, to: SocketAddr, body: usize) -> End {
    let id = new_id();
    record.line(&format!("client  sends {id} desk-confirm, a chunked body of {body} bytes"));
    let written = || -> std::io::Result<Connection> {
        let mut connection = Connection::open(to, Duration::from_secs(1))?;
        connection.write(chunked_head(DESK_CONFIRM, &id).as_bytes())?;
        let begun = Instant::now();
        let mut sent = 0;
        while sent < body {
            let piece = PIECE.min(body - sent);
            let mut bytes = format!("{piece:x}\r\n").into_bytes();
            bytes.resize(bytes.len() + piece, b'x');
            bytes.extend(b"\r\n");
            connection.write(&bytes)?;
            sent += piece;
            let due = begun + Duration::from_secs_f64(sent as f64 / RATE);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        connection.write(b"0\r\n\r\n")?;
        Ok(connection)
    };
    let end = match written() {
        Ok(mut connection) => {
            record.line(&format!("client  {id} is written to its last byte"));
            let deadline = Instant::now() + DESK_CONFIRM.time_limit() + ANSWER_SLACK + RIG_SLACK;
            judge(connection.read_response(deadline))
        }
        Err(error) => End::NotTaken(error.to_string()),
    };
    record.line(&format!("client  {id} {}", end.text()));
    end
}

pub fn run(context: &Context) -> Run {
    let record = &context.record;
    let behavior =
        Behavior { cores: 64, queue: 64, work: |_| Duration::from_millis(20), spread: 0.2, reports: false };
    let servers = (1..=8).map(|number| Server::start(number, behavior, record.clone()));
    let servers = servers.collect::<Result<Vec<_>, _>>()?;
    let discovery = Discovery::start(servers.iter().map(|server| server.entry()).collect())?;
    let listen = free_address()?;
    let config = config(&Parameters {
        site: Site::Galway,
        name: "n0",
        listen,
        discovery: discovery.address,
        known: &discovery.known(),
        balancers: 2,
        ordinal: 0,
        seed: 11,
        memory_mb: MEMORY_MB,
    });
    let folder = &context.folder.0;
    let start = Start {
        config: &config,
        folder,
        name: "n0",
        tmpdir: &folder.join("tmp"),
        listener: None,
        console: None,
    };
    let mut sidecar = Sidecar::start(&start)?;
    sidecar.wait_ready(listen)?;

    // A usual client, twice a second.
    let ended = Arc::new(AtomicBool::new(false));
    let usual = {
        let (record, ended) = (record.clone(), ended.clone());
        thread::spawn(move || {
            let mut ends = Vec::new();
            while !ended.load(Ordering::SeqCst) {
                ends.push(send(&record, listen, FLOOR_VIEW, 0).0);
                thread::sleep(Duration::from_millis(500));
            }
            ends
        })
    };
    thread::sleep(Duration::from_secs(3));
    let body = if context.trouble { LONG_BODY } else { SHORT_BODY };
    record.say(&format!("{CLIENTS} clients write bodies of {body} bytes at {RATE} bytes a second"));
    let uploads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(SPREAD.mul_f64(number as f64 / CLIENTS as f64));
                upload(&record, listen, body)
            })
        })
        .collect();
    let ends: Vec<End> = uploads.into_iter().map(|upload| upload.join().unwrap()).collect();
    record.say("all these clients have closed their connections");
    thread::sleep(AFTER);
    ended.store(true, Ordering::SeqCst);
    let usual = usual.join().unwrap();
    let exited = sidecar.ended();

    let summary = |who: &str, ends: &[End]| format!("{who}: {}", End::summary(ends));
    record.say(&summary("long bodies", &ends));
    record.say(&summary("the usual client", &usual));
    let last = &usual[usual.len().saturating_sub(10)..];
    record.say(&summary("its last ten", last));
    record.say(&format!("the sidecar {}", if exited.is_some() { "has ended" } else { "runs" }));
    let taken = ends.iter().filter(|end| !matches!(end, End::NotTaken(_))).count();
    if taken < CLIENTS / 2 {
        return Err("too few requests could be written".into());
    }
    let lost = |end: &End| matches!(end, End::Lost(_));
    let broken = ends.iter().chain(&usual).any(lost) || exited.is_some();
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
