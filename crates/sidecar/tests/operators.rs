//! The console, maintenance and the upgrade, over sockets as operators and the platform meet them.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{self, Discovery, Does};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Instant;

fn address() -> SocketAddr {
    nobody()
}

/// One call; an answer later than a second counts as none.
fn call(console: SocketAddr, text: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(console).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    answer(&mut stream).map(|(status, _, _)| status)
}

fn status(console: SocketAddr) -> Option<u16> {
    call(console, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
}

fn maintenance(console: SocketAddr, what: &str, id: &str) -> Option<u16> {
    let length = id.len();
    call(console, &format!("PUT /maintenance/{what} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{id}"))
}

fn ready_catalog(entries: &[(&str, SocketAddr)], generation: u64) -> Value {
    let entries: Vec<_> = entries.iter().map(|(id, address)| (*id, *address, "ready")).collect();
    catalog(generation, &entries)
}

#[test]
fn console_answers_within_a_second_under_full_load_and_idle_connections() {
    let slow = endpoint(Does::Wait(1500));
    let console = address();
    let discovery = list_source();
    let known = ready_catalog(&[("s1", slow.address)], 1);
    let sidecar =
        Sidecar::start_as(&known, discovery.address, |told| told["console"] = json!(console.to_string()));
    within("the console answers", || status(console) == Some(200));
    let idle: Vec<_> = (0..150).filter_map(|_| sidecar.open()).collect();
    let incomplete: Vec<_> = (0..40)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(console).ok()?;
            stream.write_all(b"PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 9\r\n\r\ns").ok()?;
            Some(stream)
        })
        .collect();
    let waiting: Vec<_> = (0..30)
        .filter_map(|number| {
            let mut stream = sidecar.open()?;
            stream.write_all(cmd("view", &format!("b{number}"), 1900).as_bytes()).ok()?;
            Some(stream)
        })
        .collect();
    for round in 0..10 {
        assert_eq!(status(console), Some(200), "round {round}");
        assert_eq!(maintenance(console, if round % 2 == 0 { "enter" } else { "exit" }, "s1"), Some(200));
        assert_eq!(maintenance(console, "enter", "nobody"), Some(404));
    }
    assert!(idle.len() + incomplete.len() + waiting.len() > 150);
}

