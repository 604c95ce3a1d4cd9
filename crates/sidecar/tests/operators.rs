//! The console, maintenance commands and rolling upgrades of real processes, as operators and the platform use them.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{self, Discovery, ScriptedBehavior};
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

/// The status of one console call. None if no response came within a second.
fn call(console: SocketAddr, text: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(console).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_response(&mut stream).map(|(status, _, _)| status)
}

fn status(console: SocketAddr) -> Option<u16> {
    call(console, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
}

fn maintenance(console: SocketAddr, action: &str, id: &str) -> Option<u16> {
    let length = id.len();
    call(console, &format!("PUT /maintenance/{action} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{id}"))
}

fn ready_endpoint_list(entries: &[(&str, SocketAddr)], generation: u64) -> Value {
    let entries: Vec<_> = entries.iter().map(|(id, address)| (*id, *address, "ready")).collect();
    endpoint_list(generation, &entries)
}

#[test]
fn console_answers_within_1_s_under_load_and_idle_connections() {
    let slow = start_endpoint(ScriptedBehavior::RespondAfterMs(1500));
    let console = unused_address();
    let discovery = start_discovery();
    let known = ready_endpoint_list(&[("s1", slow.address)], 1);
    let sidecar =
        Sidecar::start_as(&known, discovery.address, |config| config["console"] = json!(console.to_string()));
    wait_until("the console answers", || status(console) == Some(200));
    let idle: Vec<_> = (0..150).filter_map(|_| sidecar.connect()).collect();
    let incomplete: Vec<_> = (0..40)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(console).ok()?;
            stream.write_all(b"PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 9\r\n\r\ns").ok()?;
            Some(stream)
        })
        .collect();
    let waiting: Vec<_> = (0..30)
        .filter_map(|number| {
            let mut stream = sidecar.connect()?;
            stream.write_all(request_text("view", &format!("b{number}"), 1900).as_bytes()).ok()?;
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
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let (console, discovery) = (unused_address(), start_discovery());
    let known = ready_endpoint_list(&[("s1", endpoint.address)], 1);
    let _sidecar =
        Sidecar::start_as(&known, discovery.address, |config| config["console"] = json!(console.to_string()));
    wait_until("the console answers", || status(console) == Some(200));
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
    for (text, expected) in cases {
        assert_eq!(call(console, text), Some(expected), "{text:?}");
    }
    let long =
        format!("PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 40000\r\n\r\n{}", "x".repeat(40_000));
    assert_eq!(call(console, &long), Some(413));
    let mut expecting = TcpStream::connect(console).expect("failed to connect to the console");
    expecting
        .write_all(b"PUT /maintenance/exit HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        .expect("failed to write to the connection");
    assert_eq!(read_response(&mut expecting).map(|(status, _, _)| status), Some(100));
    expecting.write_all(b"s1").expect("failed to write to the connection");
    assert_eq!(read_response(&mut expecting).map(|(status, _, _)| status), Some(200));
}

#[test]
fn endpoint_in_maintenance_gets_no_requests_until_it_exits() {
    let endpoints = [(); 2].map(|()| start_endpoint(ScriptedBehavior::Respond));
    let entries = [("s1", endpoints[0].address), ("s2", endpoints[1].address)];
    let (console, discovery) = (unused_address(), start_discovery());
    let sidecar = Sidecar::start_as(&ready_endpoint_list(&entries, 1), discovery.address, |config| {
        config["console"] = json!(console.to_string());
        config["settings"]["Discovery"] = json!("automatic");
    });
    wait_until("both endpoints receive requests", || {
        sidecar.send_request(
            "view",
            &format!("u{}", endpoints[0].request_count() + endpoints[1].request_count()),
            1500,
        );
        endpoints.iter().all(|endpoint| endpoint.request_count() > 0)
    });
    assert_eq!(maintenance(console, "enter", "s1"), Some(200));
    let before = endpoints[0].request_count();
    for (generation, list) in [(2, &entries[..]), (3, &entries[1..]), (4, &entries[..])] {
        discovery.set_raw_list(generation, ready_endpoint_list(list, generation).to_string());
        for number in 0..20 {
            assert_eq!(sidecar.send_request("view", &format!("m{generation}-{number}"), 1500), 200);
        }
    }
    assert_eq!(endpoints[0].request_count(), before);
    assert_eq!(maintenance(console, "exit", "s1"), Some(200));
    let begun = Instant::now();
    let mut number = 0;
    while endpoints[0].request_count() == before {
        assert!(begun.elapsed() < ms(4000), "s1 gets no requests 4 s after it left maintenance");
        number += 1;
        assert_eq!(sidecar.send_request("view", &format!("n{number}"), 1500), 200);
        thread::sleep(ms(5));
    }
}

/// Processes of one sidecar that inherit the clients' listener from the test, as they do from the platform.
struct InheritedListener {
    listener: TcpListener,
    folder: PathBuf,
    discovery: Arc<Discovery>,
    known: Value,
}

impl InheritedListener {
    /// The endpoints are named s1, s2 and so on.
    fn with_endpoints(name: &str, endpoints: &[sockets::ScriptedServer]) -> InheritedListener {
        let ids: Vec<String> = (1..=endpoints.len()).map(|number| format!("s{number}")).collect();
        let entries = ids.iter().zip(endpoints).map(|(id, endpoint)| (id.as_str(), endpoint.address));
        let known = ready_endpoint_list(&entries.collect::<Vec<_>>(), 1);
        let discovery = start_discovery();
        discovery.set_raw_list(1, known.to_string());
        let listener = bind_unused_port();
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty())
            .expect("failed to clear FD_CLOEXEC of the listener");
        let folder = std::env::temp_dir().join(format!("landingspread-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("failed to create the directory");
        InheritedListener { listener, folder, discovery, known }
    }

    /// Starts another process of the sidecar, and returns it with the address of its console.
    fn start_process(&self) -> (Sidecar, SocketAddr) {
        let (at, console) =
            (self.listener.local_addr().expect("listener has a local address"), unused_address());
        let file = self.folder.join(format!("{}.json", console.port()));
        let mut config = sidecar_config(&self.known, at, self.discovery.address);
        config["limits"]["sockets"] = json!(256);
        let environment = [
            ("NODE_FD", self.listener.as_raw_fd().to_string()),
            ("NODE_CONSOLE", console.to_string()),
            ("TMPDIR", self.folder.display().to_string()),
        ];
        (Sidecar::spawn(at, file, &config, &environment), console)
    }

    /// Starts another process and waits until its console reports that it serves.
    fn start_serving(&self) -> (Sidecar, SocketAddr) {
        let (sidecar, console) = self.start_process();
        wait_until("the console answers 200", || status(console) == Some(200));
        (sidecar, console)
    }
}

impl Drop for InheritedListener {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A request's id, and the status of its response or None.
type Outcome = (String, Option<u16>);

/// Clients that reuse their connections until told to close them, each with one effectful request after another.
struct BackgroundLoad {
    stopped: Arc<AtomicBool>,
    next_id: Arc<AtomicU32>,
    clients: Vec<thread::JoinHandle<Vec<Outcome>>>,
}

impl BackgroundLoad {
    fn start(at: SocketAddr) -> BackgroundLoad {
        let (stopped, next_id) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
        let client = |number: usize| {
            let (stopped, next_id) = (stopped.clone(), next_id.clone());
            thread::spawn(move || send_requests(at, number, &stopped, &next_id))
        };
        BackgroundLoad { clients: (0..8).map(client).collect(), stopped, next_id }
    }

    fn sent(&self) -> u32 {
        self.next_id.load(Ordering::Relaxed)
    }

    fn end(self) -> Vec<Outcome> {
        self.stopped.store(true, Ordering::Relaxed);
        self.clients.into_iter().flat_map(|client| client.join().expect("client thread panicked")).collect()
    }
}

fn send_requests(at: SocketAddr, client: usize, stopped: &AtomicBool, next_id: &AtomicU32) -> Vec<Outcome> {
    let (mut outcomes, mut idle) = (Vec::new(), None::<TcpStream>);
    while !stopped.load(Ordering::Relaxed) {
        let mut stream = idle.take().unwrap_or_else(|| {
            let stream = TcpStream::connect(at).expect("failed to connect to the sidecar");
            stream.set_read_timeout(Some(WAIT_BOUND)).expect("failed to set the read timeout");
            stream
        });
        let id = format!("c{client}-{}", next_id.fetch_add(1, Ordering::Relaxed));
        let written = stream.write_all(request_text("confirm", &id, 1900).as_bytes());
        let response = written.ok().and_then(|()| read_response(&mut stream));
        outcomes.push((id, response.as_ref().map(|(status, _, _)| *status)));
        idle = response.filter(|(_, head, _)| head.header("connection") != Some("close")).map(|_| stream);
        thread::sleep(ms(2));
    }
    outcomes
}

fn assert_none_lost_or_repeated(outcomes: &[Outcome], endpoints: &[sockets::ScriptedServer]) {
    let lost: Vec<_> = outcomes.iter().filter(|(_, status)| *status != Some(200)).collect();
    assert!(
        lost.is_empty(),
        "{} of {} requests without status 200: {:?}",
        lost.len(),
        outcomes.len(),
        &lost[..lost.len().min(5)]
    );
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for endpoint in endpoints {
        for request in &endpoint.record().requests {
            *runs.entry(request.header("x-trace-id").unwrap_or("").to_string()).or_default() += 1;
        }
    }
    assert!(runs.values().all(|count| *count == 1), "a request ran twice");
    assert!(outcomes.iter().all(|(id, _)| runs.contains_key(id)));
}

#[test]
fn upgrade_under_load_keeps_requests_and_maintenance() {
    let endpoints = [(); 3].map(|()| start_endpoint(ScriptedBehavior::Respond));
    let listener = InheritedListener::with_endpoints("upgrade", &endpoints);
    let (mut old, console) = listener.start_serving();
    let load = BackgroundLoad::start(old.address);
    wait_until("the load sends requests", || load.sent() > 200);
    assert_eq!(maintenance(console, "enter", "s3"), Some(200));
    let before = endpoints[2].request_count();
    for round in 0..2 {
        let (new, console) = listener.start_serving();
        old.signal("-TERM");
        let begun = Instant::now();
        wait_until("the old process ends", || !old.running());
        assert!(begun.elapsed() < ms(2700), "old process ended only after its kill deadline");
        assert_eq!(old.child.wait().expect("failed to query the sidecar process").code(), Some(0));
        old = new;
        let sent = load.sent();
        wait_until("the load goes on", || load.sent() > sent + 200);
        assert_eq!(maintenance(console, "enter", "s3"), Some(200), "round {round}");
    }
    // Requests that were open when maintenance began are counted too.
    assert!(endpoints[2].request_count() <= before + 8, "s3 got requests in maintenance");
    assert_none_lost_or_repeated(&load.end(), &endpoints);
}

#[test]
fn old_process_serves_on_if_a_new_one_dies() {
    let endpoints = [(); 2].map(|()| start_endpoint(ScriptedBehavior::Respond));
    let listener = InheritedListener::with_endpoints("half-way", &endpoints);
    let (mut old, first) = listener.start_serving();
    let load = BackgroundLoad::start(old.address);
    wait_until("the load sends requests", || load.sent() > 100);
    // The first new process dies before it serves; the second one dies after it received a maintenance command.
    drop(listener.start_process());
    let (new, second) = listener.start_serving();
    assert_eq!(maintenance(second, "enter", "s2"), Some(200));
    assert_eq!(status(first), Some(200));
    thread::sleep(ms(300));
    let before = endpoints[1].request_count();
    let sent = load.sent();
    new.signal("-TERM");
    wait_until("the load goes on", || load.sent() > sent + 200);
    assert!(old.running() && status(first) == Some(200));
    assert_eq!(
        endpoints[1].request_count(),
        before,
        "the old process ignored maintenance set at the new one"
    );
    assert_eq!(maintenance(first, "exit", "s2"), Some(200));
    wait_until("s2 receives requests again", || endpoints[1].request_count() > before);
    assert_none_lost_or_repeated(&load.end(), &endpoints);
}

#[test]
fn new_process_keeps_maintenance_if_the_old_one_is_killed() {
    let endpoints = [(); 2].map(|()| start_endpoint(ScriptedBehavior::Respond));
    let listener = InheritedListener::with_endpoints("dies-first", &endpoints);
    let (old, first) = listener.start_serving();
    assert_eq!(maintenance(first, "enter", "s1"), Some(200));
    let (new, second) = listener.start_process();
    // A killed process leaves its record and its files behind.
    old.signal("-KILL");
    wait_until("the new process's console answers 200", || status(second) == Some(200));
    let number = AtomicU32::new(0);
    let next =
        || new.status(&request_text("view", &format!("d{}", number.fetch_add(1, Ordering::Relaxed)), 1900));
    wait_until("the new process answers requests", || next() == Some(200));
    (0..30).for_each(|_| assert_eq!(next(), Some(200)));
    assert_eq!((endpoints[0].request_count(), endpoints[1].request_count() > 30), (0, true));
    assert_eq!(maintenance(second, "exit", "s1"), Some(200));
    wait_until("s1 receives requests again", || next() == Some(200) && endpoints[0].request_count() > 0);
}

/// Orders for two endpoints that reach both processes of an upgrade within a millisecond hold at both: the process that
/// records its own order second must apply the first one too.
#[test]
fn orders_at_both_processes_at_once_hold_at_both() {
    for (order_at_new_first, new_stays) in [(false, true), (true, false), (true, true), (false, false)] {
        let case = format!("order at the new process first: {order_at_new_first}, it stays: {new_stays}");
        let endpoints = [(); 4].map(|()| start_endpoint(ScriptedBehavior::Respond));
        let listener = InheritedListener::with_endpoints(
            &format!("at-once-{order_at_new_first}-{new_stays}"),
            &endpoints,
        );
        let (old, old_console) = listener.start_serving();
        let (new, new_console) = listener.start_serving();
        let consoles =
            if order_at_new_first { [new_console, old_console] } else { [old_console, new_console] };
        let order_at_both = |action: &str| {
            for (console, server) in consoles.into_iter().zip(["s1", "s2"]) {
                assert_eq!(maintenance(console, action, server), Some(200), "{case}: {action} {server}");
            }
        };
        let load = BackgroundLoad::start(old.address);
        wait_until("all endpoints receive requests", || {
            endpoints.iter().all(|endpoint| endpoint.request_count() > 0)
        });
        order_at_both("enter");
        // The other process's orders are looked for ten times a second.
        thread::sleep(ms(500));
        let before = [0, 1].map(|index| endpoints[index].request_count());
        let sent = load.sent();
        wait_until("both processes serve on", || load.sent() > sent + 200);
        let leaving = if new_stays { &old } else { &new };
        leaving.signal("-TERM");
        let sent = load.sent();
        wait_until("one process serves on", || load.sent() > sent + 400);
        let after = [0, 1].map(|index| endpoints[index].request_count());
        assert_eq!(after, before, "{case}: endpoints in maintenance got requests");
        let console = if new_stays { new_console } else { old_console };
        let text = "GET /maintenance HTTP/1.1\r\nHost: x\r\n\r\n";
        let mut stream = TcpStream::connect(console).expect("failed to connect to the console");
        stream.write_all(text.as_bytes()).expect("failed to write to the console");
        let listed = read_response(&mut stream).map(|(_, _, body)| body);
        assert_eq!(listed.as_deref(), Some(&b"s1\ns2\n"[..]), "{case}");
        assert_none_lost_or_repeated(&load.end(), &endpoints);
    }
}

/// Orders to end maintenance that reach both processes at once hold at both as well.
#[test]
fn returns_at_both_processes_at_once_hold_at_both() {
    // The other endpoints have room for all requests while the two are in slow start.
    let endpoints = [(); 6].map(|()| start_endpoint(ScriptedBehavior::Respond));
    let listener = InheritedListener::with_endpoints("return-at-once", &endpoints);
    let (old, old_console) = listener.start_serving();
    let (_new, new_console) = listener.start_serving();
    for server in ["s1", "s2"] {
        assert_eq!(maintenance(old_console, "enter", server), Some(200));
    }
    thread::sleep(ms(500));
    assert_eq!(maintenance(old_console, "exit", "s1"), Some(200));
    assert_eq!(maintenance(new_console, "exit", "s2"), Some(200));
    thread::sleep(ms(500));
    old.signal("-TERM");
    let before = [0, 1].map(|index| endpoints[index].request_count());
    let load = BackgroundLoad::start(old.address);
    wait_until("the endpoints that returned receive requests", || {
        [0, 1].iter().all(|index| endpoints[*index].request_count() > before[*index] + 5)
    });
    assert_none_lost_or_repeated(&load.end(), &endpoints);
}
