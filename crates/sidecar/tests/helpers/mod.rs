//! Helpers shared by the process tests: the sidecar as a child process, its configuration, and the lab's test servers.
#![allow(dead_code)] // each test program uses only some of the helpers

pub mod bodies;
pub mod gate;

use landingspread_lab::sockets::{self, Discovery, HttpMessage, Peer, ScriptedBehavior, ScriptedServer};
use serde_json::{Value, json};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a condition, and the read timeout of client connections.
pub const WAIT_BOUND: Duration = Duration::from_secs(5);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Makes the descriptor table of this process large enough for `count` descriptors besides those that are open. When the
/// table of a process with several threads grows, the kernel blocks the thread for some 10 to 30 ms within `connect`.
pub fn reserve_descriptors(count: usize) {
    let open = || File::open("/dev/null").expect("failed to open /dev/null");
    drop((0..count).map(|_| open()).collect::<Vec<_>>());
}

/// A listener at an unused port of 127.0.0.1.
pub fn bind_unused_port() -> TcpListener {
    sockets::bind_loopback().expect("failed to bind to an unused port")
}

pub fn start_endpoint(does: ScriptedBehavior) -> ScriptedServer {
    ScriptedServer::start(does).expect("failed to start the test endpoint")
}

/// A test discovery whose endpoint list is set by `set_raw_list`.
pub fn start_discovery() -> Arc<Discovery> {
    Discovery::with_raw_lists().expect("failed to start the test discovery")
}

/// An answer of discovery: the complete list of this generation with the id, address and lifecycle state of each server.
pub fn endpoint_list(generation: u64, entries: &[(&str, SocketAddr, &str)]) -> Value {
    let entry = |(id, address, state): &(&str, SocketAddr, &str)| {
        json!({"instanceId": id, "hostPort": address.to_string(), "zone": "here", "machineType": "m",
            "cell": 1, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
    };
    json!({"generation": generation, "reset": true,
        "instances": entries.iter().map(entry).collect::<Vec<_>>()})
}

fn verb_settings(name: &str, effect: &str) -> Value {
    json!({"Name": name, "Effect": effect, "KeyScope": "all", "MemorySpan": 2_000_000, "TimeLimit": 2_000_000,
        "ResponseGoal": 1_000_000, "Utility": 1.0, "OverdueUtility": 0.0})
}

/// The default configuration of a sidecar in these tests.
pub fn sidecar_config(known: &Value, listen: SocketAddr, discovery: SocketAddr) -> Value {
    json!({"name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 80}, "known": known,
        "settings": {"Balancers": 1, "Discovery": "subscribe", "Localities": ["here"], "MyZone": 0, "Tier": 0,
            "Resolution": 1000, "Verbs": [verb_settings("view", "idempotent"), verb_settings("hold", "deduplicated"),
                verb_settings("confirm", "at_most_once")],
            "Tenants": [{"Name": "acme", "QuotaRps": 1000.0, "Share": 1.0}],
            "PolicyLimits": {"MayCancel": true, "Probes": true, "MostRelays": 6, "ConnIdle": 30_000_000,
                "DialTimeout": 100_000, "RetryAfter": true, "MaxRetryAfter": 2_500_000, "MaxOpen": 1000},
            "Rules": {"ColdShare": 0.3, "Cold": 5_000_000, "TipMultiple": 3.0, "Fall": 2_000_000,
                "DrainGrace": 2_500_000, "AskEvery": 10_000_000, "AnswerSlack": 20_000}}})
}

/// A sidecar process. Dropping it kills the process and removes its configuration and log files.
pub struct Sidecar {
    pub address: SocketAddr,
    pub child: Child,
    pub config_file: PathBuf,
}

impl Sidecar {
    pub fn start(known: &Value, discovery: SocketAddr) -> Sidecar {
        Sidecar::start_as(known, discovery, |_| {})
    }

    /// Starts a sidecar whose configuration was edited by `change`, and waits until it is ready.
    pub fn start_as(known: &Value, discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Sidecar {
        let address = unused_address();
        let config_file = std::env::temp_dir().join(format!("landingspread-{address}.json"));
        let mut config = sidecar_config(known, address, discovery);
        change(&mut config);
        let mut sidecar = Sidecar::spawn(address, config_file, &config, &[]);
        sidecar.wait_ready();
        sidecar
    }

    /// Fails with the log and the scheduling statistics of a process that exits or is not ready in time. The statistics
    /// show whether it was waiting for a processor or for something else.
    pub fn wait_ready(&mut self) {
        let begun = Instant::now();
        while self.status("GET /_health HTTP/1.1\r\n\r\n") != Some(200) {
            let in_time = self.running() && begun.elapsed() < WAIT_BOUND;
            assert!(in_time, "sidecar is not ready after {:?}: {}", begun.elapsed(), self.diagnostics());
            thread::sleep(ms(5));
        }
    }

    /// Time running and time waiting for a processor (both in nanoseconds), number of time slices, and the log.
    pub fn diagnostics(&self) -> String {
        let read = |path: PathBuf| std::fs::read_to_string(path).unwrap_or_default();
        let schedstat = read(format!("/proc/{}/schedstat", self.child.id()).into());
        format!("running ns, waiting ns, time slices: {}\n{}", schedstat.trim(), read(self.log()))
    }

    fn log(&self) -> PathBuf {
        self.config_file.with_extension("log")
    }

    /// Writes the configuration and starts the process with additional environment variables. Does not wait until it is
    /// ready.
    pub fn spawn(
        address: SocketAddr,
        config_file: PathBuf,
        config: &Value,
        environment: &[(&str, String)],
    ) -> Sidecar {
        std::fs::write(&config_file, config.to_string()).expect("failed to write the configuration");
        Sidecar::spawn_with_file(address, config_file, environment)
    }

    /// Starts the process with an existing configuration file. Does not wait until it is ready.
    pub fn spawn_with_file(
        address: SocketAddr,
        config_file: PathBuf,
        environment: &[(&str, String)],
    ) -> Sidecar {
        let child = spawn_program(&config_file, environment);
        Sidecar { address, child, config_file }
    }

    /// Starts a new process after the previous one has exited. Does not wait until it is ready.
    pub fn start_again(&mut self) {
        self.child = spawn_program(&self.config_file, &[]);
    }

    pub fn status(&self, text: &str) -> Option<u16> {
        self.send_text(text).map(|(status, _, _)| status)
    }

    /// Starts a sidecar that knows these servers, all ready, and a discovery for it.
    pub fn start_with_servers(servers: &[(&str, SocketAddr)]) -> (Sidecar, Arc<Discovery>) {
        let ready: Vec<_> = servers.iter().map(|(id, address)| (*id, *address, "ready")).collect();
        let discovery = start_discovery();
        (Sidecar::start(&endpoint_list(1, &ready), discovery.address), discovery)
    }

    pub fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(WAIT_BOUND)).ok()?;
        Some(stream)
    }

    /// Sends these bytes on a new connection and reads one response: its status, its head and its body.
    pub fn send_text(&self, text: &str) -> Option<(u16, HttpMessage, Vec<u8>)> {
        let mut stream = self.connect()?;
        // The sidecar may reject a request and close the connection before all of it is written.
        let _ = stream.write_all(text.as_bytes());
        read_response(&mut stream)
    }

    /// Sends a request that expires in `left_ms` on a new connection and returns the status of its response.
    pub fn send_request(&self, verb: &str, id: &str, left_ms: u64) -> u16 {
        self.send_text(&request_text(verb, id, left_ms)).expect("no final response from the sidecar").0
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_file, config).expect("failed to write the configuration");
        self.signal("-HUP");
        thread::sleep(ms(100));
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("failed to run kill").success());
    }

    pub fn running(&mut self) -> bool {
        self.child.try_wait().expect("failed to query the sidecar process").is_none()
    }
}

