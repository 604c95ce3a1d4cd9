//! What the tests over sockets share: the program as a child, its configuration, the lab's stand-ins.
#![allow(dead_code)] // each test program uses a part

pub mod gate;

use landingspread_lab::sockets::{self, Discovery, Does, Heard, Peer, Scripted};
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub const BOUNDED: Duration = Duration::from_secs(5);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn free() -> TcpListener {
    sockets::free().expect("a free port")
}

pub fn endpoint(does: Does) -> Scripted {
    Scripted::start(does).expect("a stand-in")
}

pub fn list_source() -> Arc<Discovery> {
    Discovery::written().expect("a stand-in")
}

pub fn catalog(generation: u64, entries: &[(&str, SocketAddr, &str)]) -> Value {
    let entry = |(id, address, state): &(&str, SocketAddr, &str)| {
        json!({"instanceId": id, "hostPort": address.to_string(), "zone": "here", "machineType": "m",
            "cell": 1, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
    };
    json!({"generation": generation, "reset": true,
        "instances": entries.iter().map(entry).collect::<Vec<_>>()})
}

pub fn verb(name: &str, effect: &str) -> Value {
    json!({"Name": name, "Effect": effect, "KeyScope": "all", "MemorySpan": 2_000_000, "TimeLimit": 2_000_000,
        "ResponseGoal": 1_000_000, "Utility": 1.0, "OverdueUtility": 0.0})
}

pub fn told(known: &Value, listen: SocketAddr, discovery: SocketAddr) -> Value {
    json!({"name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 80}, "known": known,
        "settings": {"Balancers": 1, "Discovery": "subscribe", "Localities": ["here"], "MyZone": 0, "Tier": 0,
            "Resolution": 1000, "Verbs": [verb("view", "idempotent"), verb("hold", "deduplicated"),
                verb("confirm", "at_most_once")],
            "Tenants": [{"Name": "acme", "QuotaRps": 1000.0, "Share": 1.0}],
            "PolicyLimits": {"MayCancel": true, "Probes": true, "MostRelays": 6, "ConnIdle": 30_000_000,
                "DialTimeout": 100_000, "RetryAfter": true, "MaxRetryAfter": 2_500_000, "MaxOpen": 1000},
            "Rules": {"ColdShare": 0.3, "Cold": 5_000_000, "TipMultiple": 3.0, "Fall": 2_000_000,
                "DrainGrace": 2_500_000, "AskEvery": 10_000_000, "AnswerSlack": 20_000}}})
}

pub struct Sidecar {
    pub address: SocketAddr,
    pub child: Child,
    pub file: PathBuf,
}

impl Sidecar {
    pub fn start(known: &Value, discovery: SocketAddr) -> Sidecar {
        Sidecar::start_as(known, discovery, |_| {})
    }

    /// Its configuration may be changed before it starts.
    pub fn start_as(known: &Value, discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Sidecar {
        let address = nobody();
        let file = std::env::temp_dir().join(format!("landingspread-{address}.json"));
        let mut config = told(known, address, discovery);
        change(&mut config);
        let mut sidecar = Sidecar::spawn(address, file, &config, &[]);
        sidecar.wait_ready();
        sidecar
    }

    /// One that ends, or does not answer in time, is told with its log and with what the system gave it: a process that
    /// stood in the queue for a processor is told apart from one that waited for something else.
    pub fn wait_ready(&mut self) {
        let begun = Instant::now();
        while self.status("GET /_health HTTP/1.1\r\n\r\n") != Some(200) {
            let in_time = self.running() && begun.elapsed() < BOUNDED;
            assert!(in_time, "it is not ready after {:?}: {}", begun.elapsed(), self.account());
            thread::sleep(ms(5));
        }
    }

    /// How long it ran and how long it was queued for a processor, in nanoseconds, and its log.
    pub fn account(&self) -> String {
        let read = |path: PathBuf| std::fs::read_to_string(path).unwrap_or_default();
        let scheduled = read(format!("/proc/{}/schedstat", self.child.id()).into());
        format!("ran, queued, turns: {}\n{}", scheduled.trim(), read(self.log()))
    }

    fn log(&self) -> PathBuf {
        self.file.with_extension("log")
    }

    /// Starts it with these variables besides, and does not wait.
    pub fn spawn(address: SocketAddr, file: PathBuf, config: &Value, told: &[(&str, String)]) -> Sidecar {
        std::fs::write(&file, config.to_string()).expect("a file");
        Sidecar::spawn_by(address, file, told)
    }

    /// The same by a file that is there already.
    pub fn spawn_by(address: SocketAddr, file: PathBuf, told: &[(&str, String)]) -> Sidecar {
        let child = started(&file, told);
        Sidecar { address, child, file }
    }

    /// Begins the next life of one that has ended, and does not wait.
    pub fn start_again(&mut self) {
        self.child = started(&self.file, &[]);
    }

    pub fn status(&self, text: &str) -> Option<u16> {
        self.ask(text).map(|(status, _, _)| status)
    }

    pub fn with(servers: &[(&str, SocketAddr)]) -> (Sidecar, Arc<Discovery>) {
        let ready: Vec<_> = servers.iter().map(|(id, address)| (*id, *address, "ready")).collect();
        let discovery = list_source();
        (Sidecar::start(&catalog(1, &ready), discovery.address), discovery)
    }

    pub fn open(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(BOUNDED)).ok()?;
        Some(stream)
    }

    pub fn ask(&self, text: &str) -> Option<(u16, Heard, Vec<u8>)> {
        let mut stream = self.open()?;
        // What is turned away early may close before all is written.
        let _ = stream.write_all(text.as_bytes());
        answer(&mut stream)
    }

    pub fn cmd(&self, verb: &str, id: &str, left_ms: u64) -> u16 {
        self.ask(&cmd(verb, id, left_ms)).expect("a final word").0
    }

    /// Replaces the configuration and says so.
    pub fn hang_up(&self, config: &str) {
        std::fs::write(&self.file, config).expect("a file");
        self.signal("-HUP");
        thread::sleep(ms(100));
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill runs").success());
    }

    pub fn running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }
}

/// The program by this file, its log beside it.
fn started(file: &Path, told: &[(&str, String)]) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    program.arg("serve").env("NODE_CONFIG", file).env_remove("TMPDIR");
    program.stderr(std::fs::File::create(file.with_extension("log")).expect("a log"));
    program.envs(told.iter().map(|(name, text)| (*name, text)));
    program.spawn().expect("the program starts")
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(self.log());
    }
}

