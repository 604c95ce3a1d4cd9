//! Case 3: operators put two boxes into maintenance while two processes of one sidecar run.

use crate::client::{End, FLOOR_VIEW, send};
use crate::discovery::Discovery;
use crate::http;
use crate::record::Record;
use crate::server::{Behavior, Server};
use crate::settings::{Parameters, Site, config};
use crate::sidecar::{SIGKILL, SIGTERM, Sidecar, Start, free_address};
use crate::{Context, Run, Verdict};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The grace of the rule on drains.
const GRACE: Duration = Duration::from_millis(2500);
/// Allowance for a send that is on its way at the end of the grace.
const RIG_SLACK: Duration = Duration::from_millis(250);
/// The new process says yes within this time.
const MAX_START: Duration = Duration::from_secs(6);
/// SIGKILL comes this long after SIGTERM: the longest deadline (3 s at most) and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// One call of the operators; a caller waits 1 s.
fn operators_call(record: &Record, console: SocketAddr, call: &str, id: &str) -> u16 {
    let request = format!("{call} HTTP/1.1\r\nHost: console\r\nContent-Length: {}\r\n\r\n{id}", id.len());
    let status = http::call(console, &request, Duration::from_secs(1)).map_or(0, |answer| answer.status());
    if !id.is_empty() {
        record.say(&format!("operator {call} {id} at {console}: {status}"));
    }
    status
}

pub fn run(context: &Context) -> Run {
    let record = &context.record;
    let behavior =
        Behavior { cores: 2, queue: 16, work: |_| Duration::from_millis(40), spread: 0.3, reports: false };
    let servers = (1..=8).map(|number| Server::start(number, behavior, record.clone()));
    let servers = servers.collect::<Result<Vec<_>, _>>()?;
    let discovery = Discovery::start(servers.iter().map(|server| server.entry()).collect())?;
    // The platform holds the clients' listening socket.
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let listen = listener.local_addr()?;
    let folder = &context.folder.0;
    let tmpdir = folder.join("tmp");
    let start = |name: &str, console: SocketAddr, seed: u64| {
        let config = config(&Parameters {
            site: Site::Galway,
            name: "n0",
            listen,
            discovery: discovery.address,
            known: &discovery.known(),
            balancers: 2,
            ordinal: 0,
            seed,
            memory_mb: 192,
        });
        Sidecar::start(&Start {
            config: &config,
            folder,
            name,
            tmpdir: &tmpdir,
            listener: Some(&listener),
            console: Some(console),
        })
    };
    let (old_console, new_console) = (free_address()?, free_address()?);
    let mut old = start("old", old_console, 21)?;
    old.wait_ready(listen)?;

    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (record, ended) = (record.clone(), ended.clone());
            thread::spawn(move || {
                let mut ends = Vec::new();
                while !ended.load(Ordering::SeqCst) {
                    ends.push(send(&record, listen, FLOOR_VIEW, 0).0);
                    thread::sleep(Duration::from_millis(30));
                }
                ends
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    let mut new = None;
    if context.trouble {
        record.say("a new process is started beside the old one");
        new = Some(start("new", new_console, 22)?);
        let deadline = Instant::now() + MAX_START;
        while operators_call(record, new_console, "GET /status", "") != 200 {
            if Instant::now() > deadline {
                return Err("the new process says no yes within 6 s".into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.say("the new process says yes");
    }
    // Two boxes are to be patched, one call after the other, each through one of the processes that run.
    let (first, second) = (&servers[0], &servers[1]);
    let mut bans = Vec::new();
    for (server, console) in
        [(first, old_console), (second, if new.is_some() { new_console } else { old_console })]
    {
        if operators_call(record, console, "PUT /maintenance/enter", &server.id) != 200 {
            return Err("the sidecar says no to the operators".into());
        }
        bans.push((server, Instant::now()));
    }
    if new.is_some() {
        thread::sleep(Duration::from_secs(1));
        record.say("SIGTERM reaches the old process");
        old.signal(SIGTERM);
        thread::sleep(KILL_AFTER);
        old.signal(SIGKILL);
    }
    thread::sleep(Duration::from_secs(6));
    ended.store(true, Ordering::SeqCst);
    let ends: Vec<End> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    record.say(&format!("requests: {}", End::summary(&ends)));

    let mut broken = false;
    for (server, yes_at) in bans {
        let arrivals = server.arrivals();
        let late: Vec<_> =
            arrivals.iter().filter(|arrival| arrival.at > yes_at + GRACE + RIG_SLACK).collect();
        for arrival in &late {
            record.line(&format!(
                "broken  {} got {} {:.3} s after the sidecar's yes to its maintenance",
                server.id,
                arrival.id,
                (arrival.at - yes_at).as_secs_f64()
            ));
        }
        record.say(&format!(
            "{}: {} requests in all, {} later than {GRACE:?} after the sidecar's yes",
            server.id,
            arrivals.len(),
            late.len()
        ));
        broken |= !late.is_empty();
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
