//! Case: a second copy of an answer comes some milliseconds late and is passed on as the answer to another request.

use crate::client::{self, Class, End};
use crate::discovery::{Discovery, Entry};
use crate::http::Connection;
use crate::record::Record;
use crate::server::{Behavior, Server};
use crate::settings::{self, Parameters, Site};
use crate::sidecar::{self, Sidecar, Start};
use crate::{Context, Run, Verdict};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often a new sidecar is started, at the most: after the first bytes that nobody asked for, a sidecar is careful for
/// 60 s, so that only the first copies of a play meet it unprepared.
const PLAYS: usize = 14;
const BOXES: usize = 2;
/// Connections of the callers, on each of which one request is open at a time.
const CONNECTIONS: usize = 80;
/// How long requests come, and after what time boxes begin to send second copies.
const SENDING_FOR: Duration = Duration::from_millis(6300);
const COPIES_FROM: Duration = Duration::from_millis(5500);
/// The share of answers that a second copy follows, and how late it is sent: "some milliseconds".
const COPY_PERCENT: u64 = 3;
const COPY_AFTER: Duration = Duration::from_millis(15);
/// The way between two data centres: "10 to 20 ms one way between them".
const ONE_WAY: Duration = Duration::from_millis(10);
/// A caller that was declined waits for a moment.
const PAUSE_AFTER_DECLINE: Duration = Duration::from_millis(20);

fn work(_: &str) -> Duration {
    Duration::from_millis(2)
}

#[derive(Default)]
struct Results {
    answered: usize,
    declined: usize,
    failed: usize,
    lost: Vec<String>,
    foreign: Vec<String>,
}

/// One connection of a caller.
struct Caller {
    record: Arc<Record>,
    to: SocketAddr,
    connection: Option<Connection>,
    results: Arc<Mutex<Results>>,
}

impl Caller {
    fn ask(&mut self, class: Class) {
        let id = client::new_id();
        self.record.line(&format!("client  sends {id} {}", class.name));
        let mut end = End::NotTaken("no connection".into());
        // A kept connection may be closed between requests: the client then sends once more on a new one.
        for kept in [true, false] {
            let connection = match self.connection.take().filter(|_| kept) {
                Some(connection) => Ok(connection),
                None => Connection::open(self.to, Duration::from_secs(1)),
            };
            let Ok(mut connection) = connection else { continue };
            match client::exchange(&mut connection, class, &id, 0) {
                Ok((answer, closes)) => {
                    end = answer;
                    self.connection = Some(connection).filter(|_| !closes);
                    break;
                }
                Err(error) => end = error,
            }
        }
        let mut results = self.results.lock().unwrap();
        match end {
            End::Answered(body) if body != format!("answer to {id}") => {
                self.record.line(&format!("client  {id} GOT A FOREIGN ANSWER: {body:?}"));
                results.foreign.push(format!("{id} got {body:?}"));
            }
            end => {
                self.record.line(&format!("client  {id} {}", end.text()));
                match end {
                    End::Answered(_) => results.answered += 1,
                    End::Declined => {
                        results.declined += 1;
                        drop(results);
                        thread::sleep(PAUSE_AFTER_DECLINE);
                    }
                    End::Failed(_) | End::NotTaken(_) => results.failed += 1,
                    End::Lost(why) => results.lost.push(format!("{id}: {why}")),
                }
            }
        }
    }
}

/// Plays one sidecar; returns the number of second copies that were sent, or None if the sidecar ended by itself.
fn play(
    context: &Context,
    number: usize,
    results: &Arc<Mutex<Results>>,
) -> Result<Option<u64>, Box<dyn Error>> {
    let Context { record, folder, trouble } = context;
    let behavior = Behavior {
        cores: 64,
        queue: 64,
        work,
        spread: 0.2,
        reports: true,
        copy_after: COPY_AFTER,
        one_way: ONE_WAY,
    };
    let boxes = (1..=BOXES).map(|number| Server::start(number, behavior, record.clone()));
    let boxes: Vec<Arc<Server>> = boxes.collect::<Result<_, _>>()?;
    let mut entries = Vec::new();
    for server in &boxes {
        entries.push(Entry {
            id: server.id.clone(),
            address: server.address,
            zone: "dub-south",
            cell: 1,
            lifecycle: "ready",
            started_at_ms: 0,
        });
    }
    let discovery = Discovery::start(entries)?;
    let listen = sidecar::free_address()?;
    let name = format!("n{number}");
    let config = settings::config(&Parameters {
        site: Site::Dublin,
        name: &name,
        listen,
        discovery: discovery.address,
        known: &discovery.known(),
        balancers: 1,
        ordinal: 0,
        seed: 0x8c1f + number as u64,
    });
    let tmpdir = folder.0.join(format!("tmp-{name}"));
    let start = Start {
        config: &config,
        folder: &folder.0,
        name: &name,
        tmpdir: &tmpdir,
        listener: None,
        console: None,
    };
    let mut process = Sidecar::start(&start)?;
    process.wait_ready(listen)?;
    record.line(&format!("play    {number} begins"));
    let begun = Instant::now();
    let caller = |_| {
        let mut caller =
            Caller { record: record.clone(), to: listen, connection: None, results: results.clone() };
        thread::spawn(move || {
            while begun.elapsed() < SENDING_FOR {
                caller.ask(client::DESK_LOOKUP);
            }
        })
    };
    let callers: Vec<_> = (0..CONNECTIONS).map(caller).collect();
    thread::sleep(COPIES_FROM);
    if *trouble {
        record.line("boxes begin to send second copies of some answers");
        boxes.iter().for_each(|server| server.send_copies(COPY_PERCENT));
    }
    for caller in callers {
        let _ = caller.join();
    }
    Ok(match process.ended() {
        Some(_) => None,
        None => Some(boxes.iter().map(|server| server.copies()).sum()),
    })
}

pub fn run(context: &Context) -> Run {
    let record = &context.record;
    let results: Arc<Mutex<Results>> = Arc::default();
    let mut copies = 0;
    for number in 0..PLAYS {
        match play(context, number, &results)? {
            Some(sent) => copies += sent,
            None => {
                record.say("the sidecar has ended by itself");
                return Ok(Verdict::Broken);
            }
        }
        let foreign = results.lock().unwrap().foreign.len();
        record.say(&format!("after play {number}: {foreign} answers that were made for another request"));
        if foreign > 0 {
            break;
        }
    }
    let results = results.lock().unwrap();
    let Results { answered, declined, failed, lost, foreign } = &*results;
    record.say(&format!(
        "answered {answered}, declined {declined}, failed {failed}, second copies sent {copies}"
    ));
    lost.iter().for_each(|text| record.say(text));
    foreign.iter().take(10).for_each(|text| record.say(text));
    record.say(&format!(
        "{} answers were made for another request, {} requests were lost",
        foreign.len(),
        lost.len()
    ));
    Ok(if foreign.is_empty() && lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}
