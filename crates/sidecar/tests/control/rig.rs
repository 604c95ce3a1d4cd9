//! The rig of these tests: control machines and sidecars as processes of the program, their files, and calls to both.

use crate::helpers::*;
use landingspread_lab::sockets::{Does, Scripted};
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Tests take turns: each has up to sixteen processes.
static TURN: Mutex<()> = Mutex::new(());
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(10);
pub const SCOPE: &str = "basket";

pub fn address() -> SocketAddr {
    free().local_addr().expect("an address")
}

/// A folder of its own for the files of one test.
pub fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("landingspread-control-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

pub struct Process(Child);

impl Process {
    pub fn start(folder: &Path, name: &str, args: &[&str], config: &str) -> Process {
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, config).expect("a file");
        let log = std::fs::File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
        let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
        program.args(args).arg(&file).stderr(log.expect("a log")).env_remove("TMPDIR");
        Process(program.spawn().expect("the program starts"))
    }

    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill runs").success());
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

/// One call; None where there is no whole answer.
pub fn call(to: SocketAddr, head: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1000)).ok()?;
    stream.set_read_timeout(Some(ms(4000))).ok()?;
    let length = body.len();
    let text = format!(
        "{head} HTTP/1.1\r\nHost: x\r\nAccept: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (status, _, body) = answer(&mut stream)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

pub struct Machine {
    pub address: SocketAddr,
    pub process: Process,
}

/// A control machine; `others` is where it finds the other ones.
pub fn machine(folder: &Path, name: &str, address: SocketAddr, others: &[SocketAddr]) -> Machine {
    let all: Vec<String> = [address].iter().chain(others).map(|at| format!("\"{at}\"")).collect();
    let state = folder.join(format!("{name}.state"));
    let config = format!("listen = \"{address}\"\nmachines = [{}]\nstate = {state:?}\n", all.join(", "));
    Machine { address, process: Process::start(folder, name, &["control"], &config) }
}

pub fn machines(folder: &Path, count: usize) -> Vec<Machine> {
    let all: Vec<SocketAddr> = (0..count).map(|_| address()).collect();
    let one = |(at, own): (usize, &SocketAddr)| {
        let others: Vec<SocketAddr> = all.iter().filter(|other| *other != own).copied().collect();
        machine(folder, &format!("m{at}"), *own, &others)
    };
    let start_with: Vec<Machine> = all.iter().enumerate().map(one).collect();
    for machine in &start_with {
        within("each machine hears all others", || peers_heard(machine.address) == count - 1);
    }
    start_with
}

/// How many others this machine heard lately.
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
    let (status, text) = call(at, &format!("GET /control/v1/scopes/{SCOPE}"), "").expect("an answer");
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).expect("JSON")
}

pub fn put(at: SocketAddr, base: &str, more: &str, contents: &Value) -> (u16, String) {
    let body = if contents.is_null() { String::new() } else { contents.to_string() };
    call(at, &format!("PUT /control/v1/scopes/{SCOPE}?base={base}{more}"), &body).expect("an answer")
}

/// Publishes over what holds there by now, and gives the new version.
pub fn publish(at: SocketAddr, contents: &Value) -> String {
    let base = current_version(at).unwrap_or("none".into());
    let (status, text) = put(at, &base, "", contents);
    assert_eq!(status, 200, "{text}");
    let status: Value = serde_json::from_str(&text).expect("JSON");
    status["version"].as_str().expect("a version").to_string()
}

pub struct FollowingSidecar {
    pub address: SocketAddr,
    pub console: SocketAddr,
    pub process: Process,
}

/// The configuration of a sidecar that goes by this list of machines, as text of the file.
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
    let one = |(address, region): &(SocketAddr, &str)| {
        format!("{{ address = \"{address}\", region = \"{region}\" }}")
    };
    machines.iter().map(one).collect::<Vec<_>>().join(", ")
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
    let start_sidecar = FollowingSidecar { address: at.0, console: at.1, process };
    within("the console answers", || call(at.1, "GET /control", "").is_some());
    within("it serves", || call(at.0, "GET /_health", "").is_some_and(|(status, _)| status == 200));
    start_sidecar
}

