//! How soon restarted processes answer `/_health` again, with all cores busy, a large statistics file to read, and a
//! discovery that is slow or missing; and what the log shows operators of the steps of a start.

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
/// Nine in ten of those that are restarted answer within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// A test waits no longer for a process, which is then among the slowest tenth or fails the test.
const LONGEST_WAIT: Duration = Duration::from_secs(15);
/// Servers in the statistics file of the earlier process: under 8 MiB, the most that is read.
const STORED_SERVERS: usize = 50_000;
/// The load ends by itself if the test does not end it.
const LONGEST_LOAD: Duration = Duration::from_secs(60);
/// How late a slow discovery answers.
const DISCOVERY_DELAY: Duration = Duration::from_secs(3);

/// The steps of a start are not looked at beside the load.
static TURN: Mutex<()> = Mutex::new(());

/// As many busy threads as there are cores.
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

/// A discovery that answers each poll late.
fn slow_discovery(server: SocketAddr) -> SocketAddr {
    let listener = free();
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while let Ok(Some(_)) = peer.command() {
                    thread::sleep(DISCOVERY_DELAY);
                    let body = catalog(1, &[("s1", server, "ready")]).to_string();
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
        nobody()
    )
}

/// One process, its configuration and its statistics file.
struct Replica {
    sidecar: Sidecar,
    statistics_file: PathBuf,
}

impl Replica {
    fn start(number: usize, discovery: SocketAddr) -> Replica {
        let address = nobody();
        let file = std::env::temp_dir().join(format!("landingspread-{address}.toml"));
        let statistics_file = file.with_extension("learnt");
        std::fs::write(&file, config(&format!("n{number}"), address, discovery, &statistics_file))
            .expect("a file");
        let mut sidecar = Sidecar::spawn_by(address, file, &[]);
        sidecar.wait_ready();
        Replica { sidecar, statistics_file }
    }

    /// Stops it as the platform does, and waits for its end.
    fn stop(&mut self) {
        self.sidecar.signal("-TERM");
        let begun = Instant::now();
        while self.sidecar.running() {
            assert!(begun.elapsed() < LONGEST_WAIT, "it does not end: {}", self.sidecar.account());
            thread::sleep(ms(5));
        }
    }

    /// Starts it again. The time until it answers 200.
    fn restart(&mut self) -> Duration {
        let begun = Instant::now();
        self.sidecar.start_again();
        while self.sidecar.status("GET /_health HTTP/1.1\r\n\r\n") != Some(200) {
            assert!(self.sidecar.running(), "it has ended: {}", self.sidecar.account());
            if begun.elapsed() > LONGEST_WAIT {
                println!("not ready: {}", self.sidecar.account());
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

/// The statistics file of this deployment, with as many servers as it may well hold.
fn large_file(by: &Path) -> Value {
    let read = || std::fs::read(by).ok().and_then(|text| serde_json::from_slice::<Value>(&text).ok());
    within("it saves statistics", || read().is_some());
    let mut statistics_file = read().expect("a file");
    let one = |number: usize| json!({"id": format!("s{number}"), "started_unix_ms": 0, "slowness": 1.5, "marked": false});
    statistics_file["servers"] = (0..STORED_SERVERS).map(one).collect();
    statistics_file
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Stops these and starts them again, all at once, with a file saved just before.
fn restarted(replicas: &mut [Replica], statistics_file: &mut Value) -> Vec<Duration> {
    // A minute is the longest that it counts.
    statistics_file["saved_unix_ms"] = json!(unix_ms());
    let statistics_file = &statistics_file.to_string();
    thread::scope(|scope| {
        let all: Vec<_> = replicas
            .iter_mut()
            .map(|replica| {
                scope.spawn(move || {
                    replica.stop();
                    std::fs::write(&replica.statistics_file, statistics_file).expect("a file");
                    replica.restart()
                })
            })
            .collect();
        all.into_iter().map(|one| one.join().expect("a restart")).collect()
    })
}

/// Thirty of one discovery, `at_once` of them at a time.
fn ready_in_time(what: &str, discovery: SocketAddr, at_once: usize) {
    let mut replicas: Vec<Replica> = (0..PROCESSES).map(|number| Replica::start(number, discovery)).collect();
    let mut statistics_file = large_file(&replicas[0].statistics_file);
    let load = Load::start();
    let mut took: Vec<Duration> =
        replicas.chunks_mut(at_once).flat_map(|part| restarted(part, &mut statistics_file)).collect();
    drop(load);
    took.sort();
    let (median, nine_tenths) = (took[PROCESSES / 2], took[PROCESSES * 9 / 10 - 1]);
    println!(
        "{what}, {at_once} at a time: {:?} {median:?} {nine_tenths:?} {:?}",
        took[0],
        took[PROCESSES - 1]
    );
    for replica in &replicas {
        // The line follows the answer.
        within("the ready line", || replica.sidecar.account().contains(" ready "));
        let log = replica.sidecar.account();
        assert!(!log.contains("servers start without statistics"), "the statistics file is read: {log}");
        assert_eq!(log.matches(" ready ").count(), 1, "{log}");
    }
    assert!(nine_tenths <= READY_WITHIN, "{what}: {took:?}");
}

#[test]
fn nine_in_ten_of_thirty_restarted_processes_are_ready_in_time_on_busy_cores() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let slow = slow_discovery(nobody());
    for at_once in [PROCESSES, PROCESSES / 10] {
        // Sixty processes and two loads together.
        thread::scope(|scope| {
            scope.spawn(|| ready_in_time("slow discovery", slow, at_once));
            scope.spawn(|| ready_in_time("no discovery", nobody(), at_once));
        });
    }
}

#[test]
fn the_ready_line_shows_once_how_long_each_step_of_the_start_took() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let server = nobody();
    let (sidecar, discovery) = Sidecar::with(&[("s1", server)]);
    assert_eq!(sidecar.status("GET /_health HTTP/1.1\r\n\r\n"), Some(200));
    within("the ready line", || sidecar.account().contains(" ready "));
    discovery.write(2, catalog(2, &[("s1", server, "ready")]).to_string());
    within("the first list", || {
        sidecar.account().contains("the first endpoint list has come first_list_ms=")
    });
    assert_eq!(sidecar.status("GET /_health HTTP/1.1\r\n\r\n"), Some(200));
    let log = sidecar.account();
    let lines: Vec<&str> = log.lines().filter(|line| line.contains(" ready ")).collect();
    assert_eq!(lines.len(), 1, "{log}");
    let mut before = 0;
    for step in ["configuration_ms=", "listener_ms=", "kept_files_ms=", "ready_ms="] {
        let figure =
            lines[0].split_whitespace().find_map(|word| word.strip_prefix(step)?.parse::<u64>().ok());
        let figure = figure.unwrap_or_else(|| panic!("{step} {log}"));
        assert!(figure >= before, "{step} {log}");
        before = figure;
    }
    assert!(!lines[0].contains("first_list_ms"), "a step that is not done has no figure: {log}");
}
