//! Case: the list of boxes is wrong for some seconds. Requests whose body is longer than 64 KiB get no final answer in
//! that time, all others do.

use crate::client::{self, Class, End, Random};
use crate::discovery::{Discovery, Entry};
use crate::server::{Behavior, Server};
use crate::settings::{self, Parameters, Site};
use crate::sidecar::{self, Sidecar, Start};
use crate::{Context, Run, Verdict};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The deployment as it is today: 17 to 23 boxes and 17 to 22 sidecars.
const BOXES: usize = 17;
const SIDECARS: usize = 17;
/// Requests a second over all sidecars. The boxes can serve some 190; the deployment has about 180.
const RATE: f64 = 130.0;
/// Of the requests with a body, one in so many has a long one.
const LONG_BODY_EVERY: u64 = 4;
/// A body that is too long to be held whole, and short enough to lie in the system's buffers: the sidecar's machine has
/// it all at once.
const LONG_BODY: usize = 80_000;
const SHORT_BODY: usize = 200;
/// The pages: for 10 to 25 s the list calls all boxes of a tier gone while they run and serve; then it is right again.
const WRONG_FROM: Duration = Duration::from_secs(12);
const WRONG_FOR: Duration = Duration::from_secs(16);
const SENDING_FOR: Duration = Duration::from_secs(36);

fn work(class: &str) -> Duration {
    Duration::from_millis(match class {
        "quote-view" => 150,
        "slot-check" => 170,
        "slot-hold" => 200,
        _ => 210,
    })
}

fn draw_class(draw: f64) -> Class {
    match draw {
        _ if draw < 0.31 => client::QUOTE_VIEW,
        _ if draw < 0.59 => client::SLOT_CHECK,
        _ if draw < 0.85 => client::SLOT_HOLD,
        _ => client::JOB_CONFIRM,
    }
}

pub fn run(context: &Context) -> Run {
    let Context { record, folder, trouble } = context;
    let behavior = Behavior {
        cores: 2,
        queue: 24,
        work,
        spread: 0.3,
        reports: false,
        copy_after: Duration::ZERO,
        one_way: Duration::ZERO,
    };
    let boxes = (1..=BOXES).map(|number| Server::start(number, behavior, record.clone()));
    let boxes: Vec<Arc<Server>> = boxes.collect::<Result<_, _>>()?;
    let entry = |(number, server): (usize, &Arc<Server>)| Entry {
        id: server.id.clone(),
        address: server.address,
        zone: "bangna-dc",
        cell: 1 + number as u32 / 3,
        lifecycle: "ready",
        started_at_ms: 0,
    };
    let entries: Vec<Entry> = boxes.iter().enumerate().map(entry).collect();
    let discovery = Discovery::start(entries.clone())?;
    let known = discovery.known();
    let (mut sidecars, mut listens) = (Vec::new(), Vec::new());
    for ordinal in 0..SIDECARS {
        let listen = sidecar::free_address()?;
        let name = format!("n{ordinal}");
        let config = settings::config(&Parameters {
            site: Site::Bangna,
            name: &name,
            listen,
            discovery: discovery.address,
            known: &known,
            balancers: SIDECARS,
            ordinal,
            seed: 0x8c1f + ordinal as u64,
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
        sidecars.push(process);
        listens.push(listen);
    }
    if *trouble {
        let (record, discovery) = (record.clone(), discovery.clone());
        thread::spawn(move || {
            thread::sleep(WRONG_FROM);
            let gone = entries.iter().cloned().map(|entry| Entry { lifecycle: "gone", ..entry });
            discovery.change(gone.collect());
            record.line("discovery calls all boxes gone, which run and serve");
            thread::sleep(WRONG_FOR);
            discovery.set(entries);
            record.line("discovery has the true list again");
        });
    }
    let ends: Arc<Mutex<Vec<(bool, End, Duration)>>> = Arc::default();
    let (mut random, begun, mut with_body) = (Random::new(59), Instant::now(), 0u64);
    let mut next = begun;
    let mut clients = Vec::new();
    while begun.elapsed() < SENDING_FOR {
        next += random.pause(RATE);
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let class = draw_class(random.next());
        let has_body = class.effect != client::Effect::Pure;
        with_body += u64::from(has_body);
        let long = has_body && with_body.is_multiple_of(LONG_BODY_EVERY);
        let body = if long { LONG_BODY } else { SHORT_BODY };
        let (record, ends, to) = (record.clone(), ends.clone(), listens[clients.len() % SIDECARS]);
        clients.push(thread::spawn(move || {
            let (end, took) = client::send(&record, to, class, body);
            ends.lock().unwrap().push((long, end, took));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    if sidecars.iter_mut().any(|process| process.ended().is_some()) {
        record.say("a sidecar has ended by itself");
        return Ok(Verdict::Broken);
    }
    drop(sidecars);
    let ends = ends.lock().unwrap();
    for long in [false, true] {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        let mut slowest = Duration::ZERO;
        for (_, end, took) in ends.iter().filter(|(is_long, ..)| *is_long == long) {
            *counts.entry(end.text()).or_default() += 1;
            slowest = slowest.max(*took);
        }
        let kind = if long { "long bodies" } else { "all others" };
        record.say(&format!("{kind}: {counts:?}, the slowest after {:.3} s", slowest.as_secs_f64()));
    }
    let lost = ends.iter().filter(|(_, end, _)| matches!(end, End::Lost(_))).count();
    record.say(&format!("{lost} of {} requests had no final answer in time", ends.len()));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
