//! How soon processes that are restarted answer `/_health` again, on cores that are all taken, with much to read from an
//! earlier life, by a discovery that is slow or is not there; and what a start tells operators of its steps.

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
/// A test gives up on a process then; it is among the slowest tenth or fails the test.
const PATIENCE: Duration = Duration::from_secs(15);
/// What an earlier process has kept: under 8 MiB, the most that is read.
const KEPT: usize = 50_000;
/// The load ends by itself if the test does not end it.
const LOAD_MOST: Duration = Duration::from_secs(60);
const SLOW: Duration = Duration::from_secs(3);

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
                let until = Instant::now() + LOAD_MOST;
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

/// A discovery whose every answer takes its time.
fn slow_discovery(server: SocketAddr) -> SocketAddr {
    let listener = free();
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while let Ok(Some(_)) = peer.command() {
                    thread::sleep(SLOW);
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

fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, kept: &Path) -> String {
    format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\ncopies = {PROCESSES}\nlearnt = {kept:?}\n\
         discovery = {{ address = \"{discovery}\", begins = \"subscribe\" }}\n\
         [[servers]]\nid = \"s1\"\naddress = \"{}\"\n\
         [[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"300ms\"\nlimit = \"1s\"\n",
        nobody()
    )
}

/// One process, its configuration and what it keeps.
struct Copy {
    sidecar: Sidecar,
    kept: PathBuf,
}

impl Copy {
    fn start(number: usize, discovery: SocketAddr) -> Copy {
        let address = nobody();
        let file = std::env::temp_dir().join(format!("landingspread-{address}.toml"));
        let kept = file.with_extension("learnt");
        std::fs::write(&file, config(&format!("n{number}"), address, discovery, &kept)).expect("a file");
        let mut sidecar = Sidecar::spawn_by(address, file, &[]);
        sidecar.wait_ready();
        Copy { sidecar, kept }
    }

    /// Ends it as the platform does, and waits for that.
    fn end(&mut self) {
        self.sidecar.signal("-TERM");
        let begun = Instant::now();
        while self.sidecar.running() {
            assert!(begun.elapsed() < PATIENCE, "it does not end: {}", self.sidecar.account());
            thread::sleep(ms(5));
        }
    }

    /// Its next life begins. From there until it answers 200.
    fn again(&mut self) -> Duration {
        let begun = Instant::now();
        self.sidecar.start_again();
        while self.sidecar.status("GET /_health HTTP/1.1\r\n\r\n") != Some(200) {
            assert!(self.sidecar.running(), "it has ended: {}", self.sidecar.account());
            if begun.elapsed() > PATIENCE {
                println!("not ready: {}", self.sidecar.account());
                break;
            }
            thread::sleep(ms(5));
        }
        begun.elapsed()
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.kept);
    }
}

/// What a process of this deployment keeps, with as many endpoints as a file may well hold.
fn much_kept(by: &Path) -> Value {
    let read = || std::fs::read(by).ok().and_then(|text| serde_json::from_slice::<Value>(&text).ok());
    within("it keeps something", || read().is_some());
    let mut kept = read().expect("a file");
    let one = |number: usize| json!({"id": format!("s{number}"), "started_unix_ms": 0, "slowness": 1.5, "marked": false});
    kept["servers"] = (0..KEPT).map(one).collect();
    kept
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Ends these and starts them anew, all at once, with a file that was kept just before.
fn restarted(copies: &mut [Copy], kept: &mut Value) -> Vec<Duration> {
    // A minute is the longest that it counts.
    kept["saved_unix_ms"] = json!(unix_ms());
    let kept = &kept.to_string();
    thread::scope(|scope| {
        let all: Vec<_> = copies
            .iter_mut()
            .map(|copy| {
                scope.spawn(move || {
                    copy.end();
                    std::fs::write(&copy.kept, kept).expect("a file");
                    copy.again()
                })
            })
            .collect();
        all.into_iter().map(|one| one.join().expect("a restart")).collect()
    })
}

/// Thirty of one discovery, `at_once` of them at a time.
fn ready_in_time(what: &str, discovery: SocketAddr, at_once: usize) {
    let mut copies: Vec<Copy> = (0..PROCESSES).map(|number| Copy::start(number, discovery)).collect();
    let mut kept = much_kept(&copies[0].kept);
    let load = Load::start();
    let mut took: Vec<Duration> =
        copies.chunks_mut(at_once).flat_map(|part| restarted(part, &mut kept)).collect();
    drop(load);
    took.sort();
    let (median, nine_tenths) = (took[PROCESSES / 2], took[PROCESSES * 9 / 10 - 1]);
    println!(
        "{what}, {at_once} at a time: {:?} {median:?} {nine_tenths:?} {:?}",
        took[0],
        took[PROCESSES - 1]
    );
    for copy in &copies {
        // The line follows the answer.
        within("the ready line", || copy.sidecar.account().contains(" ready "));
        let log = copy.sidecar.account();
        assert!(!log.contains("servers start without statistics"), "what was kept is read: {log}");
        assert_eq!(log.matches(" ready ").count(), 1, "{log}");
    }
    assert!(nine_tenths <= READY_WITHIN, "{what}: {took:?}");
}

#[test]
fn nine_in_ten_of_thirty_restarted_on_full_cores_answer_in_time_by_a_slow_discovery_and_by_none() {
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
fn a_start_tells_once_how_long_each_of_its_steps_took() {
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