#[test]
fn requests_in_all_forms_are_answered_and_others_are_rejected() {
    let endpoint = endpoint(Does::Answer);
    let (console, discovery) = (address(), list_source());
    let known = ready_catalog(&[("s1", endpoint.address)], 1);
    let _sidecar =
        Sidecar::start_as(&known, discovery.address, |told| told["console"] = json!(console.to_string()));
    within("the console answers", || status(console) == Some(200));
    let cases = [
        (
            "PUT /maintenance/enter HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ns\r\n1;x\r\n1\r\n0\r\n\r\n",
            200,
        ),
        ("PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 4\r\n\r\ns1\r\n", 200),
        ("PUT /maintenance/exit HTTP/1.0\r\nContent-Length: 2\r\n\r\ns1", 200),
        ("PUT /maintenance/exit HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),
        ("PUT /maintenance/exit HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\ns1", 400),
        ("POST /maintenance/exit HTTP/1.1\r\nContent-Length: 2\r\n\r\ns1", 405),
        ("PUT /status HTTP/1.1\r\n\r\n", 405),
        ("GET /elsewhere HTTP/1.1\r\n\r\n", 404),
        ("nonsense\r\n\r\n", 400),
    ];
    for (text, wanted) in cases {
        assert_eq!(call(console, text), Some(wanted), "{text:?}");
    }
    let long =
        format!("PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 40000\r\n\r\n{}", "x".repeat(40_000));
    assert_eq!(call(console, &long), Some(413));
    let mut waits = TcpStream::connect(console).expect("a connection");
    waits
        .write_all(b"PUT /maintenance/exit HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        .expect("it is written");
    assert_eq!(answer(&mut waits).map(|(status, _, _)| status), Some(100));
    waits.write_all(b"s1").expect("it is written");
    assert_eq!(answer(&mut waits).map(|(status, _, _)| status), Some(200));
}

#[test]
fn endpoint_in_maintenance_gets_no_requests_until_it_exits() {
    let endpoints = [(); 2].map(|()| endpoint(Does::Answer));
    let entries = [("s1", endpoints[0].address), ("s2", endpoints[1].address)];
    let (console, discovery) = (address(), list_source());
    let sidecar = Sidecar::start_as(&ready_catalog(&entries, 1), discovery.address, |told| {
        told["console"] = json!(console.to_string());
        told["settings"]["Discovery"] = json!("automatic");
    });
    within("both are used", || {
        sidecar.cmd("view", &format!("u{}", endpoints[0].count() + endpoints[1].count()), 1500);
        endpoints.iter().all(|endpoint| endpoint.count() > 0)
    });
    assert_eq!(maintenance(console, "enter", "s1"), Some(200));
    let before = endpoints[0].count();
    for (generation, list) in [(2, &entries[..]), (3, &entries[1..]), (4, &entries[..])] {
        discovery.write(generation, ready_catalog(list, generation).to_string());
        for number in 0..20 {
            assert_eq!(sidecar.cmd("view", &format!("m{generation}-{number}"), 1500), 200);
        }
    }
    assert_eq!(endpoints[0].count(), before);
    assert_eq!(maintenance(console, "exit", "s1"), Some(200));
    let begun = Instant::now();
    let mut number = 0;
    while endpoints[0].count() == before {
        assert!(begun.elapsed() < ms(4000), "it is left unused");
        number += 1;
        assert_eq!(sidecar.cmd("view", &format!("n{number}"), 1500), 200);
        thread::sleep(ms(5));
    }
}

/// A sidecar whose clients' listener the test holds, as the platform does.
struct HeldListener {
    listener: TcpListener,
    folder: PathBuf,
    discovery: Arc<Discovery>,
    known: Value,
}

impl HeldListener {
    /// Before these endpoints, s1 and so on.
    fn before(name: &str, endpoints: &[sockets::Scripted]) -> HeldListener {
        let ids: Vec<String> = (1..=endpoints.len()).map(|number| format!("s{number}")).collect();
        let entries = ids.iter().zip(endpoints).map(|(id, endpoint)| (id.as_str(), endpoint.address));
        let known = ready_catalog(&entries.collect::<Vec<_>>(), 1);
        let discovery = list_source();
        discovery.write(1, known.to_string());
        let listener = free();
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).expect("children inherit it");
        let folder = std::env::temp_dir().join(format!("landingspread-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        HeldListener { listener, folder, discovery, known }
    }

    /// Another process of the sidecar, and its console.
    fn process(&self) -> (Sidecar, SocketAddr) {
        let (at, console) = (self.listener.local_addr().expect("an address"), address());
        let file = self.folder.join(format!("{}.json", console.port()));
        let mut config = told(&self.known, at, self.discovery.address);
        config["limits"]["sockets"] = json!(256);
        let told = [
            ("NODE_FD", self.listener.as_raw_fd().to_string()),
            ("NODE_CONSOLE", console.to_string()),
            ("TMPDIR", self.folder.display().to_string()),
        ];
        (Sidecar::spawn(at, file, &config, &told), console)
    }

    fn serving(&self) -> (Sidecar, SocketAddr) {
        let (sidecar, console) = self.process();
        within("it says yes", || status(console) == Some(200));
        (sidecar, console)
    }
}

impl Drop for HeldListener {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A request's id, and the status of its answer.
type Answered = (String, Option<u16>);

/// Clients that keep their connections while they may, each with one effectful request after another.
struct BackgroundLoad {
    stopped: Arc<AtomicBool>,
    next_id: Arc<AtomicU32>,
    callers: Vec<thread::JoinHandle<Vec<Answered>>>,
}

impl BackgroundLoad {
    fn start(at: SocketAddr) -> BackgroundLoad {
        let (stopped, next_id) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
        let caller = |number: usize| {
            let (stopped, next_id) = (stopped.clone(), next_id.clone());
            thread::spawn(move || send_requests(at, number, &stopped, &next_id))
        };
        BackgroundLoad { callers: (0..8).map(caller).collect(), stopped, next_id }
    }

    fn sent(&self) -> u32 {
        self.next_id.load(Ordering::Relaxed)
    }

    fn end(self) -> Vec<Answered> {
        self.stopped.store(true, Ordering::Relaxed);
        self.callers.into_iter().flat_map(|caller| caller.join().expect("a caller ends")).collect()
    }
}

fn send_requests(at: SocketAddr, caller: usize, stopped: &AtomicBool, next_id: &AtomicU32) -> Vec<Answered> {
    let (mut heard, mut kept) = (Vec::new(), None::<TcpStream>);
    while !stopped.load(Ordering::Relaxed) {
        let mut stream = kept.take().unwrap_or_else(|| {
            let stream = TcpStream::connect(at).expect("the listener is there");
            stream.set_read_timeout(Some(BOUNDED)).expect("a time");
            stream
        });
        let id = format!("c{caller}-{}", next_id.fetch_add(1, Ordering::Relaxed));
        let written = stream.write_all(cmd("confirm", &id, 1900).as_bytes());
        let word = written.ok().and_then(|()| answer(&mut stream));
        heard.push((id, word.as_ref().map(|(status, _, _)| *status)));
        kept = word.filter(|(_, head, _)| head.header("connection") != Some("close")).map(|_| stream);
        thread::sleep(ms(2));
    }
    heard
}

fn assert_none_lost_or_repeated(heard: &[Answered], endpoints: &[sockets::Scripted]) {
    let lost: Vec<_> = heard.iter().filter(|(_, status)| *status != Some(200)).collect();
    assert!(lost.is_empty(), "{} of {} commands: {:?}", lost.len(), heard.len(), &lost[..lost.len().min(5)]);
    let mut ran: BTreeMap<String, usize> = BTreeMap::new();
    for endpoint in endpoints {
        for cmd in &endpoint.seen().cmds {
            *ran.entry(cmd.header("x-trace-id").unwrap_or("").to_string()).or_default() += 1;
        }
    }
    assert!(ran.values().all(|times| *times == 1), "a command ran twice");
    assert!(heard.iter().all(|(id, _)| ran.contains_key(id)));
}

#[test]
fn upgrades_under_load_lose_and_repeat_no_request_and_keep_maintenance() {
    let endpoints = [(); 3].map(|()| endpoint(Does::Answer));
    let held = HeldListener::before("upgrade", &endpoints);
    let (mut old, console) = held.serving();
    let load = BackgroundLoad::start(old.address);
    within("commands flow", || load.sent() > 200);
    assert_eq!(maintenance(console, "enter", "s3"), Some(200));
    let left_out = endpoints[2].count();
    for round in 0..2 {
        let (new, console) = held.serving();
        old.signal("-TERM");
        let begun = Instant::now();
        within("the old process ends", || !old.running());
        assert!(begun.elapsed() < ms(2700), "before it would be killed");
        assert_eq!(old.child.wait().expect("a child").code(), Some(0));
        old = new;
        let sent = load.sent();
        within("commands flow on", || load.sent() > sent + 200);
        assert_eq!(maintenance(console, "enter", "s3"), Some(200), "round {round}");
    }
    assert!(endpoints[2].count() <= left_out + 8, "but for what was out as the word came");
    assert_none_lost_or_repeated(&load.end(), &endpoints);
}

#[test]
fn dying_new_process_leaves_the_old_one_serving_with_its_maintenance_orders() {
    let endpoints = [(); 2].map(|()| endpoint(Does::Answer));
    let held = HeldListener::before("half-way", &endpoints);
    let (mut old, first) = held.serving();
    let load = BackgroundLoad::start(old.address);
    within("commands flow", || load.sent() > 100);
    // One that dies before it serves, and one that is told of an endpoint first.
    drop(held.process());
    let (new, second) = held.serving();
    assert_eq!(maintenance(second, "enter", "s2"), Some(200));
    assert_eq!(status(first), Some(200));
    thread::sleep(ms(300));
    let left_out = endpoints[1].count();
    let died = load.sent();
    new.signal("-TERM");
    within("commands flow on", || load.sent() > died + 200);
    assert!(old.running() && status(first) == Some(200));
    assert_eq!(endpoints[1].count(), left_out, "a word to one process binds the other");
    assert_eq!(maintenance(first, "exit", "s2"), Some(200));
    within("it is used again", || endpoints[1].count() > left_out);
    assert_none_lost_or_repeated(&load.end(), &endpoints);
}

#[test]
fn new_process_serves_with_maintenance_orders_if_the_old_one_is_killed() {
    let endpoints = [(); 2].map(|()| endpoint(Does::Answer));
    let held = HeldListener::before("dies-first", &endpoints);
    let (old, first) = held.serving();
    assert_eq!(maintenance(first, "enter", "s1"), Some(200));
    let (new, second) = held.process();
    // Killed outright, it leaves its record and its files behind.
    old.signal("-KILL");
    within("the new one says yes", || status(second) == Some(200));
    let number = AtomicU32::new(0);
    let next = || new.status(&cmd("view", &format!("d{}", number.fetch_add(1, Ordering::Relaxed)), 1900));
    within("it serves", || next() == Some(200));
    (0..30).for_each(|_| assert_eq!(next(), Some(200)));
    assert_eq!((endpoints[0].count(), endpoints[1].count() > 30), (0, true));
    assert_eq!(maintenance(second, "exit", "s1"), Some(200));
    within("s1 is used again", || next() == Some(200) && endpoints[0].count() > 0);
}
