//! Helpers of the control tests: control machines and sidecars as processes, their files, and calls to both.

use crate::helpers::*;
use landingspread_lab::sockets::{ScriptedBehavior, ScriptedServer};
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Tests run one at a time: each starts up to sixteen processes.
static TURN: Mutex<()> = Mutex::new(());
/// A published version is in force at all sidecars within this time.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(10);
pub const SCOPE: &str = "basket";

pub fn address() -> SocketAddr {
    bind_unused_port().local_addr().expect("listener has a local address")
}

/// An empty directory for the files of one test.
pub fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("landingspread-control-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("failed to create the directory");
    folder
}

pub struct Process(Child);

impl Process {
    pub fn start(folder: &Path, name: &str, args: &[&str], config: &str) -> Process {
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, config).expect("failed to write the file");
        let log = std::fs::File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
        let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
        program
            .args(args)
            .arg(&file)
            .stderr(log.expect("failed to create the log file"))
            .env_remove("TMPDIR");
        Process(program.spawn().expect("failed to start landingspread"))
    }

    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("failed to run kill").success());
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The status and the body of one call. None if no complete response came.
pub fn call(to: SocketAddr, head: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1000)).ok()?;
    stream.set_read_timeout(Some(ms(4000))).ok()?;
    let length = body.len();
    let text = format!(
        "{head} HTTP/1.1\r\nHost: x\r\nAccept: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (status, _, body) = read_response(&mut stream)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

pub struct Machine {
    pub address: SocketAddr,
    pub process: Process,
}

/// Starts a control machine that reaches the other ones at the addresses `others`.
pub fn machine(folder: &Path, name: &str, address: SocketAddr, others: &[SocketAddr]) -> Machine {
    let all: Vec<String> = [address].iter().chain(others).map(|at| format!("\"{at}\"")).collect();
    let state = folder.join(format!("{name}.state"));
    let config = format!("listen = \"{address}\"\nmachines = [{}]\nstate = {state:?}\n", all.join(", "));
    Machine { address, process: Process::start(folder, name, &["control"], &config) }
}

/// Starts `count` control machines and waits until each hears all others.
pub fn machines(folder: &Path, count: usize) -> Vec<Machine> {
    let all: Vec<SocketAddr> = (0..count).map(|_| address()).collect();
    let start = |(at, own): (usize, &SocketAddr)| {
        let others: Vec<SocketAddr> = all.iter().filter(|other| *other != own).copied().collect();
        machine(folder, &format!("m{at}"), *own, &others)
    };
    let machines: Vec<Machine> = all.iter().enumerate().map(start).collect();
    for machine in &machines {
        wait_until("each machine hears all others", || peers_heard(machine.address) == count - 1);
    }
    machines
}

/// Number of other control machines from which this one has heard.
pub fn peers_heard(at: SocketAddr) -> usize {
    let Some((200, text)) = call(at, "GET /control/v1/status", "") else { return 0 };
    text.lines().filter(|line| line.starts_with("other") && !line.contains("never")).count()
}

pub fn current_version(at: SocketAddr) -> Option<String> {
    let (200, text) = call(at, &format!("GET /control/v1/scopes/{SCOPE}"), "")? else { return None };
    let status: Value = serde_json::from_str(&text).ok()?;
    status["version"].as_str().map(str::to_string)
}

pub fn scope_status(at: SocketAddr) -> Value {
    let (status, text) = call(at, &format!("GET /control/v1/scopes/{SCOPE}"), "").expect("no response");
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).expect("body is valid JSON")
}

pub fn put(at: SocketAddr, base: &str, more: &str, contents: &Value) -> (u16, String) {
    let body = if contents.is_null() { String::new() } else { contents.to_string() };
    call(at, &format!("PUT /control/v1/scopes/{SCOPE}?base={base}{more}"), &body).expect("no response")
}

/// Publishes contents on top of the machine's current version and returns the new version.
pub fn publish(at: SocketAddr, contents: &Value) -> String {
    let base = current_version(at).unwrap_or("none".into());
    let (status, text) = put(at, &base, "", contents);
    assert_eq!(status, 200, "{text}");
    let status: Value = serde_json::from_str(&text).expect("body is valid JSON");
    status["version"].as_str().expect("response names the version").to_string()
}

pub struct FollowingSidecar {
    pub address: SocketAddr,
    pub console: SocketAddr,
    pub process: Process,
}

/// The text of a configuration file for a sidecar that polls these control machines.
pub fn config(
    folder: &Path,
    name: &str,
    at: (SocketAddr, SocketAddr),
    region: &str,
    machines: &str,
    endpoints: &[SocketAddr],
) -> String {
    let (listen, console) = at;
    let kept = folder.join(format!("{name}.kept"));
    let mut text = format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\nconsole = \"{console}\"\nseed = 7\n\
         [control]\nscope = \"{SCOPE}\"\nregion = \"{region}\"\nmachines = [{machines}]\nkept = {kept:?}\n\
         [[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"2s\"\nlimit = \"2s\"\n\
         [[verbs]]\nname = \"look\"\nrepeats = \"pure\"\ngoal = \"2s\"\nlimit = \"2s\"\n\
         [[tenants]]\nname = \"acme\"\nquota = 1000.0\n"
    );
    for (number, server) in endpoints.iter().enumerate() {
        text += &format!("[[servers]]\nid = \"s{number}\"\naddress = \"{server}\"\n");
    }
    text
}

