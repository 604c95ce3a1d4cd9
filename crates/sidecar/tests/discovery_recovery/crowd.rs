//! A run beside a crowd of clients that takes every descriptor or buffer of the program.

use crate::helpers::*;
use crate::measure::measure_beside;
use crate::plan::{ChangeTime, FailureMode, Plan, Recovery};
use crate::stand_in::CHECK_INTERVAL;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What was observed beside a crowd of clients, from discovery's failure until the change is in force.
#[derive(Default)]
pub struct Observations {
    pub over: AtomicBool,
    pub descriptors: Mutex<usize>,
    /// The console's slowest answer, and the number of its answers.
    pub console: Mutex<(Duration, usize)>,
    /// The statuses that new clients got.
    pub statuses: Mutex<BTreeMap<u16, usize>>,
}

/// The threads that observe; all of them end before the process does.
pub struct Crowd(Arc<Observations>, Vec<thread::JoinHandle<()>>);

impl Drop for Crowd {
    fn drop(&mut self) {
        self.0.over.store(true, Ordering::Relaxed);
        for one in self.1.drain(..) {
            let done = one.join();
            assert!(done.is_ok() || thread::panicking(), "an observer failed");
        }
    }
}

pub fn update<T>(into: &Mutex<T>, change: impl FnOnce(&mut T)) {
    change(&mut into.lock().unwrap_or_else(PoisonError::into_inner));
}

impl Observations {
    pub fn is_running(&self) -> bool {
        !self.over.load(Ordering::Relaxed)
    }

    pub fn count_descriptors(&self, pid: u32) {
        let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        update(&self.descriptors, |most| *most = open.max(*most));
    }

    pub fn poll_console(&self, at: SocketAddr) {
        let begun = Instant::now();
        let mut stream = TcpStream::connect(at).expect("the console");
        stream.set_read_timeout(Some(BOUNDED)).expect("a socket");
        stream.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n").expect("a call");
        assert_eq!(answer(&mut stream).map(|(status, _, _)| status), Some(200), "the console says so");
        update(&self.console, |(slowest, count)| {
            (*slowest, *count) = (begun.elapsed().max(*slowest), *count + 1);
        });
    }

    /// Connects, sends a request and leaves. Status 0 stands for no answer.
    pub fn connect_anew(&self, at: SocketAddr, id: usize) {
        let status = TcpStream::connect(at).ok().and_then(|mut stream| {
            stream.set_read_timeout(Some(BOUNDED)).ok()?;
            stream.write_all(cmd("view", &format!("n{id}"), 1900).as_bytes()).ok()?;
            answer(&mut stream).map(|(status, _, _)| status)
        });
        update(&self.statuses, |statuses| *statuses.entry(status.unwrap_or(0)).or_default() += 1);
    }
}

impl Observations {
    /// Prints what was observed, and holds it against its bounds.
    fn check(&self, summary: &str, sockets: usize, half_sent: bool) {
        let descriptors = *self.descriptors.lock().expect("a lock");
        let (console, calls) = *self.console.lock().expect("a lock");
        let statuses = self.statuses.lock().expect("a lock").clone();
        println!(
            "{summary}, {descriptors} descriptors at most, console {console:.2?} at most of {calls}, \
             new clients {statuses:?}"
        );
        assert!(descriptors <= sockets, "{descriptors} of {sockets} descriptors");
        assert!(console <= ms(1000) && calls > 20, "the console: {console:?}, {calls}");
        assert!(
            statuses.keys().all(|status| [200, 503].contains(status)),
            "a place or a status: {statuses:?}"
        );
        // Idle clients are closed for new ones; those with half a request come as fast as they are closed.
        let served = statuses.get(&200).copied().unwrap_or(0);
        assert!(served > 5 && (half_sent || statuses.len() == 1), "a place: {statuses:?}");
    }
}

/// A connection that stays open: its request was answered, or is half sent.
pub fn idle_client(at: SocketAddr, id: &str, half_sent: bool) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(BOUNDED)).ok()?;
    let text = cmd("view", id, 1900);
    stream.write_all(&text.as_bytes()[..if half_sent { text.len() - 9 } else { text.len() }]).ok()?;
    (half_sent || answer(&mut stream).is_some()).then_some(stream)
}

/// `half`: each idle client has sent half a request, and others follow as they are closed.
pub fn measure_beside_a_crowd(
    mode: FailureMode,
    sockets: u64,
    memory_mb: u64,
    half_sent: bool,
    seed: u64,
) -> Duration {
    let drawn = Plan::drawn(mode, 1, seed);
    let (recovery, change_time) = (Recovery::After(ms(7000 + seed % 3 * 500)), ChangeTime::AfterDown(ms(0)));
    let plan = Plan { recovery, change_time, answer_delay: ms(0), crowded: half_sent, ..drawn };
    let console = nobody();
    let observed = Arc::new(Observations::default());
    let change = |config: &mut Value| {
        config["console"] = json!(console.to_string());
        config["limits"]["sockets"] = json!(sockets);
        config["limits"]["memory_mb"] = json!(memory_mb);
    };
    let crowd = |sidecar: &Sidecar| start_crowd(sidecar, &observed, console, sockets as usize, half_sent);
    let timing = measure_beside(plan, change, crowd);
    let summary = format!(
        "{mode:?}, {sockets} sockets, {}: in force after {:.2?}",
        if half_sent { "half-sent requests" } else { "idle clients" },
        timing.in_force
    );
    observed.check(&summary, sockets as usize, half_sent);
    timing.in_force
}

/// Opens idle connections, as many as there are descriptors, and starts the threads that observe.
fn start_crowd(
    sidecar: &Sidecar,
    observed: &Arc<Observations>,
    console: SocketAddr,
    count: usize,
    half_sent: bool,
) -> Crowd {
    let (at, pid) = (sidecar.address, sidecar.child.id());
    let mut idle_clients: VecDeque<_> =
        (0..count).filter_map(|number| idle_client(at, &format!("r{number}"), half_sent)).collect();
    assert!(idle_clients.len() * 10 >= count * 9, "{} of {count} are idle", idle_clients.len());
    let seen = observed.clone();
    let observer = thread::spawn(move || {
        for number in 0.. {
            if !seen.is_running() {
                return;
            }
            if half_sent {
                // As fast as they are closed, or the buffers would not stay full.
                idle_clients.extend((0..2).filter_map(|_| idle_client(at, "", true)));
                idle_clients.drain(..idle_clients.len().saturating_sub(count));
            }
            if number % 8 == 0 {
                seen.count_descriptors(pid);
            }
            thread::sleep(CHECK_INTERVAL);
        }
    });
    let seen = observed.clone();
    let calls = thread::spawn(move || {
        for number in 0.. {
            if !seen.is_running() {
                return;
            }
            seen.poll_console(console);
            seen.connect_anew(at, number);
            thread::sleep(ms(30));
        }
    });
    Crowd(observed.clone(), vec![observer, calls])
}