/// For how long its thread has been ready to run and was given no processor so far.
pub fn waited(sidecar: &Sidecar) -> Duration {
    let path = format!("/proc/{}/schedstat", sidecar.child.id());
    let told = std::fs::read_to_string(path).expect("the system tells it");
    Duration::from_nanos(told.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a figure"))
}

pub fn answer(stream: &mut TcpStream) -> Option<(u16, Heard, Vec<u8>)> {
    let mut head = Peer::new(stream.try_clone().ok()?).answer().ok()?;
    let body = std::mem::take(&mut head.body);
    Some((head.status()?, head, body))
}

pub fn cmd(verb: &str, id: &str, left_ms: u64) -> String {
    let common =
        format!("Host: app.svc\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In-Ms: {left_ms}\r\n");
    match verb {
        "view" => format!("GET /view/1?x=2 HTTP/1.1\r\n{common}\r\n"),
        "hold" => {
            format!("POST /hold HTTP/1.1\r\n{common}Idempotency-Key: k{id}\r\nContent-Length: 4\r\n\r\nbody")
        }
        other => format!("POST /{other} HTTP/1.1\r\n{common}Content-Length: 4\r\n\r\nbody"),
    }
}

/// An address where nobody listens, and which a program may be told to listen at.
pub fn nobody() -> SocketAddr {
    sockets::nobody()
}

pub fn within(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < BOUNDED, "{what}");
        thread::sleep(ms(5));
    }
}
