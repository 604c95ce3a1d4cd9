//! How soon restarted processes answer `/_health` with all cores busy, a large statistics file to read, and a slow or
//! missing discovery; and how the log shows the steps of a start.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::Peer;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

const PROCESSES: usize = 30;
/// Nine in ten restarted processes are ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Longest wait for a process to be ready or to exit. One that is not ready by then counts as slow; one that has not
/// exited fails the test.
const LONGEST_WAIT: Duration = Duration::from_secs(15);
/// Servers in the statistics file of the earlier process: its size stays below 8 MiB, the most that is read.
const STORED_SERVERS: usize = 50_000;
/// The load ends after this time if the test does not end it.
const LONGEST_LOAD: Duration = Duration::from_secs(60);
/// Delay of the answers of a slow discovery.
const DISCOVERY_DELAY: Duration = Duration::from_secs(3);

/// Tests run one at a time: the steps of a start are not measured under the load.
static TURN: Mutex<()> = Mutex::new(());

/// One busy thread per core.
struct Load(Arc<AtomicBool>);

impl Load {
    fn start() -> Load {
        let over = Arc::new(AtomicBool::new(false));
        let cores = thread::available_parallelism().map_or(1, usize::from);
        for _ in 0..cores {
            let over = over.clone();
            thread::spawn(move || {
                let until = Instant::now() + LONGEST_LOAD;
                while !over.load(Ordering::Relaxed) && Instant::now() < until {
                    std::hint::spin_loop();
                }
            });
        }
        Load(over)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A discovery that answers each poll after `DISCOVERY_DELAY`.
fn slow_discovery(server: SocketAddr) -> SocketAddr {
    let listener = bind_unused_port();
    let address = listener.local_addr().expect("listener has a local address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while let Ok(Some(_)) = peer.read_request() {
                    thread::sleep(DISCOVERY_DELAY);
                    let body = endpoint_list(1, &[("s1", server, "ready")]).to_string();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if peer.write((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, statistics_file: &Path) -> String {
    format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\ncopies = {PROCESSES}\nlearnt = {statistics_file:?}\n\
         discovery = {{ address = \"{discovery}\", begins = \"subscribe\" }}\n\
         [[servers]]\nid = \"s1\"\naddress = \"{}\"\n\
         [[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"300ms\"\nlimit = \"1s\"\n",
        unused_address()
    )
}

/// One sidecar process and its statistics file.
struct Replica {
    sidecar: Sidecar,
    statistics_file: PathBuf,
}

impl Replica {
    fn start(number: usize, discovery: SocketAddr) -> Replica {
        let address = unused_address();
        let file = std::env::temp_dir().join(format!("landingspread-{address}.toml"));
        let statistics_file = file.with_extension("learnt");
        std::fs::write(&file, config(&format!("n{number}"), address, discovery, &statistics_file))
            .expect("failed to write the file");
        let mut sidecar = Sidecar::spawn_with_file(address, file, &[]);
        sidecar.wait_ready();
        Replica { sidecar, statistics_file }
    }

    /// Sends SIGTERM, as the platform does, and waits until the process exits.
    fn stop(&mut self) {
        self.sidecar.signal("-TERM");
        let begun = Instant::now();
        while self.sidecar.running() {
            assert!(begun.elapsed() < LONGEST_WAIT, "sidecar does not exit: {}", self.sidecar.diagnostics());
            thread::sleep(ms(5));
        }
    }

    /// Starts the process again and returns the time until it answers 200.
    fn restart(&mut self) -> Duration {
        let begun = Instant::now();
        self.sidecar.start_again();
        while self.sidecar.status("GET /_health HTTP/1.1\r\n\r\n") != Some(200) {
            assert!(self.sidecar.running(), "sidecar exited: {}", self.sidecar.diagnostics());
            if begun.elapsed() > LONGEST_WAIT {
                println!("not ready: {}", self.sidecar.diagnostics());
                break;
            }
            thread::sleep(ms(5));
        }
        begun.elapsed()
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.statistics_file);
    }
}

/// The statistics file of this deployment, extended to `STORED_SERVERS` servers.
fn large_file(saved: &Path) -> Value {
    let read = || std::fs::read(saved).ok().and_then(|text| serde_json::from_slice::<Value>(&text).ok());
    wait_until("the sidecar saves statistics", || read().is_some());
    let mut statistics_file = read().expect("failed to read the statistics file");
    let entry = |number: usize| json!({"id": format!("s{number}"), "started_unix_ms": 0, "slowness": 1.5, "marked": false});
    statistics_file["servers"] = (0..STORED_SERVERS).map(entry).collect();
    statistics_file
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Restarts all replicas at once with a statistics file saved just before. Returns the time until each is ready.
fn restart_at_once(replicas: &mut [Replica], statistics_file: &mut Value) -> Vec<Duration> {
    // A file older than a minute is ignored.
    statistics_file["saved_unix_ms"] = json!(unix_ms());
    let statistics_file = &statistics_file.to_string();
    thread::scope(|scope| {
        let all: Vec<_> = replicas
            .iter_mut()
            .map(|replica| {
                scope.spawn(move || {
                    replica.stop();
                    std::fs::write(&replica.statistics_file, statistics_file)
                        .expect("failed to write the file");
                    replica.restart()
                })
            })
            .collect();
        all.into_iter().map(|run| run.join().expect("restart thread panicked")).collect()
    })
}

/// Starts thirty processes with this discovery, restarts them under load, `at_once` at a time, and checks when they are
/// ready.
fn assert_ready_in_time(what: &str, discovery: SocketAddr, at_once: usize) {
    let mut replicas: Vec<Replica> = (0..PROCESSES).map(|number| Replica::start(number, discovery)).collect();
    let mut statistics_file = large_file(&replicas[0].statistics_file);
    let load = Load::start();
    let mut delays: Vec<Duration> =
        replicas.chunks_mut(at_once).flat_map(|part| restart_at_once(part, &mut statistics_file)).collect();
    drop(load);
    delays.sort();
    let (median, nine_tenths) = (delays[PROCESSES / 2], delays[PROCESSES * 9 / 10 - 1]);
    println!(
        "{what}, {at_once} at a time: {:?} {median:?} {nine_tenths:?} {:?}",
        delays[0],
        delays[PROCESSES - 1]
    );
    for replica in &replicas {
        // The line is logged after the first answer.
        wait_until("the ready line is logged", || replica.sidecar.diagnostics().contains(" ready "));
        let log = replica.sidecar.diagnostics();
        assert!(!log.contains("servers start without statistics"), "the statistics file was not read: {log}");
        assert_eq!(log.matches(" ready ").count(), 1, "{log}");
    }
    assert!(nine_tenths <= READY_WITHIN, "{what}: {delays:?}");
}

#[test]
fn restarted_processes_are_ready_in_time_on_busy_cores() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let slow = slow_discovery(unused_address());
    for at_once in [PROCESSES, PROCESSES / 10] {
        // Sixty processes and two loads run at the same time.
        thread::scope(|scope| {
            scope.spawn(|| assert_ready_in_time("slow discovery", slow, at_once));
            scope.spawn(|| assert_ready_in_time("no discovery", unused_address(), at_once));
        });
    }
}

#[test]
fn ready_line_is_logged_once_with_the_time_of_each_step() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let server = unused_address();
    let (sidecar, discovery) = Sidecar::start_with_servers(&[("s1", server)]);
    assert_eq!(sidecar.status("GET /_health HTTP/1.1\r\n\r\n"), Some(200));
    wait_until("the ready line is logged", || sidecar.diagnostics().contains(" ready "));
    discovery.set_raw_list(2, endpoint_list(2, &[("s1", server, "ready")]).to_string());
    wait_until("the first list is logged", || {
        sidecar.diagnostics().contains("the first endpoint list has come first_list_ms=")
    });
    assert_eq!(sidecar.status("GET /_health HTTP/1.1\r\n\r\n"), Some(200));
    let log = sidecar.diagnostics();
    let lines: Vec<&str> = log.lines().filter(|line| line.contains(" ready ")).collect();
    assert_eq!(lines.len(), 1, "{log}");
    let mut previous_ms = 0;
    for step in ["configuration_ms=", "listener_ms=", "kept_files_ms=", "ready_ms="] {
        let step_ms =
            lines[0].split_whitespace().find_map(|word| word.strip_prefix(step)?.parse::<u64>().ok());
        let step_ms = step_ms.unwrap_or_else(|| panic!("{step} is missing in {log}"));
        assert!(step_ms >= previous_ms, "{step} is earlier than the previous step: {log}");
        previous_ms = step_ms;
    }
    assert!(!lines[0].contains("first_list_ms"), "ready line has a time for a step that was not done: {log}");
}