pub fn machine_list(machines: &[(SocketAddr, &str)]) -> String {
    let entry = |(address, region): &(SocketAddr, &str)| {
        format!("{{ address = \"{address}\", region = \"{region}\" }}")
    };
    machines.iter().map(entry).collect::<Vec<_>>().join(", ")
}

pub fn start_sidecar(
    folder: &Path,
    name: &str,
    region: &str,
    machines: &str,
    endpoints: &[SocketAddr],
) -> FollowingSidecar {
    let (listen, console) = (address(), address());
    let text = config(folder, name, (listen, console), region, machines, endpoints);
    start_with(folder, name, (listen, console), &text)
}

pub fn start_with(folder: &Path, name: &str, at: (SocketAddr, SocketAddr), text: &str) -> FollowingSidecar {
    let process = Process::start(folder, name, &["serve", "--file"], text);
    let sidecar = FollowingSidecar { address: at.0, console: at.1, process };
    wait_until("the console answers", || call(at.1, "GET /control", "").is_some());
    wait_until("the sidecar is ready", || {
        call(at.0, "GET /_health", "").is_some_and(|(status, _)| status == 200)
    });
    sidecar
}

impl FollowingSidecar {
    pub fn status(&self) -> Value {
        let (status, text) = call(self.console, "GET /control", "").expect("no response from the console");
        assert_eq!(status, 200);
        serde_json::from_str(&text).expect("body is valid JSON")
    }

    pub fn in_force(&self) -> Option<String> {
        self.status()["in_force"]["version"].as_str().map(str::to_string)
    }

    pub fn request(&self, verb: &str, number: usize) -> Option<u16> {
        static NEXT_ID: AtomicU64 = AtomicU64::new(0);
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "GET /{verb}/{number} HTTP/1.1\r\nHost: a\r\nX-Trace-Id: c{id}\r\nX-Customer: acme\r\n\r\n"
        );
        let mut stream = TcpStream::connect_timeout(&self.address, ms(1000)).ok()?;
        stream.set_read_timeout(Some(WAIT_BOUND)).ok()?;
        stream.write_all(head.as_bytes()).ok()?;
        read_response(&mut stream).map(|(status, _, _)| status)
    }
}

/// Waits until all sidecars have this version in force, and returns the time since `since`.
pub fn wait_until_in_force(what: &str, all: &[&FollowingSidecar], version: &str, since: Instant) -> Duration {
    loop {
        let behind = all.iter().filter(|sidecar| sidecar.in_force().as_deref() != Some(version)).count();
        if behind == 0 {
            println!("{what}: all after {:?}", since.elapsed());
            return since.elapsed();
        }
        assert!(
            since.elapsed() < IN_FORCE_WITHIN,
            "{what}: {behind} of {} sidecars do not have {version} in force",
            all.len()
        );
        thread::sleep(ms(10));
    }
}

/// Clients that send requests until `end`, which fails if any got another status than 200.
pub struct BackgroundRequests {
    over: Arc<AtomicBool>,
    done: Vec<thread::JoinHandle<(usize, usize)>>,
}

impl BackgroundRequests {
    pub fn start(all: &[&FollowingSidecar]) -> BackgroundRequests {
        let over = Arc::new(AtomicBool::new(false));
        let client = |sidecar: &&FollowingSidecar| {
            let (over, address) = (over.clone(), sidecar.address);
            thread::spawn(move || {
                let (mut answered, mut failed) = (0, 0);
                while !over.load(Ordering::Relaxed) && answered + failed < 20_000 {
                    let head = format!(
                        "GET /look/1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: l{answered}-{failed}\r\n\r\n"
                    );
                    let request = || {
                        let mut stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
                        stream.set_read_timeout(Some(WAIT_BOUND)).ok()?;
                        stream.write_all(head.as_bytes()).ok()?;
                        read_response(&mut stream).map(|(status, _, _)| status)
                    };
                    if request() == Some(200) {
                        answered += 1;
                    } else {
                        failed += 1;
                    }
                    thread::sleep(ms(10));
                }
                (answered, failed)
            })
        };
        BackgroundRequests { over: over.clone(), done: all.iter().map(client).collect() }
    }

    pub fn end(self, what: &str) {
        self.over.store(true, Ordering::Relaxed);
        for done in self.done {
            let (answered, failed) = done.join().expect("client thread panicked");
            println!("{what}: {answered} requests answered, {failed} with another status or none");
            assert!(
                answered > 20 && failed == 0,
                "{what}: {answered} requests answered, {failed} with another status or none"
            );
        }
    }
}

/// Checks whether requests of class `view`, which servers answer after 150 ms, are answered or end by their limit.
pub fn assert_views(all: &[&FollowingSidecar], answered: bool) {
    for sidecar in all {
        let status = sidecar.request("view", 1).expect("no final response from the sidecar");
        assert_eq!(status == 200, answered, "{status}");
    }
}

/// Starts three servers that answer after 150 ms.
pub fn slow_endpoints() -> (Vec<ScriptedServer>, Vec<SocketAddr>) {
    let endpoints: Vec<ScriptedServer> =
        (0..3).map(|_| start_endpoint(ScriptedBehavior::RespondAfterMs(150))).collect();
    let addresses = endpoints.iter().map(|server| server.address).collect();
    (endpoints, addresses)
}

/// A test holds this lock while it runs, so that no other runs at the same time.
pub fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}