impl FollowingSidecar {
    pub fn status(&self) -> Value {
        let (status, text) = call(self.console, "GET /control", "").expect("the console answers");
        assert_eq!(status, 200);
        serde_json::from_str(&text).expect("JSON")
    }

    pub fn in_force(&self) -> Option<String> {
        self.status()["in_force"]["version"].as_str().map(str::to_string)
    }

    pub fn request(&self, verb: &str, number: usize) -> Option<u16> {
        static GIVEN: AtomicU64 = AtomicU64::new(0);
        let id = GIVEN.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "GET /{verb}/{number} HTTP/1.1\r\nHost: a\r\nX-Trace-Id: c{id}\r\nX-Customer: acme\r\n\r\n"
        );
        let mut stream = TcpStream::connect_timeout(&self.address, ms(1000)).ok()?;
        stream.set_read_timeout(Some(BOUNDED)).ok()?;
        stream.write_all(head.as_bytes()).ok()?;
        answer(&mut stream).map(|(status, _, _)| status)
    }
}

/// How long it took until all had this version in force.
pub fn wait_until_in_force(what: &str, all: &[&FollowingSidecar], version: &str, since: Instant) -> Duration {
    loop {
        let behind = all.iter().filter(|one| one.in_force().as_deref() != Some(version)).count();
        if behind == 0 {
            println!("{what}: all after {:?}", since.elapsed());
            return since.elapsed();
        }
        assert!(since.elapsed() < IN_FORCE_WITHIN, "{what}: {behind} of {} have it not", all.len());
        thread::sleep(ms(10));
    }
}

/// Calls that go on all the while, and how many had another answer than 200.
pub struct BackgroundRequests {
    over: Arc<AtomicBool>,
    done: Vec<thread::JoinHandle<(usize, usize)>>,
}

impl BackgroundRequests {
    pub fn start(all: &[&FollowingSidecar]) -> BackgroundRequests {
        let over = Arc::new(AtomicBool::new(false));
        let one = |start_sidecar: &&FollowingSidecar| {
            let (over, address) = (over.clone(), start_sidecar.address);
            thread::spawn(move || {
                let (mut answered, mut wrong) = (0, 0);
                while !over.load(Ordering::Relaxed) && answered + wrong < 20_000 {
                    let head =
                        format!("GET /look/1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: l{answered}-{wrong}\r\n\r\n");
                    let asked = || {
                        let mut stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
                        stream.set_read_timeout(Some(BOUNDED)).ok()?;
                        stream.write_all(head.as_bytes()).ok()?;
                        answer(&mut stream).map(|(status, _, _)| status)
                    };
                    if asked() == Some(200) {
                        answered += 1;
                    } else {
                        wrong += 1;
                    }
                    thread::sleep(ms(10));
                }
                (answered, wrong)
            })
        };
        BackgroundRequests { over: over.clone(), done: all.iter().map(one).collect() }
    }

    pub fn end(self, what: &str) {
        self.over.store(true, Ordering::Relaxed);
        for done in self.done {
            let (answered, wrong) = done.join().expect("a caller");
            println!("{what}: {answered} answered, {wrong} not");
            assert!(answered > 20 && wrong == 0, "{what}: {answered} answered, {wrong} not");
        }
    }
}

/// Whether commands of `view`, which servers answer after 150 ms, are answered or ended by the limit.
pub fn assert_views(all: &[&FollowingSidecar], wanted: bool) {
    for one in all {
        let status = one.request("view", 1).expect("a final word");
        assert_eq!(status == 200, wanted, "{status}");
    }
}

/// Three servers that answer after 150 ms.
pub fn slow_endpoints() -> (Vec<Scripted>, Vec<SocketAddr>) {
    let endpoints: Vec<Scripted> = (0..3).map(|_| endpoint(Does::Wait(150))).collect();
    let addresses = endpoints.iter().map(|server| server.address).collect();
    (endpoints, addresses)
}

/// Held by a test for as long as it runs.
pub fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}
