//! A run with so many clients that they occupy every descriptor or buffer of the sidecar.

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

/// Observations from discovery's failure until the list change is in force.
#[derive(Default)]
pub struct Observations {
    pub over: AtomicBool,
    /// Highest number of open descriptors.
    pub descriptors: Mutex<usize>,
    /// The slowest response of the console, and the number of its responses.
    pub console: Mutex<(Duration, usize)>,
    /// Number of new clients by the status that they got.
    pub statuses: Mutex<BTreeMap<u16, usize>>,
}

/// The threads that hold idle clients and observe the sidecar. Dropping it ends them, before the sidecar process ends.
pub struct Crowd(Arc<Observations>, Vec<thread::JoinHandle<()>>);

impl Drop for Crowd {
    fn drop(&mut self) {
        self.0.over.store(true, Ordering::Relaxed);
        for observer in self.1.drain(..) {
            let result = observer.join();
            assert!(result.is_ok() || thread::panicking(), "an observer thread panicked");
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
        let mut stream = TcpStream::connect(at).expect("failed to connect to the console");
        stream.set_read_timeout(Some(WAIT_BOUND)).expect("failed to set the read timeout");
        stream.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n").expect("failed to write to the console");
        assert_eq!(
            read_response(&mut stream).map(|(status, _, _)| status),
            Some(200),
            "status of the console"
        );
        update(&self.console, |(slowest, count)| {
            (*slowest, *count) = (begun.elapsed().max(*slowest), *count + 1);
        });
    }

    /// Sends one request on a new connection and counts its status; 0 stands for no response.
    pub fn request_as_new_client(&self, at: SocketAddr, id: usize) {
        let status = TcpStream::connect(at).ok().and_then(|mut stream| {
            stream.set_read_timeout(Some(WAIT_BOUND)).ok()?;
            stream.write_all(request_text("view", &format!("n{id}"), 1900).as_bytes()).ok()?;
            read_response(&mut stream).map(|(status, _, _)| status)
        });
        update(&self.statuses, |statuses| *statuses.entry(status.unwrap_or(0)).or_default() += 1);
    }
}

impl Observations {
    /// Prints the observations and checks their bounds.
    fn check(&self, summary: &str, sockets: usize, half_sent: bool) {
        let descriptors = *self.descriptors.lock().expect("lock is not poisoned");
        let (console, calls) = *self.console.lock().expect("lock is not poisoned");
        let statuses = self.statuses.lock().expect("lock is not poisoned").clone();
        println!(
            "{summary}, {descriptors} descriptors at most, console {console:.2?} at most of {calls}, \
             new clients {statuses:?}"
        );
        assert!(descriptors <= sockets, "{descriptors} of {sockets} descriptors");
        assert!(
            console <= ms(1000) && calls > 20,
            "console: slowest response {console:?}, {calls} responses"
        );
        assert!(
            statuses.keys().all(|status| [200, 503].contains(status)),
            "new clients get 200 or 503: {statuses:?}"
        );
        // Idle clients are closed to make room for new ones. Half-sent requests come as fast as they are closed, so some new
        // clients get 503.
        let served = statuses.get(&200).copied().unwrap_or(0);
        assert!(served > 5 && (half_sent || statuses.len() == 1), "new clients are served: {statuses:?}");
    }
}

/// Opens a client connection whose request was answered or, with `half_sent`, is incomplete.
pub fn idle_client(at: SocketAddr, id: &str, half_sent: bool) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(WAIT_BOUND)).ok()?;
    let text = request_text("view", id, 1900);
    stream.write_all(&text.as_bytes()[..if half_sent { text.len() - 9 } else { text.len() }]).ok()?;
    (half_sent || read_response(&mut stream).is_some()).then_some(stream)
}

/// Measures one run beside a crowd. With `half_sent` each idle client has sent half a request, and others replace those
/// that are closed.
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
    let console = unused_address();
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

/// Opens as many idle connections as the sidecar may have descriptors, and starts the observing threads.
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
    assert!(idle_clients.len() * 10 >= count * 9, "{} of {count} idle clients connected", idle_clients.len());
    let seen = observed.clone();
    let observer = thread::spawn(move || {
        for number in 0.. {
            if !seen.is_running() {
                return;
            }
            if half_sent {
                // New ones follow as fast as old ones are closed, so that the buffers stay full.
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
            seen.request_as_new_client(at, number);
            thread::sleep(ms(30));
        }
    });
    Crowd(observed.clone(), vec![observer, calls])
}