/// Starts `landingspread serve` with this configuration file; its log goes to the same path with extension `log`.
fn spawn_program(config_file: &Path, environment: &[(&str, String)]) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    program.arg("serve").env("NODE_CONFIG", config_file).env_remove("TMPDIR");
    program.stderr(File::create(config_file.with_extension("log")).expect("failed to create the log file"));
    program.envs(environment.iter().map(|(name, text)| (*name, text)));
    program.spawn().expect("failed to start landingspread")
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
        let _ = std::fs::remove_file(self.log());
    }
}

/// Total time that the main thread of the sidecar was runnable and waited for a processor.
pub fn processor_wait(sidecar: &Sidecar) -> Duration {
    let path = format!("/proc/{}/schedstat", sidecar.child.id());
    let schedstat = std::fs::read_to_string(path).expect("failed to read schedstat of the sidecar");
    Duration::from_nanos(
        schedstat
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse().ok())
            .expect("second field of schedstat is a number"),
    )
}

/// Reads one response: its status, its head and its body. None if the connection ends before it is complete.
pub fn read_response(stream: &mut TcpStream) -> Option<(u16, HttpMessage, Vec<u8>)> {
    let mut head = Peer::new(stream.try_clone().ok()?).read_response().ok()?;
    let body = std::mem::take(&mut head.body);
    Some((head.status()?, head, body))
}

/// The bytes of a request with a trace id, a customer, and `left_ms` until it expires.
pub fn request_text(verb: &str, id: &str, left_ms: u64) -> String {
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

/// An address at which no process listens and which a process may be configured to listen at.
pub fn unused_address() -> SocketAddr {
    sockets::unused_address()
}

/// Waits until the condition holds; panics with its description after `WAIT_BOUND`.
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < WAIT_BOUND, "not within {WAIT_BOUND:?}: {condition}");
        thread::sleep(ms(5));
    }
}
