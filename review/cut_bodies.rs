//! Case 1: boxes read long bodies slowly, where a second copy may be sent.

use crate::client::{
    ANSWER_SLACK, End, REPORT_VIEW, RIG_SLACK, Random, SUBMIT_CHECK, chunked_head, judge, new_id, send,
};
use crate::discovery::Discovery;
use crate::http::Connection;
use crate::record::Record;
use crate::server::{Behavior, SentBodies, Server};
use crate::settings::{Parameters, Site, config};
use crate::sidecar::{Sidecar, Start, free_address};
use crate::{Context, Run, Verdict};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Eight boxes in two cells: the small twin of the site.
const CELLS: [(&str, u32, usize); 2] = [("almaty-dc", 1, 4), ("astana-dc", 2, 4)];
/// Bodies of up to 32 MB occur.
const SHORTEST: usize = 6_000_000;
const LONGEST: usize = 9_000_000;
/// How much of a long body a box reads in a second.
const READING_RATE: usize = 2_500_000;
const UPLOADERS: usize = 10;
/// The case ends after this time, or sooner once this many bodies were altered.
const LENGTH: Duration = Duration::from_secs(85);
const ENOUGH: usize = 1;
const PIECE: usize = 64 << 10;

fn upload(record: &Record, to: SocketAddr, sent: &SentBodies, length: usize) -> End {
    let id = new_id();
    sent.lock().unwrap().insert(id.clone(), length);
    record.line(&format!("client  sends {id} submit-check, a chunked body of {length} bytes"));
    let write = |connection: &mut Connection| -> io::Result<()> {
        connection.write(chunked_head(SUBMIT_CHECK, &id).as_bytes())?;
        let mut left = length;
        while left > 0 {
            let piece = PIECE.min(left);
            connection
                .write(&[format!("{piece:x}\r\n").as_bytes(), &[b'x'; PIECE][..piece], b"\r\n"].concat())?;
            left -= piece;
        }
        connection.write(b"0\r\n\r\n")
    };
    let end = match Connection::open(to, Duration::from_secs(1)) {
        Ok(mut connection) => {
            let written = write(&mut connection);
            let deadline = Instant::now() + SUBMIT_CHECK.time_limit() + ANSWER_SLACK + RIG_SLACK;
            let response = connection.read_response(deadline);
            match written {
                Ok(()) => judge(response),
                Err(error) => End::NotTaken(format!("{error}, then {}", judge(response).text())),
            }
        }
        Err(error) => End::NotTaken(error.to_string()),
    };
    record.line(&format!("client  {id} {}", end.text()));
    end
}

pub fn run(context: &Context) -> Run {
    let record = &context.record;
    let behavior =
        Behavior { cores: 16, queue: 64, work: |_| Duration::from_millis(40), spread: 0.3, reports: true };
    let sent = Arc::new(SentBodies::default());
    let (mut servers, mut entries) = (Vec::new(), Vec::new());
    for (zone, cell, count) in CELLS {
        for _ in 0..count {
            let server = Server::start(servers.len() + 1, behavior, record.clone())?;
            server.compare_with(&sent);
            if context.trouble {
                server.read_slowly(READING_RATE);
            }
            entries.push(server.entry_in(zone, cell));
            servers.push(server);
        }
    }
    let discovery = Discovery::start(entries)?;
    let listen = free_address()?;
    let config = config(&Parameters {
        site: Site::Almaty,
        name: "n0",
        listen,
        discovery: discovery.address,
        known: &discovery.known(),
        balancers: 4,
        ordinal: 0,
        seed: 14,
        memory_mb: 192,
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

    let ended = Arc::new(AtomicBool::new(false));
    // Usual clients, about a hundred requests a second in all.
    let usual: Vec<_> = [REPORT_VIEW]
        .into_iter()
        .chain([SUBMIT_CHECK; 8])
        .map(|class| {
            let (record, ended) = (record.clone(), ended.clone());
            thread::spawn(move || {
                let mut ends = Vec::new();
                while !ended.load(Ordering::SeqCst) {
                    ends.push(send(&record, listen, class, 500).0);
                    thread::sleep(Duration::from_millis(40));
                }
                ends
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let uploaders: Vec<_> = (0..UPLOADERS)
        .map(|number| {
            let (record, ended, sent) = (record.clone(), ended.clone(), sent.clone());
            thread::spawn(move || {
                let mut random = Random::new(number as u64 + 1);
                let mut ends = Vec::new();
                while !ended.load(Ordering::SeqCst) {
                    let length = SHORTEST + (random.next() * (LONGEST - SHORTEST) as f64) as usize;
                    ends.push(upload(&record, listen, &sent, length));
                    thread::sleep(Duration::from_millis(100));
                }
                ends
            })
        })
        .collect();
    let begun = Instant::now();
    let altered = || servers.iter().flat_map(|server| server.altered()).collect::<Vec<_>>();
    while begun.elapsed() < LENGTH && altered().len() < ENOUGH {
        thread::sleep(Duration::from_millis(100));
    }
    ended.store(true, Ordering::SeqCst);
    let uploads: Vec<End> = uploaders.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let usual: Vec<End> = usual.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let exited = sidecar.ended();
    for (who, ends) in [("long bodies", &uploads), ("usual requests", &usual)] {
        record.say(&format!("{who}: {}", End::summary(ends)));
    }
    let altered = altered();
    record.say(&format!("{} requests reached a box whole with another body than was sent", altered.len()));
    if uploads.iter().all(|end| matches!(end, End::NotTaken(_))) {
        return Err("no long body could be written".into());
    }
    Ok(if altered.is_empty() && exited.is_none() { Verdict::Held } else { Verdict::Broken })
}
